// Package logservice is the client of the platform's append-only log.
//
// Service is the narrow interface to the log's wire protocol. Everything that
// must last or be agreed goes through it; the total order of a stream's offsets
// is the only arbiter.
package logservice

import (
	"context"
	"time"
)

// Entry is a record to append.
type Entry struct {
	// ID is unique per record and lets a writer find its own record after a
	// lost answer.
	ID string
	// Data is the encoded record.
	Data []byte
}

// Record is an appended entry.
type Record struct {
	Offset uint64
	// Time is the log service's clock at the append.
	Time time.Time
	Entry
}

// Page is the result of a read.
type Page struct {
	// FirstOffset is the oldest offset still kept.
	FirstOffset uint64
	// NextOffset is the offset of the record that will be appended next.
	NextOffset uint64
	// Time is the log service's clock at the read.
	Time time.Time
	// Records start at the offset asked for or at FirstOffset, whichever is higher.
	Records []Record
}

// Service is the log's wire protocol. Implementations are safe for concurrent use.
type Service interface {
	// Append adds all entries at consecutive offsets or none and returns the
	// first offset. An InDoubt error means that the append may still take effect.
	Append(ctx context.Context, stream string, entries []Entry) (uint64, error)
	// Read returns records from an offset on, at most limit of them. If there is
	// none it waits up to wait.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}
