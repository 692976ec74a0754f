package logservice

import "context"

// Appended is the outcome of one entry passed to AppendAll.
type Appended struct {
	// Offset is valid if Err is nil.
	Offset uint64
	// Err is an error as returned by Appender.Append.
	Err error
}

// AppendAll adds entries to a stream and returns the outcome of each. The entries are
// queued together and therefore share as few appends as the limits allow, but the
// group is not atomic: some of its entries may be appended and others not.
func (a *Appender) AppendAll(ctx context.Context, stream string, purpose Purpose, entries []Entry) []Appended {
	group := make([]*pendingEntry, len(entries))
	for i, entry := range entries {
		group[i] = newPendingEntry(entry)
	}
	results := make([]Appended, len(entries))
	q, err := a.enqueue(stream, purpose, group...)
	for i, p := range group {
		if err != nil {
			results[i].Err = err
			continue
		}
		results[i].Offset, results[i].Err = a.await(ctx, q, p)
	}
	return results
}
