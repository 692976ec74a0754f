package builds

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// MaxAge is the age of a VM's registrations from which on nothing may be concluded from them.
	// Beside other builds, engines of a new build begin no streams for as long: a VM that has not
	// seen their registration then has registrations that are too old.
	MaxAge = 3 * time.Second
	// unreadHoldTime is how long the only build of a service is held while the records have not
	// been read.
	unreadHoldTime = 2 * time.Second
	// clockTolerance is the difference between the wall clocks of two VMs up to which a build
	// counts as new for a VM that starts.
	clockTolerance = 12 * time.Second
)

// History is what this VM holds about the builds of services. It is safe for concurrent use.
// Times are those of time.Now; differences between own observations are monotonic.
type History struct {
	// era returns the latest known era of the store.
	era func() uint64

	mu       sync.Mutex
	services map[string]*service
	// observedSince is the beginning of this VM's uninterrupted observation; zero before
	// the first one.
	observedSince time.Time
	// recordsKnown is set once the records of the store have been read.
	recordsKnown bool
	// stale is set from an interruption of the observation until the records have been read
	// again: builds may have come and gone meanwhile.
	stale     bool
	listeners []func()
}

// service is the history of one service.
type service struct {
	// serving are the builds of registered engines with the time of the first sight.
	serving map[string]time.Time
	// inherited are the serving builds that were registered when this VM's observation began.
	// It has not seen when they joined.
	inherited map[string]bool
	// left are builds without a registered engine, with the time at which they left.
	left map[string]time.Time
	// record is the newest known record of the store, nil if it has none.
	record *Record
	// trusted is set once a record was read in the era in which it was written. since is
	// then the time from which on this history has all builds.
	trusted bool
	since   time.Time
	// differs is the time since which the record has differed from the history without
	// interruption, zero if it does not differ.
	differs time.Time
}

// NewHistory returns an empty history. The function returns the latest known era of the store.
func NewHistory(era func() uint64) *History {
	return &History{era: era, services: make(map[string]*service)}
}

// OnChange adds a function that is called after each change. It must not block.
func (h *History) OnChange(changed func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, changed)
}

// changed unlocks the history and calls the listeners.
func (h *History) changed() {
	listeners := h.listeners
	h.mu.Unlock()
	for _, listener := range listeners {
		listener()
	}
}

func (h *History) service(name string) *service {
	s := h.services[name]
	if s == nil {
		s = &service{serving: make(map[string]time.Time), inherited: make(map[string]bool), left: make(map[string]time.Time)}
		h.services[name] = s
	}
	return s
}

// Observe notes the builds of all registered engines by service.
func (h *History) Observe(now time.Time, registered map[string][]string) {
	h.mu.Lock()
	defer h.changed()
	first := h.observedSince.IsZero()
	if first {
		h.observedSince = now
	}
	for name := range registered {
		h.service(name)
	}
	for name, s := range h.services {
		s.observe(now, registered[name], first)
		h.settle(now, s)
	}
}

func (s *service) observe(now time.Time, registered []string, first bool) {
	for build := range s.serving {
		if !slices.Contains(registered, build) {
			delete(s.serving, build)
			delete(s.inherited, build)
			s.left[build] = now
		}
	}
	for _, build := range registered {
		if _, known := s.serving[build]; !known {
			s.serving[build] = now
			if first {
				s.inherited[build] = true
			}
		}
		delete(s.left, build)
	}
}

// Apply notes the record of a service.
func (h *History) Apply(now time.Time, record Record) error {
	if err := record.check(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.changed()
	s := h.service(record.Service)
	s.record = &record
	if record.Era >= h.era() {
		if s.trusted {
			s.since = earlier(s.since, record.Since)
		} else {
			s.trusted, s.since = true, record.Since
		}
	}
	h.settle(now, s)
	return nil
}

// Drop notes that the store has no record of a service.
func (h *History) Drop(now time.Time, name string) {
	h.mu.Lock()
	defer h.changed()
	if s := h.services[name]; s != nil {
		s.record = nil
		h.settle(now, s)
	}
}

// RecordsKnown notes that the records of the store have been read.
func (h *History) RecordsKnown() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordsKnown = true
}

