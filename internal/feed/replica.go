package feed

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxDeleted is the number of deleted keys that a replica remembers. Half of them are
// forgotten when it is exceeded.
const maxDeleted = 4096

// changeNumber orders the changes of a topic. The record at an offset has an even
// number; a key that was found missing from a listing has the odd number between the
// last record before the listing and the first one after it.
type changeNumber uint64

func changeOfRecord(offset uint64) changeNumber { return changeNumber(2*offset + 2) }

func changeOfListing(next uint64) changeNumber { return changeNumber(2*next + 1) }

// lastCovered returns the number of the last record before an offset.
func lastCovered(next uint64) changeNumber { return changeNumber(2 * next) }

// entry is the newest value of a key.
type entry struct {
	// value is empty if the key was deleted.
	value   []byte
	meaning Meaning
	// changed is the last change of the meaning.
	changed changeNumber
	// keepUntil is the time at which a key that a listing lacked is deleted; zero if
	// it was not missing.
	keepUntil time.Time
}

func (e *entry) present() bool { return len(e.value) > 0 }

// missing reports whether the store lacks the key although it is present here.
func (e *entry) missing() bool { return !e.keepUntil.IsZero() }

// replica is the state of one topic at one VM. It has no clock and is not safe for
// concurrent use.
type replica struct {
	meaning func(key string, value []byte) Meaning
	entries map[string]*entry
	deleted int
	// era is the era of the store that next and all change numbers belong to.
	era uint64
	// next is the offset up to which the state covers the topic. listed is false until
	// the replica has a state.
	next   uint64
	listed bool
	// forgotten is the newest change of a deleted key that is no longer remembered.
	forgotten changeNumber
	// digest combines the keys and fingerprints of all present entries, and which of them
	// are missing from the store.
	digest uint64
}

func newReplica(meaning func(string, []byte) Meaning) *replica {
	return &replica{meaning: meaning, entries: make(map[string]*entry)}
}

// older reports whether a state that covers the topic up to an offset of an era is older than
// the replica's. Offsets of different eras cannot be compared.
func (r *replica) older(era, next uint64) bool {
	if era != r.era {
		return era < r.era
	}
	return next < r.next
}

// enterEra continues the state in a later era of the store, in which the topic is covered up
// to an offset. All values that are known count as covered, so that only whole states are
// passed on to replicas of earlier eras.
func (r *replica) enterEra(era, next uint64) {
	r.era, r.next = era, next
	covered := lastCovered(next)
	r.forgotten = min(r.forgotten, covered)
	for _, e := range r.entries {
		e.changed = min(e.changed, covered)
	}
}

// applyPage applies the records of a read that began at the replica's offset, in its era. It
// returns those whose meaning has changed.
func (r *replica) applyPage(page Page) []Record {
	var changes []Record
	for i, rec := range page.Records {
		offset := r.next + uint64(i)
		if r.put(rec, changeOfRecord(offset)) {
			changes = append(changes, rec)
		}
	}
	r.next = page.Next
	return changes
}

// applyListing applies the newest record of each key. Keys that are missing from it are
// deleted, at once if keepUntil is zero, else at that time unless they come back. A
// later listing does not extend that time. The listing may be of a later era.
func (r *replica) applyListing(page Page, keepUntil time.Time) []Record {
	var changes []Record
	if page.Era != r.era {
		r.enterEra(page.Era, page.Next)
	}
	number := lastCovered(page.Next)
	listed := make(map[string]bool, len(page.Records))
	for _, rec := range page.Records {
		listed[rec.Key] = true
		if r.put(rec, number) {
			changes = append(changes, rec)
		}
	}
	r.next, r.listed = page.Next, true
	for key, e := range r.entries {
		if !e.present() || listed[key] || e.missing() {
			continue
		}
		if !keepUntil.IsZero() {
			r.setMissing(key, e, keepUntil, changeOfListing(r.next))
			continue
		}
		changes = append(changes, r.delete(key, e, changeOfListing(r.next)))
	}
	return changes
}

// setMissing notes that the store lacks a present key, or that it has it again if the time
// is zero.
func (r *replica) setMissing(key string, e *entry, keepUntil time.Time, number changeNumber) {
	r.toggle(key, e)
	e.keepUntil, e.changed = keepUntil, number
	r.toggle(key, e)
}

// expire deletes the missing keys whose time has passed.
func (r *replica) expire(now time.Time) []Record {
	var changes []Record
	for key, e := range r.entries {
		if e.present() && e.missing() && !now.Before(e.keepUntil) {
			changes = append(changes, r.delete(key, e, changeOfListing(r.next)))
		}
	}
	return changes
}

