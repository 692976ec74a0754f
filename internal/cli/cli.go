// Package cli implements the ospreyshed command-line tool. Each command is
// implemented in its own file and listed in commands.go.
//
// Exit codes: 0 for success, 1 for a failure, 2 for wrong usage or bad input.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

// The exit codes of all commands.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Streams are the standard streams of a command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// command describes one command or a group of commands.
type command struct {
	name, short, long string
	// new returns a flags.Commander with the command's options; nil for a group.
	new func(base) flags.Commander
	// children are the commands of a group or the subcommands of a command.
	children []command
}

// base is embedded in every command. The exported fields of the command are its
// options, which go-flags sets.
type base struct {
	ctx     context.Context
	streams Streams
}

// noArguments returns a usage error if there are unparsed positional arguments.
func noArguments(rest []string) error {
	if len(rest) > 0 {
		return &usageError{fmt.Sprintf("unexpected arguments: %q", rest)}
	}
	return nil
}

type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, streams Streams) int {
	parser := flags.NewNamedParser("ospreyshed", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Manages and measures ospreyshed, a router for separate prefill and decode pools."
	for _, c := range commands() {
		if err := add(ctx, parser.Command, c, streams); err != nil {
			_, _ = fmt.Fprintln(streams.Err, err)
			return ExitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err, streams)
}

// parent is a command to which subcommands can be added.
type parent interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

func add(ctx context.Context, to parent, c command, streams Streams) error {
	var data any = &struct{}{}
	if c.new != nil {
		data = c.new(base{ctx: ctx, streams: streams})
	}
	added, err := to.AddCommand(c.name, c.short, c.long, data)
	if err != nil {
		return err
	}
	added.SubcommandsOptional = c.new != nil
	for _, child := range c.children {
		if err := add(ctx, added, child, streams); err != nil {
			return err
		}
	}
	return nil
}

// report prints the outcome of a command and returns its exit code.
func report(err error, streams Streams) int {
	if err == nil {
		return ExitOK
	}
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) {
		if flagsErr.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(streams.Out, flagsErr.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(streams.Err, flagsErr.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(streams.Err, err)
	var usageErr *usageError
	var findings *finding.Error
	if errors.As(err, &usageErr) || errors.As(err, &findings) {
		return ExitUsage
	}
	return ExitFailed
}
