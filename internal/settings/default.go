package settings

import "github.com/ospreyshed/ospreyshed/internal/jsonc"

// Default returns the settings that apply where a file says nothing. They are
// not valid by themselves: names and addresses have no default.
func Default() *Settings {
	s := &Settings{}
	jsonc.ApplyDefaults(s)
	return s
}
