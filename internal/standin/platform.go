package standin

import (
	"cmp"
	"errors"
	"slices"
	"strings"

	platform "github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/standin/logstore"
	"github.com/ospreyshed/ospreyshed/internal/standin/plain"
	"github.com/ospreyshed/ospreyshed/internal/standin/vmlist"
)

// Platform is a running set of stand-ins.
type Platform struct {
	Log    *logstore.Server
	VMList *vmlist.Server
	// Engines and Plain are keyed by endpoint name.
	Engines map[string]*engine.Server
	Plain   map[string]*plain.Server

	options Options
	// zones maps the engines' addresses to availability zones.
	zones map[string]string
	links map[zonePair]*engine.Link
}

// zonePair identifies a link between two availability zones, in either direction.
type zonePair struct{ a, b string }

func newZonePair(a, b string) zonePair {
	return zonePair{a: min(a, b), b: max(a, b)}
}

// Start starts a set of stand-ins. If one fails to start, the others are stopped.
func Start(options Options) (*Platform, error) {
	p := &Platform{
		options: options,
		Engines: make(map[string]*engine.Server),
		Plain:   make(map[string]*plain.Server),
		zones:   make(map[string]string),
		links:   make(map[zonePair]*engine.Link),
	}
	if err := p.start(&options); err != nil {
		return nil, errors.Join(err, p.Close())
	}
	return p, nil
}

func (p *Platform) start(options *Options) error {
	for _, link := range options.Links {
		p.links[newZonePair(link.From, link.To)] = engine.NewLink(link.BytesPerSecond, link.OneWayDelay.D())
	}
	var err error
	if p.Log, err = logstore.Start(listenAddress(options.Log.Address), options.Log.Options); err != nil {
		return err
	}
	for i := range options.Engines {
		if err := p.startEngine(&options.Engines[i]); err != nil {
			return err
		}
	}
	for i := range options.Plain {
		if err := p.startPlain(&options.Plain[i]); err != nil {
			return err
		}
	}
	p.setLinkSelectors(options.Engines)
	return p.startVMList(options)
}

// startVMList runs last, so that the list contains all endpoints from the start.
func (p *Platform) startVMList(options *Options) error {
	listed := options.VMList.Options
	listed.VMs = slices.Clone(listed.VMs)
	for _, o := range options.Engines {
		listed.VMs = append(listed.VMs, p.liveVM(o.Name, o.Zone))
	}
	for _, o := range options.Plain {
		listed.VMs = append(listed.VMs, p.liveVM(o.Name, o.Zone))
	}
	var err error
	p.VMList, err = vmlist.Start(listenAddress(options.VMList.Address), listed)
	return err
}

func (p *Platform) liveVM(name, zone string) platform.VM {
	return platform.VM{Name: name, Address: p.Addr(name), Zone: zone, State: platform.Live}
}

// listenAddress completes a listen address: an empty one becomes AnyAddress, one
// without an IP address, such as ":0", is on the loopback interface.
func listenAddress(address string) string {
	if strings.HasPrefix(address, ":") {
		return "127.0.0.1" + address
	}
	return cmp.Or(address, AnyAddress)
}

func (p *Platform) startEngine(o *EngineOptions) error {
	server, err := engine.Start(listenAddress(o.Address), o.Options)
	if err != nil {
		return err
	}
	p.Engines[o.Name] = server
	if _, known := p.zones[server.Addr()]; !known {
		p.zones[server.Addr()] = o.Zone
	}
	return nil
}

func (p *Platform) startPlain(o *PlainOptions) error {
	server, err := plain.Start(listenAddress(o.Address), o.Options)
	if err != nil {
		return err
	}
	p.Plain[o.Name] = server
	return nil
}

// setLinkSelectors makes imports between availability zones share the links.
func (p *Platform) setLinkSelectors(engines []EngineOptions) {
	for _, o := range engines {
		p.Engines[o.Name].SetLinkSelector(func(address string) *engine.Link {
			return p.links[newZonePair(p.zones[address], o.Zone)]
		})
	}
}

// Addr returns the address of an engine or plain service, or "" if there is
// none with that name.
func (p *Platform) Addr(name string) string {
	if server, ok := p.Engines[name]; ok {
		return server.Addr()
	}
	if server, ok := p.Plain[name]; ok {
		return server.Addr()
	}
	return ""
}

// Stop stops an engine or plain service as if its VM were gone. Connections to
// its address are refused until Restart.
func (p *Platform) Stop(name string) error {
	if server, ok := p.Engines[name]; ok {
		return server.Close()
	}
	if server, ok := p.Plain[name]; ok {
		return server.Close()
	}
	return UnknownName.New("no stand-in is called %q", name)
}

// Restart starts a stopped engine or plain service again, on the same address and
// without its previous state. It replaces the entry of Engines or Plain and must
// not run concurrently with readers of these maps.
func (p *Platform) Restart(name string) error {
	address := p.Addr(name)
	for _, o := range p.options.Engines {
		if o.Name == name {
			o.Address = address
			return p.restartEngine(&o)
		}
	}
	for _, o := range p.options.Plain {
		if o.Name == name {
			o.Address = address
			return p.startPlain(&o)
		}
	}
	return UnknownName.New("no stand-in is called %q", name)
}

func (p *Platform) restartEngine(o *EngineOptions) error {
	if err := p.startEngine(o); err != nil {
		return err
	}
	p.setLinkSelectors([]EngineOptions{*o})
	return nil
}

// Close stops all stand-ins.
func (p *Platform) Close() error {
	var errs []error
	for _, server := range p.Plain {
		errs = append(errs, server.Close())
	}
	for _, server := range p.Engines {
		errs = append(errs, server.Close())
	}
	for _, link := range p.links {
		link.Close()
	}
	if p.VMList != nil {
		errs = append(errs, p.VMList.Close())
	}
	if p.Log != nil {
		errs = append(errs, p.Log.Close())
	}
	return errors.Join(errs...)
}