// put applies one record and reports whether the key's meaning has changed.
func (r *replica) put(rec Record, number changeNumber) bool {
	e, known := r.entries[rec.Key]
	if len(rec.Value) == 0 {
		if !known || !e.present() {
			return false
		}
		r.delete(rec.Key, e, number)
		return true
	}
	meaning := r.meaning(rec.Key, rec.Value)
	if !known {
		e = &entry{}
		r.entries[rec.Key] = e
	} else if !meaning.follows(e.meaning) {
		if e.present() && e.missing() && !meaning.precedes(e.meaning) {
			r.setMissing(rec.Key, e, time.Time{}, number)
		}
		return false
	}
	same := e.present() && e.meaning.Fingerprint == meaning.Fingerprint
	cameBack := e.missing()
	if known && !e.present() {
		r.deleted--
	}
	if meaning.Unordered && known && !e.meaning.Unordered {
		// The order of the last ordered value still recognises delayed copies of it.
		meaning.Major, meaning.Minor, meaning.Unordered = e.meaning.Major, e.meaning.Minor, false
	}
	r.toggle(rec.Key, e)
	e.value, e.meaning, e.keepUntil = rec.Value, meaning, time.Time{}
	r.toggle(rec.Key, e)
	if !same || cameBack {
		e.changed = number
	}
	return !same
}

func (r *replica) delete(key string, e *entry, number changeNumber) Record {
	r.toggle(key, e)
	e.value, e.changed, e.keepUntil = nil, number, time.Time{}
	r.deleted++
	r.forgetDeleted()
	return Record{Key: key}
}

// forgetDeleted drops the older half of the deleted keys when there are too many.
func (r *replica) forgetDeleted() {
	if r.deleted <= maxDeleted {
		return
	}
	var numbers []changeNumber
	for _, e := range r.entries {
		if !e.present() {
			numbers = append(numbers, e.changed)
		}
	}
	slices.Sort(numbers)
	r.forgotten = max(r.forgotten, numbers[len(numbers)/2])
	for key, e := range r.entries {
		if !e.present() && e.changed <= r.forgotten {
			delete(r.entries, key)
			r.deleted--
		}
	}
}

// toggle adds a present entry to the digest, or removes it.
func (r *replica) toggle(key string, e *entry) {
	if !e.present() {
		return
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(key)
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, e.meaning.Fingerprint))
	if e.missing() {
		_, _ = hash.Write([]byte{1})
	}
	r.digest ^= hash.Sum64()
}

// update brings the state of another replica up to date.
type update struct {
	// era and next are the era of the store and the offset up to which the update covers
	// the topic.
	era, next uint64
	// whole says that the entries are the whole state.
	whole bool
	// digest is that of the state after the update.
	digest  uint64
	entries []updateEntry
}

// size returns the approximate number of bytes of the entries.
func (u *update) size() int {
	n := 0
	for _, e := range u.entries {
		n += len(e.Key) + len(e.Value)
	}
	return n
}

type updateEntry struct {
	Record
	changed changeNumber
	// missing says that the store lacks the key and it is kept for a while.
	missing bool
}

// updateSince returns the update for a replica that knows the topic up to an offset of the
// same era, or the whole state.
func (r *replica) updateSince(next uint64, whole bool) update {
	whole = whole || lastCovered(next) < r.forgotten
	u := update{era: r.era, next: r.next, whole: whole, digest: r.digest}
	for key, e := range r.entries {
		if whole && !e.present() || !whole && e.changed <= lastCovered(next) {
			continue
		}
		u.entries = append(u.entries, updateEntry{Record{key, e.value}, e.changed, e.missing()})
	}
	return u
}

// adopt applies an update that is not older than the state, and returns the records
// whose meaning has changed. The second result is false if the state differs from the
// sender's afterwards; then the whole state is needed.
//
// An update of a later era must be whole. Keys that it lacks, or that the store lacks according
// to the sender, are kept until the given time. The sender deletes them sooner if it can.
func (r *replica) adopt(u update, keepUntil time.Time) ([]Record, bool) {
	var changes []Record
	laterEra := u.era != r.era
	if laterEra {
		r.enterEra(u.era, u.next)
	}
	named := make(map[string]bool, len(u.entries))
	for _, incoming := range u.entries {
		named[incoming.Key] = true
		if r.replace(incoming, keepUntil) {
			changes = append(changes, incoming.Record)
		}
	}
	r.next, r.listed = u.next, true
	if u.whole {
		for key, e := range r.entries {
			switch {
			case !e.present() || named[key] || e.missing():
			case laterEra:
				r.setMissing(key, e, keepUntil, changeOfListing(r.next))
			default:
				changes = append(changes, r.delete(key, e, changeOfListing(r.next)))
			}
		}
	}
	return changes, r.digest == u.digest
}

// replace sets a key to the value that a newer state has, and reports whether its
// meaning has changed. A value that is known to be older is ignored: the sender may have
// started while the store had an older copy.
func (r *replica) replace(incoming updateEntry, keepUntil time.Time) bool {
	e, known := r.entries[incoming.Key]
	if len(incoming.Value) == 0 {
		if !known || !e.present() {
			return false
		}
		r.delete(incoming.Key, e, incoming.changed)
		return true
	}
	meaning := r.meaning(incoming.Key, incoming.Value)
	switch {
	case !known:
		e = &entry{}
		r.entries[incoming.Key] = e
	case meaning.precedes(e.meaning):
		return false
	case !e.present():
		r.deleted--
	}
	same := e.present() && e.meaning.Fingerprint == meaning.Fingerprint
	if !incoming.missing {
		keepUntil = time.Time{}
	} else if e.missing() {
		keepUntil = e.keepUntil
	}
	r.toggle(incoming.Key, e)
	e.value, e.meaning, e.changed, e.keepUntil = incoming.Value, meaning, incoming.changed, keepUntil
	r.toggle(incoming.Key, e)
	return !same
}
