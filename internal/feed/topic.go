package feed

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

var (
	errorNamespace = errorx.NewNamespace("feed").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// Trimmed means that the store no longer has the records to be read.
	Trimmed = errorNamespace.NewType("trimmed")
	// OlderEra means that the store sent a response of an era that has ended.
	OlderEra = errorNamespace.NewType("older-era")
	// NothingNewer means that a source had nothing newer within the time.
	NothingNewer = errorNamespace.NewType("nothing-newer")
)

// Record is one record of a topic.
type Record struct {
	Key string
	// Value is empty if the key was deleted.
	Value []byte
}

// Page is the result of reading a topic.
type Page struct {
	Records []Record
	// Next is the offset that follows the last record.
	Next uint64
	// Era is the era of the store that the records and the offset belong to.
	Era uint64
}

// Store reads the topics of the platform's store. The store may come back from an older copy
// of itself: then it has lost its newest records and gives out their offsets again. Each such
// return begins a new era, which has a higher number. Era 0 means that the store names none.
type Store interface {
	// List returns the newest record of each key. Next is the end of the topic before
	// the first record was read.
	List(ctx context.Context, topic string) (Page, error)
	// Read returns the records from an offset on. It waits up to the given time for
	// the first one. The error is Trimmed if the store no longer has them all.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error)
}

// Meaning is what is compared of two values of a key.
type Meaning struct {
	// Fingerprint is equal for values that need not be told apart.
	Fingerprint uint64
	// Major and Minor order the values of a key. A value that does not follow the
	// newest known one is a delayed copy and ignored, unless it is Unordered.
	Major, Minor int64
	Unordered    bool
}

// precedes reports whether a value is known to be older than another one of the same key.
func (m Meaning) precedes(other Meaning) bool {
	return !m.Unordered && !other.Unordered && other.follows(m)
}

// follows reports whether a value is newer than another one of the same key.
func (m Meaning) follows(other Meaning) bool {
	if m.Unordered {
		return true
	}
	if m.Major != other.Major {
		return m.Major > other.Major
	}
	return m.Minor > other.Minor
}

// Topic is a topic that all VMs know.
type Topic struct {
	Name string
	// MaxAge is the time within which each VM must know a record.
	MaxAge time.Duration
	// LongPoll makes the reader wait for records, so that they are known at once.
	LongPoll bool
	// LapseGrace is how long a key is kept that is missing after an outage of the
	// store, because its owner has to write it again.
	LapseGrace time.Duration
	// Consult makes a VM that starts ask another one for what the store may have lost.
	Consult bool
	// Wanted reports whether the reader of a zone should read the topic in this step although
	// its state is not old yet; nil if it never should. It must not block.
	Wanted func() bool
	// Meaning returns what is compared of a value.
	Meaning func(key string, value []byte) Meaning
	// Apply receives the records whose meaning has changed. It is first called once the
	// topic is known, with no records if it is empty. It must not block.
	Apply func([]Record)
}
