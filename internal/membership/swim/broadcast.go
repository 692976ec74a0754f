package swim

import (
	"cmp"
	"slices"
)

// broadcastQueue holds the VMs whose latest update is still to be piggybacked.
// Each update is sent a bounded number of times.
type broadcastQueue struct {
	// sent counts the transmissions by VM.
	sent map[string]int
}

func newBroadcastQueue() broadcastQueue { return broadcastQueue{sent: make(map[string]int)} }

// add queues a VM's latest update and resets its transmission count.
func (s *broadcastQueue) add(vm string) { s.sent[vm] = 0 }

// take returns at most limit VMs other than skip, those sent least often first,
// and counts one transmission for each. A VM is removed from the queue after
// repeats transmissions.
func (s *broadcastQueue) take(limit, repeats int, skip string) []string {
	if len(s.sent) == 0 {
		return nil
	}
	names := make([]string, 0, len(s.sent))
	for vm := range s.sent {
		if vm != skip {
			names = append(names, vm)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.sent[a], s.sent[b]), cmp.Compare(a, b))
	})
	names = names[:min(limit, len(names))]
	for _, vm := range names {
		s.sent[vm]++
		if s.sent[vm] >= repeats {
			delete(s.sent, vm)
		}
	}
	return names
}
