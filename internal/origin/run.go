package origin

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// run is a stream that is or was served here, with the copies of its record.
type run struct {
	// ended is set when the stream has ended incomplete. Its holders are still kept.
	ended bool
	// renewed is the time at which the lifetime of the copies last began.
	renewed time.Duration
	// buildRevision is the revision that brought the present build.
	buildRevision uint64
	// copies are all processes to which the record was sent.
	copies []sentCopy
	// due is set while the run waits for its copies to be checked.
	due bool
	// settled is set once all holders have the record.
	settled bool
	// failures is the number of failed calls since the last periodic check.
	failures int
	archived archived
}

// sentCopy is a copy of a record at another VM.
type sentCopy struct {
	vm string
	// first is the revision that was sent first.
	first uint64
	// acked is set once the VM has acknowledged a record, the last one with this
	// revision when this incarnation was in view. The process that acknowledged may
	// have been a later one.
	acked       bool
	incarnation uint64
	revision    uint64
	// stale is set if the lifetime of the copy must be renewed.
	stale bool
	// inFlight is set while a call carries the record.
	inFlight bool
}

// current reports whether the VM is known to have the present build.
func (c *sentCopy) current(r *run) bool { return c.acked && c.revision >= r.buildRevision }

// outdated reports whether the VM may have a former build.
func (c *sentCopy) outdated(r *run) bool { return c.first < r.buildRevision && !c.current(r) }

// find returns the copy at a VM, or nil.
func (r *run) find(vm string) *sentCopy {
	for i := range r.copies {
		if r.copies[i].vm == vm {
			return &r.copies[i]
		}
	}
	return nil
}

// sending notes that a call carries a revision to a member, and reports whether it is
// the first one.
func (r *run) sending(m *membership.Member, revision uint64) bool {
	c := r.find(m.VM)
	added := c == nil
	if added {
		r.copies = append(r.copies, sentCopy{vm: m.VM, first: revision})
		c = &r.copies[len(r.copies)-1]
	}
	c.inFlight = true
	return added
}

// sent notes the outcome of a call.
func (r *run) sent(m *membership.Member, revision uint64, ok bool) {
	c := r.find(m.VM)
	c.inFlight = false
	if !ok {
		r.failures++
		return
	}
	c.acked, c.incarnation, c.revision, c.stale = true, m.Incarnation, revision, false
}

// missing returns the holders that are not known to have the record. It includes those
// to which a call is in flight.
func (r *run) missing(ranks *ranking) []candidate {
	used := make([]bool, len(r.copies))
	var missing []candidate
	for _, holder := range ranks.holders() {
		at := -1
		for i := range r.copies {
			c := &r.copies[i]
			if used[i] || c.stale || !c.current(r) || !ranks.counts(c.vm, c.incarnation, &holder) {
				continue
			}
			if at < 0 || c.vm == holder.VM {
				at = i
			}
		}
		if at < 0 {
			missing = append(missing, holder)
			continue
		}
		used[at] = true
	}
	return missing
}

// outdated returns the VMs that may have a former build, also those that are not in view:
// a VM that has just started again may be reached before it is.
func (r *run) outdated() []string {
	var outdated []string
	for i := range r.copies {
		if c := &r.copies[i]; c.outdated(r) {
			outdated = append(outdated, c.vm)
		}
	}
	return outdated
}
