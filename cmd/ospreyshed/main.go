// Command ospreyshed is the command-line tool of ospreyshed.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ospreyshed/ospreyshed/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := cli.Main(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
