package configuration

// Link returns the link between two availability zones, whichever way it is
// written down.
func (s *Snapshot) Link(from, to string) (*Link, bool) {
	links := s.Fleet().Links
	for i := range links {
		l := &links[i]
		if (l.From == from && l.To == to) || (l.From == to && l.To == from) {
			return l, true
		}
	}
	return nil, false
}
