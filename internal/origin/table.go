package origin

import (
	"strings"
	"time"
	"unique"
)

// none is the index of no slot.
const none = int32(-1)

// slot is one record. Names of services and builds are shared among records.
type slot struct {
	stream         string
	service, build unique.Handle[string]
	revision       uint64
	// expires is the end of the record's lifetime.
	expires time.Duration
	// run is set for a stream that was served here.
	run *run
	// previous and next order the slots by the time of their last change.
	previous, next int32
}

// origin returns the record of a slot.
func (s *slot) origin() Origin {
	return Origin{Stream: s.stream, Service: s.service.Value(), Build: s.build.Value(), Revision: s.revision}
}

// table is a limited number of records. When it is full, the one that was unchanged for
// longest is dropped. Times are durations since any fixed time. It is not safe for
// concurrent use.
type table struct {
	limit          int
	index          map[string]int32
	slots          []slot
	free           []int32
	oldest, newest int32
}

func newTable(limit int) *table {
	return &table{limit: limit, index: make(map[string]int32), oldest: none, newest: none}
}

func (t *table) size() int { return len(t.index) }

// get returns the record of a stream unless its lifetime has ended; nil if there is
// none. It is valid until the next change of the table.
func (t *table) get(now time.Duration, stream string) *slot {
	i, known := t.index[stream]
	if !known || t.slots[i].expires <= now {
		return nil
	}
	return &t.slots[i]
}

// merged is the outcome of put.
type merged struct {
	slot *slot
	// conflict is set if the known record has another build at the same revision. It
	// is kept.
	conflict bool
	// dropped is set if another record was dropped because the table was full.
	dropped bool
}

// put adds a record or merges it with the known one: the higher revision and the later
// end of the lifetime win.
func (t *table) put(now time.Duration, o *Origin, expires time.Duration) merged {
	if known := t.get(now, o.Stream); known != nil {
		return t.merge(known, o, expires)
	}
	t.delete(o.Stream)
	result := merged{dropped: t.size() >= t.limit}
	if result.dropped {
		t.remove(t.oldest)
	}
	i := t.allocate()
	// The stream's id may be a part of a larger string, which would stay in memory.
	stream := strings.Clone(o.Stream)
	t.slots[i] = slot{
		stream: stream, service: unique.Make(o.Service), build: unique.Make(o.Build), revision: o.Revision, expires: expires,
	}
	t.index[stream] = i
	t.append(i)
	result.slot = &t.slots[i]
	return result
}

func (t *table) merge(known *slot, o *Origin, expires time.Duration) merged {
	result := merged{slot: known}
	if o.Revision > known.revision {
		known.service, known.build, known.revision = unique.Make(o.Service), unique.Make(o.Build), o.Revision
	} else if o.Revision == known.revision {
		result.conflict = known.build.Value() != o.Build
	}
	if expires > known.expires {
		known.expires = expires
		i := t.index[o.Stream]
		t.unlink(i)
		t.append(i)
	}
	return result
}

// delete removes the record of a stream, if any.
func (t *table) delete(stream string) {
	if i, known := t.index[stream]; known {
		t.remove(i)
	}
}

// expire removes records whose lifetime has ended. A record that arrived with part of
// its lifetime passed may be removed later than that.
func (t *table) expire(now time.Duration) {
	for t.oldest != none && t.slots[t.oldest].expires <= now {
		t.remove(t.oldest)
	}
}

// all calls a function for each record whose lifetime has not ended.
func (t *table) all(now time.Duration, visit func(*slot)) {
	for i := t.oldest; i != none; i = t.slots[i].next {
		if t.slots[i].expires > now {
			visit(&t.slots[i])
		}
	}
}

func (t *table) allocate() int32 {
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i
	}
	t.slots = append(t.slots, slot{})
	return int32(len(t.slots) - 1)
}

func (t *table) remove(i int32) {
	delete(t.index, t.slots[i].stream)
	t.unlink(i)
	t.slots[i] = slot{}
	t.free = append(t.free, i)
}

func (t *table) append(i int32) {
	t.slots[i].previous, t.slots[i].next = t.newest, none
	if t.newest == none {
		t.oldest = i
	} else {
		t.slots[t.newest].next = i
	}
	t.newest = i
}

func (t *table) unlink(i int32) {
	previous, next := t.slots[i].previous, t.slots[i].next
	if previous == none {
		t.oldest = next
	} else {
		t.slots[previous].next = next
	}
	if next == none {
		t.newest = previous
	} else {
		t.slots[next].previous = previous
	}
}

// setExpiry sets the end of a record's lifetime.
func (t *table) setExpiry(stream string, expires time.Duration) {
	if i, known := t.index[stream]; known {
		t.slots[i].expires = expires
		t.unlink(i)
		t.append(i)
	}
}
