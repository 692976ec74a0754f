// Package lagged keeps a value that readers see with a delay.
package lagged

import "time"

// Value is a value read as it was some time ago. It is not safe for concurrent use.
type Value[T any] struct {
	versions []version[T]
}

type version[T any] struct {
	since time.Time
	value T
}

// Set records the value from now on. The first value is seen at once.
func (v *Value[T]) Set(now time.Time, value T) {
	v.versions = append(v.versions, version[T]{since: now, value: value})
}

// At returns the value as it was at a time, or the oldest kept one. Versions
// older than the returned one are dropped, so at must not decrease by more than
// the caller can bear.
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

// Prune drops the versions that no read at or after a time can return.
func (v *Value[T]) Prune(at time.Time) {
	if len(v.versions) > 0 {
		v.At(at)
	}
}
