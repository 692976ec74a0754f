package endpoint

// Available reports whether an endpoint may get work that need not be sent: it is not leaving, ejected or in
// a cooldown, and has not asked for quiet.
func (r *Registry) Available(name string) bool {
	return r.QuietFor(name) == 0 && r.Usable(name) && r.reachable(name)
}

// ObserveOvertaken records that a call was cancelled because another endpoint, asked later, answered first.
// Other endpoints are preferred for a while. It does not count towards an ejection, since the call might have
// been answered, and does not end a cooldown, since nothing shows that the endpoint was reached.
func (r *Registry) ObserveOvertaken(name string) {
	s := r.get(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures.observe(r.now(), false)
}
