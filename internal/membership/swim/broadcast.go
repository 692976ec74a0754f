package swim

import (
	"cmp"
	"slices"
)

// broadcastQueue holds the VMs whose latest update is still to be sent. It is the
// bounded retransmission of piggybacked updates.
type broadcastQueue struct {
	sent map[string]int
}

func newBroadcastQueue() broadcastQueue { return broadcastQueue{sent: make(map[string]int)} }

// add starts the sending of a VM's latest update anew.
func (s *broadcastQueue) add(vm string) { s.sent[vm] = 0 }

// take returns at most limit VMs, those sent least often first, and counts them
// as sent once more. A VM is dropped once it was sent repeats times.
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