// Interrupt notes that the observation of registrations was interrupted. It returns false if
// it has not begun.
func (h *History) Interrupt(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.observedSince.IsZero() {
		return false
	}
	h.observedSince, h.stale = now, true
	return true
}

// Refreshed notes that the records were read again after an interruption.
func (h *History) Refreshed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stale = false
}

// settle merges the record of a service and notes whether it differs. The lock must be held.
func (h *History) settle(now time.Time, s *service) {
	if s.record != nil && !h.observedSince.IsZero() {
		s.merge(now)
	}
	for build, at := range s.left {
		if !within(now, at) {
			delete(s.left, build)
		}
	}
	switch {
	case !h.different(now, s):
		s.differs = time.Time{}
	case s.differs.IsZero():
		s.differs = now
	}
}

// merge adds the builds of the record that are not registered here.
func (s *service) merge(now time.Time) {
	for _, build := range s.record.Serving {
		_, serving := s.serving[build]
		if _, left := s.left[build]; !serving && !left {
			s.left[build] = now
		}
	}
	for _, l := range s.record.Left {
		if _, serving := s.serving[l.Build]; serving {
			continue
		}
		at := l.At
		if at.After(now) {
			at = now
		}
		if at.After(s.left[l.Build]) {
			s.left[l.Build] = at
		}
	}
}

// different reports whether a record must be written. The lock must be held.
func (h *History) different(now time.Time, s *service) bool {
	if h.observedSince.IsZero() || !h.recordsKnown {
		return false
	}
	if s.record == nil {
		return len(s.serving)+len(s.left) > 0
	}
	return h.urgent(s) || h.outdated(now, s)
}

// urgent reports whether the record lacks a build that serves. The lock must be held.
func (h *History) urgent(s *service) bool {
	for build := range s.serving {
		if s.record == nil || !s.record.serves(build) {
			return true
		}
	}
	return false
}

// outdated reports whether the record needs to be written although it lists all builds that
// serve. The lock must be held.
func (h *History) outdated(now time.Time, s *service) bool {
	if s.record.Era < h.era() {
		return true
	}
	for build, at := range s.left {
		if within(now, at) && (s.record.serves(build) || !s.record.lists(build)) {
			return true
		}
	}
	return proves(now, h.since(s)) && !proves(now, s.record.Since)
}

// since returns the time from which on the history of a service has all builds. The lock
// must be held.
func (h *History) since(s *service) time.Time {
	if s.trusted {
		return earlier(s.since, h.observedSince)
	}
	return h.observedSince
}

// builds returns all builds that may have begun a stream. The lock must be held.
func (s *service) builds(now time.Time) []string {
	all := slices.Collect(maps.Keys(s.serving))
	for build, at := range s.left {
		if within(now, at) {
			all = append(all, build)
		}
	}
	return all
}

// Sole returns the build of all engines of a service, if no other can have begun a stream
// that is still taken up: this VM has observed the service for Memory, or the record shows
// so. It returns false if there is no engine.
func (h *History) Sole(now time.Time, name string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	if s == nil {
		return "", false
	}
	all := s.builds(now)
	if len(all) != 1 || len(s.serving) != 1 || !h.proved(now, s) {
		return "", false
	}
	return all[0], true
}

// proved reports whether the history of a service has all builds that may have begun a
// stream. The lock must be held.
func (h *History) proved(now time.Time, s *service) bool {
	if h.observedSince.IsZero() {
		return false
	}
	return proves(now, h.observedSince) || s.trusted && !h.stale && proves(now, s.since)
}

// Several reports whether several builds may have begun streams of a service.
func (h *History) Several(now time.Time, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	return s != nil && len(s.builds(now)) > 1
}

