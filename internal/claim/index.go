package claim

import (
	"slices"
	"time"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
)

// writerID is a comparable Writer with its VM interned.
type writerID struct {
	incarnation *vmIncarnation
	sequence    uint64
}

// vmIncarnation is one incarnation of an entry VM.
type vmIncarnation struct {
	vm          string
	incarnation uint64
}

// entry is the state that results from the records of one key.
type entry struct {
	claimant writerID
	// deliverer is the writer that holds the right to deliver; zero if none.
	deliverer writerID
	// execution is unspecified until an outcome is recorded.
	execution claimv1.Execution
	delivered bool
	answer    *claimv1.Answer
	// returned are the writers of deliveries that were given up.
	returned []writerID
}

// firstRecord is a key with the offset and time of its first record, for
// eviction.
type firstRecord struct {
	key    string
	offset uint64
	time   time.Time
}

// index is the state of all keys of one shard. It is a pure function of the
// stream's records in their order. It is not safe for concurrent use.
type index struct {
	entries  map[string]*entry
	interned map[vmIncarnation]*vmIncarnation
	// firstRecords are the first records of all keys in the order of the
	// stream.
	firstRecords []firstRecord
	// completeFrom is the time from which no record is missing.
	completeFrom time.Time
}

func newIndex() *index {
	return &index{
		entries:  make(map[string]*entry),
		interned: make(map[vmIncarnation]*vmIncarnation),
	}
}

// id interns a writer.
func (x *index) id(w *claimv1.Writer) writerID {
	value := vmIncarnation{vm: w.GetVm(), incarnation: w.GetIncarnation()}
	interned, ok := x.interned[value]
	if !ok {
		interned = &value
		x.interned[value] = interned
	}
	return writerID{incarnation: interned, sequence: w.GetSequence()}
}

// apply applies the next record of the stream.
func (x *index) apply(offset uint64, at time.Time, record *claimv1.Record) {
	key := recordKey(record)
	writer := x.id(record.GetWriter())
	e := x.entries[key]
	if e == nil {
		if !createsEntry(record) {
			return
		}
		e = &entry{claimant: writer}
		x.entries[key] = e
		x.firstRecords = append(x.firstRecords, firstRecord{key: key, offset: offset, time: at})
	}
	switch kind := record.GetKind().(type) {
	case *claimv1.Record_Outcome:
		e.finish(writer, kind.Outcome)
	case *claimv1.Record_Delivery:
		e.deliver(writer)
	case *claimv1.Record_DeliveryReturned:
		e.returnDelivery(writer)
	case *claimv1.Record_DeliveryConfirmed:
		e.confirm(writer)
	}
}

// createsEntry reports whether a record creates the entry of a key that has
// none. An outcome "not run" does so, because the append of its claim may still
// take effect later.
func createsEntry(record *claimv1.Record) bool {
	if record.GetClaim() != nil {
		return true
	}
	return record.GetOutcome().GetExecution() == claimv1.Execution_EXECUTION_NOT_RUN
}

// finish records the outcome of the winning claim; outcomes after the first are
// ignored.
func (e *entry) finish(writer writerID, outcome *claimv1.Outcome) {
	if writer != e.claimant || e.execution != claimv1.Execution_EXECUTION_UNSPECIFIED {
		return
	}
	e.execution = outcome.GetExecution()
	e.delivered = outcome.GetDelivered()
	if e.deliverable() {
		e.answer = outcome.GetAnswer()
	}
}

// deliver grants the right to deliver to the first writer that requests it.
func (e *entry) deliver(writer writerID) {
	if !e.deliverable() || e.deliverer != (writerID{}) {
		return
	}
	if slices.Contains(e.returned, writer) {
		return
	}
	e.deliverer = writer
}

// returnDelivery gives up a delivery, even if its delivery record is applied
// only later.
func (e *entry) returnDelivery(writer writerID) {
	e.returned = append(e.returned, writer)
	if e.deliverer == writer {
		e.deliverer = writerID{}
	}
}

// confirm records that a delivery reached the caller.
func (e *entry) confirm(writer writerID) {
	if e.deliverer == writer {
		e.delivered = true
		e.answer = nil
	}
}

// deliverable reports whether an answer is still to be delivered.
func (e *entry) deliverable() bool {
	return e.execution == claimv1.Execution_EXECUTION_RAN && !e.delivered
}

// terminal reports whether no further record can change the decision for
// repeats.
func (e *entry) terminal() bool {
	return e.execution != claimv1.Execution_EXECUTION_UNSPECIFIED && !e.deliverable()
}

// reflects reports whether the entry already determines the effect of a
// writer's record, so that appending the record would change nothing. The
// result must not depend on the absence of another record, since that may have
// been appended in the meantime.
func (e *entry) reflects(writer writerID, record *claimv1.Record) bool {
	switch record.GetKind().(type) {
	case *claimv1.Record_Claim:
		return true
	case *claimv1.Record_Outcome:
		return e.claimant != writer || e.execution != claimv1.Execution_EXECUTION_UNSPECIFIED
	case *claimv1.Record_Delivery:
		return e.terminal() || e.deliverer != (writerID{}) || slices.Contains(e.returned, writer)
	default:
		return e.delivered || slices.Contains(e.returned, writer)
	}
}

// state returns the entry as a protobuf message.
func (e *entry) state() *claimv1.KeyState {
	return &claimv1.KeyState{
		Claimant:  e.claimant.message(),
		Execution: e.execution,
		Delivered: e.delivered,
		Answer:    e.answer,
		Deliverer: e.deliverer.message(),
	}
}

func (w writerID) message() *claimv1.Writer {
	if w.incarnation == nil {
		return nil
	}
	return &claimv1.Writer{Vm: w.incarnation.vm, Incarnation: w.incarnation.incarnation, Sequence: w.sequence}
}

// evict removes keys whose first record is older than the given time.
func (x *index) evict(before time.Time) {
	dropped := 0
	for dropped < len(x.firstRecords) && x.firstRecords[dropped].time.Before(before) {
		delete(x.entries, x.firstRecords[dropped].key)
		dropped++
	}
	x.firstRecords = x.firstRecords[dropped:]
	x.markIncomplete(before)
}

// lost reports whether the log removed a record that it should still retain.
func (x *index) lost(firstOffset uint64) bool {
	return len(x.firstRecords) > 0 && x.firstRecords[0].offset < firstOffset
}

// markIncomplete marks records before the given time as possibly missing.
func (x *index) markIncomplete(before time.Time) {
	if before.After(x.completeFrom) {
		x.completeFrom = before
	}
}

// covers reports whether the index contains every record that the log ever held
// of a key issued at the given time.
func (x *index) covers(issued time.Time, skew time.Duration) bool {
	return issued.Add(-skew - Margin).After(x.completeFrom)
}

// recordKey returns the key of a record as one string.
func recordKey(record *claimv1.Record) string {
	return Key{Team: record.GetTeam(), Key: record.GetKey()}.text()
}
