package settings

import "github.com/ospreyshed/ospreyshed/internal/jsonc"

// Default returns the settings with all defaults. They are not valid on their
// own, because names and addresses have no default.
func Default() *Settings {
	s := &Settings{}
	jsonc.ApplyDefaults(s)
	return s
}
