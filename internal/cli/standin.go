package cli

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/jessevdk/go-flags"

	"github.com/ospreyshed/ospreyshed/internal/standin"
)

var standinCommand = command{
	name:  "standin",
	short: "Run stand-ins for the platform and the endpoints",
	long: "Runs stand-ins for the log service, the list of VMs, engines and plain services on loopback ports " +
		"until it is interrupted. Each serves /standin/faults (GET, PUT) and /standin/counts (GET) beside its " +
		"protocol. Exit codes: 0 after an interrupt, 1 if a port cannot be used, 2 for bad settings.",
	new: func(b base) flags.Commander { return &standinOptions{base: b} },
}

type standinOptions struct {
	base

	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings, JSON with comments"`
}

// Execute implements flags.Commander.
func (o *standinOptions) Execute(rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	data, err := os.ReadFile(o.Settings)
	if err != nil {
		return &usageError{err.Error()}
	}
	options, err := standin.ParseSettings(o.Settings, data)
	if err != nil {
		return err
	}
	platform, err := standin.Start(options)
	if err != nil {
		return err
	}
	o.printAddresses(platform)
	<-o.ctx.Done()
	return platform.Close()
}

// printAddresses prints the names and addresses of the stand-ins, one per line.
func (o *standinOptions) printAddresses(p *standin.Platform) {
	o.printAddress("log", p.Log.Addr())
	o.printAddress("vm-list", p.VMList.Addr())
	for _, name := range slices.Sorted(maps.Keys(p.Engines)) {
		o.printAddress(name, p.Addr(name))
	}
	for _, name := range slices.Sorted(maps.Keys(p.Plain)) {
		o.printAddress(name, p.Addr(name))
	}
}

func (o *standinOptions) printAddress(name, address string) {
	_, _ = fmt.Fprintf(o.streams.Out, "%s\t%s\n", name, address)
}
