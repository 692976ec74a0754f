package cli

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/ospreyshed/ospreyshed/internal/version"
)

var versionCommand = command{
	name:  "version",
	short: "Print the version",
	long:  "Prints the version of the tool.",
	new:   func(b base) flags.Commander { return &versionOptions{base: b} },
}

type versionOptions struct {
	base
}

// Execute implements flags.Commander.
func (o *versionOptions) Execute(rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	_, err := fmt.Fprintln(o.streams.Out, version.Version)
	return err
}
