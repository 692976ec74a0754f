// Command ospreyshedd is the daemon of an entry VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/daemon"
	"github.com/ospreyshed/ospreyshed/internal/hedge"
	"github.com/ospreyshed/ospreyshed/internal/settings"
	"github.com/ospreyshed/ospreyshed/internal/version"
	"github.com/ospreyshed/ospreyshed/platform"
)

// The exit codes of the daemon.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// maxHedgeBurst limits the burst of hedges to one second of the requests of 400 VMs with a margin of five.
const maxHedgeBurst = 10_000

// options are the daemon's command-line options.
type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings in JSON with comments; see docs/operations/settings.md"`
	Version  bool   `long:"version" description:"print the version and exit"`

	HedgeShare float64 `long:"hedge-share" value-name:"SHARE" description:"hedges per request of a service, from 0 (off) to 1, over all entry VMs; on the platform only"`
	HedgeBurst int     `long:"hedge-burst" value-name:"CALLS" default:"100" description:"hedges of a service on top of the share, over all entry VMs; at least their number, so that each may hedge"`
}

// hedging checks and returns the limit on hedges.
func (o *options) hedging() (hedge.Settings, error) {
	if !(o.HedgeShare >= 0 && o.HedgeShare <= 1) {
		return hedge.Settings{}, fmt.Errorf("--hedge-share: %v is not between 0 and 1", o.HedgeShare)
	}
	if o.HedgeBurst < 1 || o.HedgeBurst > maxHedgeBurst {
		return hedge.Settings{}, fmt.Errorf("--hedge-burst: %d is not between 1 and %d calls", o.HedgeBurst, maxHedgeBurst)
	}
	return hedge.Settings{Share: o.HedgeShare, Burst: o.HedgeBurst}, nil
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts options
	parser := flags.NewNamedParser("ospreyshedd", flags.HelpFlag)
	parser.ShortDescription = "Serves callers on an entry VM"
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return fail(err)
	}
	rest, err := parser.ParseArgs(args)
	platformFile, onPlatform := platform.SettingsFile()
	onPlatform = onPlatform && opts.Settings == ""
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(flagsErr.Message)
		return exitOK
	case err != nil:
		return usage(err.Error())
	case len(rest) > 0 || (opts.Settings == "" && !onPlatform && !opts.Version):
		return usage("")
	case opts.Version:
		fmt.Println(version.Version)
		return exitOK
	}
	hedging, err := opts.hedging()
	if err != nil {
		return usage(err.Error())
	}
	if onPlatform {
		return servePlatform(platformFile, hedging)
	}
	if hedging.Enabled() {
		return usage("--hedge-share: requests are hedged on the users' platform only, not with --settings")
	}
	return serve(opts.Settings)
}

// usage reports a problem with the command line, if it is not empty, and how the command is used.
func usage(problem string) int {
	if problem != "" {
		fmt.Fprintln(os.Stderr, problem)
	}
	fmt.Fprintln(os.Stderr, "usage: ospreyshedd --settings FILE")
	return exitUsage
}

// servePlatform runs the daemon with the settings file of the hosting platform until
// SIGTERM.
func servePlatform(settingsFile string, hedging hedge.Settings) int {
	if err := platform.Run(settingsFile, hedging); err != nil {
		return fail(err)
	}
	return exitOK
}

// serve runs the daemon until SIGTERM or SIGINT.
func serve(file string) int {
	conf, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d := daemon.New(conf, newLogger(conf))
	if err := d.Start(ctx); err != nil {
		return fail(err)
	}
	<-ctx.Done()
	if err := d.Stop(context.Background()); err != nil {
		return fail(err)
	}
	return exitOK
}

// newLogger logs JSON lines to standard error.
func newLogger(conf *settings.Settings) logrus.FieldLogger {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	if level, err := logrus.ParseLevel(string(conf.LogLevel)); err == nil {
		log.SetLevel(level)
	}
	return log.WithFields(logrus.Fields{"vm": conf.VM, "zone": conf.Zone})
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}
