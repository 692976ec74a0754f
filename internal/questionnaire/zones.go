package questionnaire

import (
	"net/netip"
)

// zonePair is an unordered pair of availability zones.
type zonePair struct{ low, high string }

func pairOf(a, b string) zonePair {
	return zonePair{min(a, b), max(a, b)}
}

func (v *validator) validateZones() {
	v.notEmpty("zones", len(v.q.Zones), "availability zone")
	names := map[string]string{}
	for i := range v.q.Zones {
		zone := &v.q.Zones[i]
		path := element("zones", i)
		v.name(path+".name", zone.Name)
		v.unique(names, path+".name", zone.Name)
		v.zones[zone.Name] = true
		v.notEmpty(path+".entry_vms", len(zone.EntryVMs), "entry VM; an availability zone without one serves no caller")
		for j, vm := range zone.EntryVMs {
			v.validateEntryVM(element(path+".entry_vms", j), vm)
		}
	}
	v.validateLinkRate("zone_link", v.q.ZoneLink)
	v.validateLinks()
}

func (v *validator) validateEntryVM(path string, vm EntryVM) {
	v.name(path+".name", vm.Name)
	v.unique(v.nodeNames, path+".name", vm.Name)
	v.address(path+".address", vm.Address)
}

// address checks that an address is valid and used only once.
func (v *validator) address(path, text string) {
	if text == "" {
		v.unassigned(path, "required")
		return
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		v.Addf(path, "%q is no IP number and port such as 10.0.0.5:7400", text)
		return
	}
	if address.Addr().IsUnspecified() {
		v.Addf(path, "%s stands for every address; give one", address.Addr())
	}
	if address.Port() == 0 {
		v.unassigned(path, "the port must not be 0")
		return
	}
	v.unique(v.addresses, path, address.String())
}

// unassigned adds a finding for a missing address or port unless the option
// AllowUnassigned is set.
func (v *validator) unassigned(path, problem string) {
	if !v.options.allowUnassigned {
		v.Addf(path, "%s", problem)
	}
}

func (v *validator) validateLinkRate(path string, rate LinkRate) {
	positive(v, path+".bytes_per_second", rate.BytesPerSecond)
	notNegative(v, path+".one_way_delay", rate.OneWayDelay.D())
}

func (v *validator) validateLinks() {
	first := map[zonePair]string{}
	for i, link := range v.q.Links {
		path := element("links", i)
		v.knownZone(path+".from", link.From)
		v.knownZone(path+".to", link.To)
		v.validateLinkRate(path, LinkRate{link.BytesPerSecond, link.OneWayDelay})
		if link.From == link.To {
			v.Addf(path+".to", "a link joins two different availability zones")
		}
		pair := pairOf(link.From, link.To)
		if earlier, ok := first[pair]; ok {
			v.Addf(path, "the link between %q and %q is already given at %s", link.From, link.To, earlier)
			continue
		}
		first[pair] = path
	}
}

func (v *validator) knownZone(path, zone string) {
	switch {
	case zone == "":
		v.Addf(path, "required")
	case !v.zones[zone]:
		v.Addf(path, "no availability zone is named %q", zone)
	}
}
