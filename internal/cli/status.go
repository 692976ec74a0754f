package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/ospreyshed/ospreyshed/internal/configuration/peersync"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

var statusCommand = command{
	name:  "status",
	short: "Show the state of entry VMs",
	long: "Asks entry VMs for the configuration that they serve by and for a few of their counters. " +
		"Exits with 1 if one could not be read or serves by no configuration.",
	new: func(b base) flags.Commander { return &statusOptions{base: b} },
}

type statusOptions struct {
	base
	peerFlags
	VMs  []string `long:"vm" value-name:"ADDRESS" required:"yes" description:"address for peers of an entry VM, IP number and port; may be given several times"`
	JSON bool     `long:"json" description:"print JSON"`
}

// vmStatus is the printed status of one entry VM.
type vmStatus struct {
	Address string `json:"address"`
	// Error is the reason why the VM could not be read, empty if it could.
	Error string `json:"error,omitempty"`
	peersync.InForce
	vmCounters
}

// vmCounters are the printed counters of one entry VM.
type vmCounters struct {
	InFlight       int64 `json:"in_flight"`
	Answered       int64 `json:"answered"`
	CancelsPending int64 `json:"cancels_pending"`
	LogUnavailable bool  `json:"log_away"`
}

// publishedVars is the part of a VM's published counters that the command reads.
type publishedVars struct {
	Gateway struct {
		InFlight int64 `json:"in_flight"`
		Answered int64 `json:"answered"`
	} `json:"gateway"`
	Canceller struct {
		Pending int64 `json:"pending"`
	} `json:"canceller"`
	LogHealth struct {
		AppendsUnavailable bool `json:"append_away"`
		ReadsUnavailable   bool `json:"read_away"`
	} `json:"log_health"`
}

// Execute implements flags.Commander.
func (o *statusOptions) Execute(rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	dialer, err := o.dialer()
	if err != nil {
		return err
	}
	all := make([]vmStatus, len(o.VMs))
	var reads sync.WaitGroup
	for i, address := range o.VMs {
		reads.Go(func() { all[i] = readStatus(o.ctx, dialer, address) })
	}
	reads.Wait()
	if err := o.print(all); err != nil {
		return err
	}
	return checkServing(all)
}

// checkServing returns an error if a VM could not be read or does not serve.
func checkServing(all []vmStatus) error {
	failed := 0
	for i := range all {
		if all[i].Error != "" || !all[i].Serving {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d entry VMs do not serve", failed, len(all))
	}
	return nil
}

// readStatus reads the status of one entry VM.
func readStatus(ctx context.Context, dialer peer.Dialer, address string) vmStatus {
	status := vmStatus{Address: address}
	inForce, err := peersync.NewRemote(dialer, address).InForce(ctx, nil)
	if err == nil {
		status.InForce = inForce
		status.vmCounters, err = readCounters(ctx, dialer, address)
	}
	if err != nil {
		status.Error = err.Error()
	}
	return status
}

func readCounters(ctx context.Context, dialer peer.Dialer, address string) (vmCounters, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, dialer.BaseURL(address)+"/debug/vars", nil)
	if err != nil {
		return vmCounters{}, err
	}
	resp, err := dialer.HTTPClient().Do(req)
	if err != nil {
		return vmCounters{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var vars publishedVars
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return vmCounters{}, fmt.Errorf("counters of %s: %w", address, err)
	}
	return vmCounters{
		InFlight:       vars.Gateway.InFlight,
		Answered:       vars.Gateway.Answered,
		CancelsPending: vars.Canceller.Pending,
		LogUnavailable: vars.LogHealth.AppendsUnavailable || vars.LogHealth.ReadsUnavailable,
	}, nil
}

func (o *statusOptions) print(all []vmStatus) error {
	if o.JSON {
		return printJSON(o.streams.Out, all)
	}
	table := tabwriter.NewWriter(o.streams.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "address\tvm\tzone\tserving\tfleet\tsubjects\tin flight\tanswered\tcancels pending\tlog away")
	for i := range all {
		s := &all[i]
		if s.Error != "" {
			_, _ = fmt.Fprintf(table, "%s\t%s\n", s.Address, s.Error)
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%d\t%d\t%d\t%d\t%d\t%t\n", s.Address, s.VM, s.Zone, s.Serving,
			s.Versions["fleet"], len(s.Versions), s.InFlight, s.Answered, s.CancelsPending, s.LogUnavailable)
	}
	return table.Flush()
}