// Alone reports whether no other service of engines can have begun a stream that is still taken up: none has had
// engines lately. Services without engines have no history here.
func (h *History) Alone(now time.Time, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for other, s := range h.services {
		if other != name && len(s.builds(now)) > 0 {
			return false
		}
	}
	return true
}

// Held reports whether engines of a build get no streams that may be resumed yet. Otherwise a
// VM could take another build for the only one that can have begun them: a VM that starts, as the
// record does not list the build, or one whose registrations are a little older.
func (h *History) Held(now time.Time, name, build string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	if s == nil {
		return false
	}
	first, serving := s.serving[build]
	several := len(s.builds(now)) > 1
	switch {
	case !serving:
		return false
	case !h.recordsKnown:
		return several || now.Sub(first) < unreadHoldTime
	case s.record == nil:
		// The first build of a service needs no record: without one nothing is concluded.
		return several && s.recordable(name, now)
	case !s.record.serves(build):
		return s.recordable(name, now)
	}
	return several && s.isNew(now, build)
}

// recordable reports whether a record can name all builds of the service. If it cannot, the
// service has no record or one of so many builds that it proves nothing.
func (s *service) recordable(name string, now time.Time) bool {
	record := s.snapshot(now)
	record.Service = name
	return record.check() == nil
}

// isNew reports whether a VM whose registrations are not older than MaxAge may lack a build.
func (s *service) isNew(now time.Time, build string) bool {
	if now.Sub(s.serving[build]) >= MaxAge {
		return false
	}
	if !s.inherited[build] {
		return true
	}
	joined := s.record.joined(build)
	return !joined.IsZero() && now.Sub(joined) < MaxAge+clockTolerance
}

// Wanted reports whether the records should be read, because they differ from what this VM
// has observed or may do so.
func (h *History) Wanted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stale {
		return true
	}
	for _, s := range h.services {
		if !s.differs.IsZero() {
			return true
		}
	}
	return false
}

// Change is a record that is to be written.
type Change struct {
	Record
	// Differs is the time since which the record in the store has differed.
	Differs time.Time
	// Urgent is set if the record lacks a build that serves, First if there is none.
	Urgent, First bool
}

// Changes returns the records that are to be written, sorted by service. Beginning means that
// no VM has run for longer than Memory, so that a service without a record has just begun.
func (h *History) Changes(now time.Time, beginning bool) []Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(h.services)) {
		s := h.services[name]
		h.settle(now, s)
		if s.differs.IsZero() {
			h.forget(name, s)
			continue
		}
		change := Change{Record: s.snapshot(now), Differs: s.differs, Urgent: h.urgent(s), First: s.record == nil}
		change.Service, change.Era = name, h.era()
		if !change.First || !beginning || s.trusted {
			change.Since = h.since(s)
		}
		changes = append(changes, change)
	}
	return changes
}

// forget drops a service of which nothing is known. The lock must be held.
func (h *History) forget(name string, s *service) {
	if s.record == nil && len(s.serving)+len(s.left) == 0 {
		delete(h.services, name)
	}
}

// joined returns the time at which a build was first seen, zero if it is not known.
func (s *service) joined(build string) time.Time {
	switch {
	case !s.inherited[build]:
		return s.serving[build]
	case s.record != nil:
		return s.record.joined(build)
	default:
		return time.Time{}
	}
}

func (s *service) snapshot(now time.Time) Record {
	record := Record{Serving: slices.Sorted(maps.Keys(s.serving))}
	for _, build := range record.Serving {
		if at := s.joined(build); within(now, at) {
			record.Joined = append(record.Joined, Joined{Build: build, At: at})
		}
	}
	for build, at := range s.left {
		if within(now, at) {
			record.Left = append(record.Left, Left{Build: build, At: at})
		}
	}
	slices.SortFunc(record.Left, func(a, b Left) int { return strings.Compare(a.Build, b.Build) })
	return record
}
