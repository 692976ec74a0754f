package settings

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// Default values.
const (
	defaultHeaderBytes       = 64 << 10
	defaultBodyBytes         = 8 << 20
	defaultConnections       = 4096
	defaultReadHeaderTimeout = 5 * time.Second
	defaultReadTimeout       = 30 * time.Second
	defaultWriteTimeout      = 10 * time.Second
	defaultIdleTimeout       = 2 * time.Minute
)

// Default returns the settings that apply where a file says nothing. They are
// not valid by themselves: names and addresses have no default.
func Default() *Settings {
	return &Settings{
		LogLevel: LogInfo,
		Limits: Limits{
			HeaderBytes:       defaultHeaderBytes,
			BodyBytes:         defaultBodyBytes,
			Connections:       defaultConnections,
			ReadHeaderTimeout: configuration.Duration(defaultReadHeaderTimeout),
			ReadTimeout:       configuration.Duration(defaultReadTimeout),
			WriteTimeout:      configuration.Duration(defaultWriteTimeout),
			IdleTimeout:       configuration.Duration(defaultIdleTimeout),
		},
	}
}
