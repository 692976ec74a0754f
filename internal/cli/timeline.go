package cli

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
	"github.com/ospreyshed/ospreyshed/internal/timeline/timelinerpc"
)

// followInterval is the time between two reads of "timeline --follow".
const followInterval = 500 * time.Millisecond

var timelineCommand = command{
	name:  "timeline",
	short: "Show the merged time line of entry VMs",
	long: "Reads the events that entry VMs keep and prints them in one order. " +
		"Exits with 1 if an entry VM could not be read; the events of the others are printed.",
	new: func(b base) flags.Commander { return &timelineOptions{base: b} },
}

type timelineOptions struct {
	base
	peerFlags
	VMs     []string `long:"vm" value-name:"ADDRESS" required:"yes" description:"address for peers of an entry VM, IP number and port; may be given several times"`
	Request string   `long:"request" value-name:"ID" description:"show only the events of this request and its attempts"`
	JSON    bool     `long:"json" description:"print one JSON object per event"`
	Follow  bool     `long:"follow" description:"go on printing new events until interrupted"`
}

// Execute implements flags.Commander.
func (o *timelineOptions) Execute(rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	dialer, err := o.dialer()
	if err != nil {
		return err
	}
	readers := o.readers(dialer)
	if !o.Follow {
		return o.printOnce(readers)
	}
	return o.follow(readers)
}

func (o *timelineOptions) readers(dialer peer.Dialer) []*timelinerpc.Reader {
	readers := make([]*timelinerpc.Reader, len(o.VMs))
	for i, address := range o.VMs {
		readers[i] = timelinerpc.NewReader(dialer, address, o.Request)
	}
	return readers
}

// timelineRead is the result of reading one entry VM.
type timelineRead struct {
	address string
	batch   timeline.Batch
	err     error
}

// printOnce prints the events of all readers once and returns an error if a reader
// failed.
func (o *timelineOptions) printOnce(readers []*timelinerpc.Reader) error {
	reads := readAll(o.ctx, readers)
	if err := o.print(reads); err != nil {
		return err
	}
	failed := o.printWarnings(reads)
	if failed > 0 {
		return fmt.Errorf("%d of %d entry VMs could not be read", failed, len(reads))
	}
	return nil
}

// follow prints new events until the context is done.
func (o *timelineOptions) follow(readers []*timelinerpc.Reader) error {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		reads := readAll(o.ctx, readers)
		if err := o.print(reads); err != nil {
			return err
		}
		if o.ctx.Err() != nil {
			return nil
		}
		o.printWarnings(reads)
		select {
		case <-o.ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// readAll reads all entry VMs concurrently.
func readAll(ctx context.Context, readers []*timelinerpc.Reader) []timelineRead {
	reads := make([]timelineRead, len(readers))
	var group sync.WaitGroup
	for i, reader := range readers {
		group.Go(func() {
			batch, err := reader.Read(ctx)
			reads[i] = timelineRead{address: reader.Address(), batch: batch, err: err}
		})
	}
	group.Wait()
	return reads
}

// print merges the events of all entry VMs and prints them.
func (o *timelineOptions) print(reads []timelineRead) error {
	var events []timeline.Event
	for i := range reads {
		events = append(events, reads[i].batch.Events...)
	}
	merged := timeline.Merge(events)
	if o.JSON {
		return timeline.WriteJSON(o.streams.Out, merged)
	}
	return timeline.WriteText(o.streams.Out, merged)
}

// printWarnings prints failures and the numbers of dropped events to standard
// error and returns the number of failures.
func (o *timelineOptions) printWarnings(reads []timelineRead) int {
	failed := 0
	for i := range reads {
		read := &reads[i]
		if read.batch.Dropped > 0 {
			_, _ = fmt.Fprintf(o.streams.Err, "%s: %d events were overwritten before they were read\n",
				read.address, read.batch.Dropped)
		}
		if read.err != nil {
			_, _ = fmt.Fprintf(o.streams.Err, "%s: %s\n", read.address, read.err)
			failed++
		}
	}
	return failed
}
