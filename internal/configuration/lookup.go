package configuration

// Link returns the link between two availability zones, in whichever direction it
// is declared.
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

// EntryVMs returns the names of the entry VMs of a zone.
func (s *Snapshot) EntryVMs(zone string) []string {
	var names []string
	for i := range s.Fleet().VMs {
		if vm := &s.Fleet().VMs[i]; vm.Zone == zone {
			names = append(names, vm.Name)
		}
	}
	return names
}

// Known reports that all models and engines are known: a configuration names them.
func (*Snapshot) Known() bool { return true }

// Models returns the names of all models.
func (s *Snapshot) Models() []string {
	models := s.Fleet().Models
	names := make([]string, len(models))
	for i := range models {
		names[i] = models[i].Name
	}
	return names
}
