package cli

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/configuration/peersync"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// inForcePollInterval is the time between two polls of a VM.
const inForcePollInterval = 200 * time.Millisecond

// publishedVersions holds the published versions to wait for, by subject.
type publishedVersions struct {
	subjects []string
	versions map[string]uint64
}

func newPublishedVersions(report configuration.Report) publishedVersions {
	p := publishedVersions{versions: make(map[string]uint64, len(report.Results))}
	for _, result := range report.Results {
		p.subjects = append(p.subjects, result.Subject)
		p.versions[result.Subject] = result.Version
	}
	return p
}

// targetAddresses returns the addresses of the VMs that the command contacts: those
// given by --vm, or those of all VMs in the bundle.
func (o *publishOptions) targetAddresses(bundle configuration.Bundle) []string {
	if len(o.VMs) > 0 {
		return o.VMs
	}
	addresses := make([]string, len(bundle.Fleet.VMs))
	for i, vm := range bundle.Fleet.VMs {
		addresses[i] = vm.Address
	}
	return addresses
}

// await waits until all VMs serve by the published versions. The error lists the
// VMs that did not confirm this in time.
func (o *publishOptions) await(ctx context.Context, dialer peer.Dialer, addresses []string, p publishedVersions) error {
	lines := make([]string, len(addresses))
	var polls sync.WaitGroup
	start := time.Now()
	for i, address := range addresses {
		polls.Go(func() {
			inForce, ok := awaitVM(ctx, peersync.NewRemote(dialer, address), p)
			if ok {
				elapsed := time.Since(start).Round(time.Millisecond)
				lines[i] = fmt.Sprintf("in force: %s in %s after %s", inForce.VM, inForce.Zone, elapsed)
			}
		})
	}
	polls.Wait()
	return o.printWait(addresses, lines)
}

func (o *publishOptions) printWait(addresses, lines []string) error {
	var missing []string
	for i, line := range lines {
		if line == "" {
			missing = append(missing, addresses[i])
			continue
		}
		if _, err := fmt.Fprintln(o.streams.Out, line); err != nil {
			return err
		}
	}
	if len(missing) > 0 {
		return fmt.Errorf("not known to be in force at the VMs at %s", strings.Join(missing, ", "))
	}
	return nil
}

// awaitVM polls a VM until it serves by the versions or the context ends.
func awaitVM(ctx context.Context, remote *peersync.Remote, p publishedVersions) (peersync.InForce, bool) {
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		inForce, err := remote.InForce(ctx, p.subjects)
		if err == nil && inForce.Reached(p.versions) {
			return inForce, true
		}
		select {
		case <-ctx.Done():
			return inForce, false
		case <-ticker.C:
		}
	}
}
