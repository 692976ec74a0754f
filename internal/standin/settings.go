package standin

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/jsonc"
)

// ParseSettings decodes Options from JSON with comments and checks them. The
// error is a *finding.Error with all findings; the file name only labels them.
func ParseSettings(file string, data []byte) (Options, error) {
	var options Options
	err := jsonc.Parse(file, data, &options, options.check)
	return options, err
}

// checker collects the findings about a set of options.
type checker struct {
	report *finding.Report
	// names and addresses map each value to the path of its first use.
	names     map[string]string
	addresses map[string]string
}

func (o *Options) check(report *finding.Report) {
	c := &checker{report: report, names: make(map[string]string), addresses: make(map[string]string)}
	c.address("log.address", o.Log.Address)
	notNegative(c, "log.appends_per_second", o.Log.AppendsPerSecond)
	notNegative(c, "log.burst", o.Log.Burst)
	notNegative(c, "log.retention", o.Log.Retention)
	c.address("vm_list.address", o.VMList.Address)
	notNegative(c, "vm_list.lag", o.VMList.Lag)
	c.vms(o)
	for i := range o.Engines {
		c.engine(fmt.Sprintf("engines[%d]", i), &o.Engines[i])
	}
	for i := range o.Plain {
		c.plain(fmt.Sprintf("plain[%d]", i), &o.Plain[i])
	}
	for i := range o.Links {
		c.link(fmt.Sprintf("links[%d]", i), &o.Links[i])
	}
}

func (c *checker) vms(o *Options) {
	for i, vm := range o.VMList.VMs {
		path := fmt.Sprintf("vm_list.vms[%d]", i)
		c.name(path, vm.Name)
		c.required(path+".zone", vm.Zone)
		c.ipAndPort(path+".address", vm.Address)
		c.oneOf(path+".state", string(vm.State), "live", "leaving")
	}
}

func (c *checker) engine(path string, o *EngineOptions) {
	c.name(path, o.Name)
	c.address(path+".address", o.Address)
	c.required(path+".zone", o.Zone)
	c.oneOf(path+".role", string(o.Role), string(configuration.RolePrefill), string(configuration.RoleDecode))
	notNegative(c, path+".slots", o.Slots)
	notNegative(c, path+".memory_pieces", o.MemoryPieces)
	notNegative(c, path+".piece_tokens", o.PieceTokens)
	notNegative(c, path+".queue_limit", o.QueueLimit)
	notNegative(c, path+".prefill_tokens_per_second", o.PrefillTokensPerSecond)
	notNegative(c, path+".token_interval", o.TokenInterval)
	notNegative(c, path+".token_interval_per_request", o.TokenIntervalPerRequest)
	notNegative(c, path+".kv_bytes_per_token", o.KVBytesPerToken)
	notNegative(c, path+".link_bytes_per_second", o.LinkBytesPerSecond)
	notNegative(c, path+".kv_retention", o.KVRetention)
	notNegative(c, path+".cache_blocks", o.CacheBlocks)
	notNegative(c, path+".cache_event_lag", o.CacheEventLag)
	c.fraction(path+".cache_event_loss", o.CacheEventLoss)
	notNegative(c, path+".load_lag", o.LoadLag)
	notNegative(c, path+".order_duration", o.OrderDuration)
	if o.OutputTokens.Min < 0 || o.OutputTokens.Max < o.OutputTokens.Min {
		c.report.Addf(path+".output_tokens", "min must not be negative nor above max")
	}
}

func (c *checker) plain(path string, o *PlainOptions) {
	c.name(path, o.Name)
	c.address(path+".address", o.Address)
	c.required(path+".zone", o.Zone)
	notNegative(c, path+".limit", o.Limit)
	notNegative(c, path+".delay", o.Delay)
}

func (c *checker) link(path string, l *configuration.Link) {
	c.required(path+".from", l.From)
	c.required(path+".to", l.To)
	notNegative(c, path+".bytes_per_second", l.BytesPerSecond)
	notNegative(c, path+".one_way_delay", l.OneWayDelay)
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.report.Addf(path, "missing")
	}
}

// name checks that a name is set and unique.
func (c *checker) name(path, name string) {
	path += ".name"
	c.required(path, name)
	if first, ok := c.names[name]; ok && name != "" {
		c.report.Addf(path, "%q is already the name at %s", name, first)
		return
	}
	c.names[name] = path
}

// address checks an optional listen address.
func (c *checker) address(path, address string) {
	if address == "" {
		return
	}
	parsed, ok := c.ipAndPort(path, address)
	if !ok || parsed.Port() == 0 {
		return
	}
	if first, ok := c.addresses[address]; ok {
		c.report.Addf(path, "%s is already the address at %s", address, first)
		return
	}
	c.addresses[address] = path
	if !parsed.Addr().IsLoopback() {
		c.report.Addf(path, "%s is not on the loopback interface", address)
	}
}

func (c *checker) ipAndPort(path, address string) (netip.AddrPort, bool) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		c.report.Addf(path, "%q is not an IP number and port such as \"127.0.0.1:9001\"", address)
	}
	return parsed, err == nil
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.report.Addf(path, "%q is none of %q", value, allowed)
	}
}

func (c *checker) fraction(path string, value float64) {
	if value < 0 || value > 1 {
		c.report.Addf(path, "must be from 0 to 1")
	}
}

// notNegative checks a number or duration.
func notNegative[T int | int64 | float64 | configuration.Duration](c *checker, path string, value T) {
	if value < 0 {
		c.report.Addf(path, "must not be negative")
	}
}
