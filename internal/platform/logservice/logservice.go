// Package logservice is the client of the platform's append-only log.
//
// Service is the interface to the log's wire protocol. All state that must be
// durable or agreed on between VMs is written to the log; conflicts are decided
// only by the total order of offsets in a stream.
package logservice

import (
	"context"
	"time"
)

// Entry is a record to append.
type Entry struct {
	// ID is unique per record. With it a writer can find its own record if the
	// response to the append was lost.
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
	// FirstOffset is the oldest offset that the log still retains.
	FirstOffset uint64
	// NextOffset is the offset that the next appended record will get.
	NextOffset uint64
	// Time is the log service's clock at the read.
	Time time.Time
	// Records start at the requested offset or at FirstOffset, whichever is higher.
	Records []Record
}

// Service is the log's wire protocol. Implementations are safe for concurrent use.
type Service interface {
	// Append adds either all entries at consecutive offsets or none, and returns
	// the first offset. After an InDoubt error the append may have taken effect or
	// may still do so.
	Append(ctx context.Context, stream string, entries []Entry) (uint64, error)
	// Read returns at most limit records, beginning at offset from. If there are
	// none yet it waits for them, at most for wait.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}
