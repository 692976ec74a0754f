package configuration

// fleet checks a fleet document on its own.
func (c *checker) fleet(path string, fleet *Fleet) {
	zones := c.zones(path+".zones", fleet.Zones)
	models := c.models(path+".models", fleet.Models)
	vms, addresses := namePaths{}, namePaths{}
	for i := range fleet.VMs {
		c.vm(index(path+".vms", i), &fleet.VMs[i], zones, vms, addresses)
	}
	for i := range fleet.Endpoints {
		c.endpoint(index(path+".endpoints", i), &fleet.Endpoints[i], zones, models, vms, addresses)
	}
	c.links(path+".links", fleet.Links, zones)
	c.times(path+".times", &fleet.Times)
	notNegative(c, path+".weight_store_bytes_per_second", fleet.WeightStoreBytesPerSecond)
}

func (c *checker) zones(path string, zones []Zone) namePaths {
	seen := namePaths{}
	if len(zones) == 0 {
		c.Addf(path, "at least one availability zone is needed")
	}
	for i, zone := range zones {
		c.name(index(path, i)+".name", zone.Name, seen)
	}
	return seen
}

func (c *checker) models(path string, models []Model) namePaths {
	seen := namePaths{}
	for i := range models {
		model, at := &models[i], index(path, i)
		c.modelName(at+".name", model.Name)
		c.unique(at+".name", model.Name, seen)
		positive(c, at+".prefill_tokens_per_second", model.PrefillTokensPerSecond)
		positive(c, at+".token_interval", model.TokenInterval)
		notNegative(c, at+".token_interval_per_request", model.TokenIntervalPerRequest)
		notNegative(c, at+".kv_bytes_per_token", model.KVBytesPerToken)
		notNegative(c, at+".kv_retention", model.KVRetention)
		notNegative(c, at+".weight_bytes", model.WeightBytes)
	}
	return seen
}

func (c *checker) vm(path string, vm *VM, zones, seen, addresses namePaths) {
	c.name(path+".name", vm.Name, seen)
	c.known(path+".zone", "availability zone", vm.Zone, zones)
	c.address(path+".address", vm.Address, addresses)
}

// endpoint checks an endpoint. The platform keeps endpoints and VMs in one list,
// so their names must be distinct.
func (c *checker) endpoint(path string, endpoint *Endpoint, zones, models, seen, addresses namePaths) {
	c.name(path+".name", endpoint.Name, seen)
	c.known(path+".zone", "availability zone", endpoint.Zone, zones)
	c.address(path+".address", endpoint.Address, addresses)
	oneOf(c, path+".kind", endpoint.Kind, KindEngine, KindPlain)
	oneOf(c, path+".fencing", endpoint.Fencing, FencingUnknown, FencingChecks, FencingIgnores)
	if endpoint.Build != "" {
		c.modelName(path+".build", endpoint.Build)
	}
	notNegative(c, path+".slots", endpoint.Slots)
	notNegative(c, path+".memory_pieces", endpoint.MemoryPieces)
	notNegative(c, path+".piece_tokens", endpoint.PieceTokens)
	notNegative(c, path+".link_bytes_per_second", endpoint.LinkBytesPerSecond)
	switch endpoint.Kind {
	case KindEngine:
		c.engine(path, endpoint, models)
	case KindPlain:
		c.plain(path, endpoint)
	}
}

func (c *checker) engine(path string, endpoint *Endpoint, models namePaths) {
	c.known(path+".model", "model", endpoint.Model, models)
	oneOf(c, path+".role", endpoint.Role, RolePrefill, RoleDecode)
	if endpoint.Service != "" {
		c.Addf(path+".service", "an engine belongs to no service")
	}
	if endpoint.Role == RoleDecode {
		positive(c, path+".slots", endpoint.Slots)
	}
	if endpoint.Version != "" {
		c.modelName(path+".version", endpoint.Version)
	}
	seen := namePaths{}
	for i, adapter := range endpoint.Adapters {
		at := index(path+".adapters", i)
		c.modelName(at, adapter)
		c.unique(at, adapter, seen)
	}
}

func (c *checker) plain(path string, endpoint *Endpoint) {
	c.name(path+".service", endpoint.Service, namePaths{})
	if endpoint.Model != "" {
		c.Addf(path+".model", "a plain service serves no model")
	}
	if endpoint.Role != "" {
		c.Addf(path+".role", "a plain service has no role")
	}
}

// zonePair is an unordered pair of zones.
type zonePair struct{ low, high string }

func zonePairOf(a, b string) zonePair { return zonePair{min(a, b), max(a, b)} }

func (c *checker) links(path string, links []Link, zones namePaths) {
	seen := map[zonePair]string{}
	for i, link := range links {
		at := index(path, i)
		c.known(at+".from", "availability zone", link.From, zones)
		c.known(at+".to", "availability zone", link.To, zones)
		positive(c, at+".bytes_per_second", link.BytesPerSecond)
		notNegative(c, at+".one_way_delay", link.OneWayDelay)
		if link.From == link.To {
			c.Addf(at+".to", "a link joins two availability zones")
		}
		ends := zonePairOf(link.From, link.To)
		if first, ok := seen[ends]; ok {
			c.Addf(at, "joins the same availability zones as %s", first)
			continue
		}
		seen[ends] = at
	}
}

func (c *checker) times(path string, times *Times) {
	notNegative(c, path+".balancer_lag", times.BalancerLag)
	notNegative(c, path+".clock_skew", times.ClockSkew)
	positive(c, path+".drain_limit", times.DrainLimit)
	positive(c, path+".log_retention", times.LogRetention)
	positive(c, path+".key_window", times.KeyWindow)
	if times.KeyWindow+times.ClockSkew+KeyMargin >= times.LogRetention {
		c.Addf(path+".key_window", "%s, the clock skew of %s and a margin of %s must stay below the log retention of %s",
			times.KeyWindow, times.ClockSkew, KeyMargin, times.LogRetention)
	}
}
