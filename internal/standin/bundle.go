package standin

import (
	"cmp"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/standin/plain"
)

// Properties of stand-ins that a configuration does not specify.
const (
	appendsPerSecond = 400
	vmListLag        = 2 * time.Second
	cacheEventLag    = 200 * time.Millisecond
	cacheEventLoss   = 0.01 // fraction of events
	loadLag          = 250 * time.Millisecond
	orderDuration    = time.Second
	plainLimit       = 64 // concurrent calls
)

// FromBundle returns options of stand-ins for the endpoints of a configuration,
// with the performance figures of its models. Each endpoint gets its own seed.
func FromBundle(bundle *configuration.Bundle) Options {
	fleet := &bundle.Fleet
	options := Options{Links: fleet.Links}
	options.Log.Retention = fleet.Times.LogRetention
	options.Log.AppendsPerSecond = appendsPerSecond
	options.VMList.Lag = configuration.Duration(vmListLag)
	for _, vm := range fleet.VMs {
		listed := vmlist.VM{Name: vm.Name, Address: vm.Address, Zone: vm.Zone, State: vmlist.Live}
		options.VMList.VMs = append(options.VMList.VMs, listed)
	}
	for i := range fleet.Endpoints {
		options.addEndpoint(fleet, &fleet.Endpoints[i], uint64(i+1))
	}
	return options
}

func (o *Options) addEndpoint(fleet *configuration.Fleet, e *configuration.Endpoint, seed uint64) {
	if e.Kind == configuration.KindPlain {
		o.Plain = append(o.Plain, PlainOptions{
			Address: e.Address,
			Zone:    e.Zone,
			Options: plain.Options{Name: e.Name, Limit: plainLimit, HideLoad: !e.ReportsLoad, Seed: seed},
		})
		return
	}
	o.Engines = append(o.Engines, EngineOptions{
		Address: e.Address,
		Zone:    e.Zone,
		Options: engineOptions(e, findModel(fleet, e.Model), seed),
	})
}

func findModel(fleet *configuration.Fleet, name string) *configuration.Model {
	for i := range fleet.Models {
		if fleet.Models[i].Name == name {
			return &fleet.Models[i]
		}
	}
	return &configuration.Model{Name: name}
}

func engineOptions(e *configuration.Endpoint, model *configuration.Model, seed uint64) engine.Options {
	return engine.Options{
		Name:                    e.Name,
		Model:                   e.Model,
		Version:                 e.Version,
		Adapters:                e.Adapters,
		Role:                    e.Role,
		Slots:                   e.Slots,
		MemoryPieces:            e.MemoryPieces,
		PieceTokens:             e.PieceTokens,
		QueueLimit:              cmp.Or(e.Slots, engine.DefaultOptions().Slots),
		PrefillTokensPerSecond:  model.PrefillTokensPerSecond,
		TokenInterval:           model.TokenInterval,
		TokenIntervalPerRequest: model.TokenIntervalPerRequest,
		KVBytesPerToken:         model.KVBytesPerToken,
		LinkBytesPerSecond:      e.LinkBytesPerSecond,
		KVRetention:             model.KVRetention,
		CacheEventLag:           configuration.Duration(cacheEventLag),
		CacheEventLoss:          cacheEventLoss,
		LoadLag:                 configuration.Duration(loadLag),
		HideLoad:                !e.ReportsLoad,
		OrderDuration:           configuration.Duration(orderDuration),
		ChecksFencing:           e.Fencing == configuration.FencingChecks,
		Seed:                    seed,
	}
}

// StartBundle starts the stand-ins for the endpoints of a configuration and
// writes their addresses into it. The function modify, if not nil, may change
// the options first.
func StartBundle(bundle *configuration.Bundle, modify func(*Options)) (*Platform, error) {
	options := FromBundle(bundle)
	if modify != nil {
		modify(&options)
	}
	p, err := Start(options)
	if err != nil {
		return nil, err
	}
	for i := range bundle.Fleet.Endpoints {
		endpoint := &bundle.Fleet.Endpoints[i]
		if address := p.Addr(endpoint.Name); address != "" {
			endpoint.Address = address
		}
	}
	return p, nil
}
