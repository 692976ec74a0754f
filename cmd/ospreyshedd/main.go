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

// options are the daemon's command-line options.
type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings in JSON with comments; see docs/operations/settings.md"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if file, ok := platform.SettingsFile(); ok && len(args) == 0 {
		return servePlatform(file)
	}
	var opts options
	parser := flags.NewNamedParser("ospreyshedd", flags.HelpFlag)
	parser.ShortDescription = "Serves callers on an entry VM"
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return fail(err)
	}
	rest, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(flagsErr.Message)
		return exitOK
	case err != nil || len(rest) > 0 || (opts.Settings == "" && !opts.Version):
		fmt.Fprintln(os.Stderr, "usage: ospreyshedd --settings FILE")
		return exitUsage
	case opts.Version:
		fmt.Println(version.Version)
		return exitOK
	}
	return serve(opts.Settings)
}

// servePlatform runs the daemon with the settings file of the hosting platform until
// SIGTERM.
func servePlatform(settingsFile string) int {
	if err := platform.Run(settingsFile); err != nil {
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
