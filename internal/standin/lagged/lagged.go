// Package lagged provides a value whose changes readers see with a delay.
package lagged

import "time"

// Value is a value that is read as it was some time ago. It is not safe for
// concurrent use.
type Value[T any] struct {
	versions []version[T]
}

type version[T any] struct {
	since time.Time
	value T
}

// Set records the value as of now. The first value is visible immediately.
func (v *Value[T]) Set(now time.Time, value T) {
	v.versions = append(v.versions, version[T]{since: now, value: value})
}

// At returns the value as of a time, or the oldest retained version if that is
// newer. It drops the versions older than the returned one, so after a call with
// a later time, an earlier time may yield too new a value.
func (v *Value[T]) At(at time.Time) T {
	newest := 0
	for i := range v.versions {
		if v.versions[i].since.After(at) {
			break
		}
		newest = i
	}
	v.versions = v.versions[newest:]
	return v.versions[0].value
}

// Prune drops the versions that are no longer in effect at the given time or later.
func (v *Value[T]) Prune(at time.Time) {
	if len(v.versions) > 0 {
		v.At(at)
	}
}
