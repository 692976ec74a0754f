package questionnaire

import (
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/finding"
)

// Generate returns the configuration for a questionnaire. It applies defaults
// and validates the questionnaire even if Parse returned it, so that a questionnaire
// that a program built itself has to meet the same rules. The error is a
// *finding.Error.
func Generate(q *Questionnaire, opts ...Option) (configuration.Bundle, error) {
	q.applyDefaults()
	var report finding.Report
	q.validate(&report, applyOptions(opts))
	if err := report.Err(); err != nil {
		return configuration.Bundle{}, err
	}
	return configuration.Bundle{
		Format: configuration.Format,
		Fleet:  q.fleet(),
		Teams:  q.teams(),
	}, nil
}

func (q *Questionnaire) fleet() configuration.Fleet {
	fleet := configuration.Fleet{
		Links:                     q.allLinks(),
		Times:                     configuration.Times(q.Times),
		WeightStoreBytesPerSecond: q.WeightStoreBytesPerSecond,
	}
	for _, zone := range q.Zones {
		fleet.Zones = append(fleet.Zones, configuration.Zone{Name: zone.Name, Region: zone.Region})
		for _, vm := range zone.EntryVMs {
			entry := configuration.VM{Name: vm.Name, Zone: zone.Name, Address: vm.Address}
			fleet.VMs = append(fleet.VMs, entry)
		}
	}
	for i := range q.Services {
		service := &q.Services[i]
		fleet.Endpoints = append(fleet.Endpoints, service.endpoints()...)
		if service.Model != nil {
			fleet.Models = append(fleet.Models, service.Model.configuration())
		}
	}
	return fleet
}

// allLinks returns one link for each pair of availability zones.
func (q *Questionnaire) allLinks() []configuration.Link {
	var all []configuration.Link
	for i, from := range q.Zones {
		for _, to := range q.Zones[i+1:] {
			rate := q.link(from.Name, to.Name)
			all = append(all, configuration.Link{
				From:           from.Name,
				To:             to.Name,
				BytesPerSecond: rate.BytesPerSecond,
				OneWayDelay:    rate.OneWayDelay,
			})
		}
	}
	return all
}

// link returns the rate and delay between two availability zones.
func (q *Questionnaire) link(a, b string) LinkRate {
	for _, link := range q.Links {
		if link.From == a && link.To == b || link.From == b && link.To == a {
			return LinkRate{BytesPerSecond: link.BytesPerSecond, OneWayDelay: link.OneWayDelay}
		}
	}
	return q.ZoneLink
}

func (m *Model) configuration() configuration.Model {
	return configuration.Model{
		Name:                    m.Name,
		PrefillTokensPerSecond:  m.PrefillTokensPerSecond,
		TokenInterval:           m.TokenInterval,
		TokenIntervalPerRequest: m.TokenIntervalPerRequest,
		KVBytesPerToken:         m.KVBytesPerToken,
		KVRetention:             m.KVRetention,
		WeightBytes:             m.WeightBytes,
	}
}

func (s *Service) endpoints() []configuration.Endpoint {
	var all []configuration.Endpoint
	for _, e := range expand(s.Engines) {
		all = append(all, s.engine(e))
	}
	for _, e := range expand(s.Instances) {
		all = append(all, s.instance(e))
	}
	return all
}

func (s *Service) engine(e endpoint) configuration.Endpoint {
	return configuration.Endpoint{
		Name:               e.name,
		Zone:               e.pool.Zone,
		Address:            e.address,
		Kind:               configuration.KindEngine,
		Model:              s.Model.Name,
		Version:            s.Model.Version,
		Adapters:           s.Model.Adapters,
		Build:              e.pool.Build,
		Role:               e.pool.Role,
		Slots:              e.pool.Slots,
		MemoryPieces:       e.pool.MemoryPieces,
		PieceTokens:        e.pool.PieceTokens,
		LinkBytesPerSecond: e.pool.LinkBytesPerSecond,
		Fencing:            e.pool.Fencing,
		ReportsLoad:        e.pool.reportsLoad(),
	}
}

func (s *Service) instance(e endpoint) configuration.Endpoint {
	return configuration.Endpoint{
		Name:        e.name,
		Zone:        e.pool.Zone,
		Address:     e.address,
		Kind:        configuration.KindPlain,
		Service:     s.Name,
		Fencing:     e.pool.Fencing,
		ReportsLoad: e.pool.reportsLoad(),
	}
}

func (p *Pool) reportsLoad() bool { return p.ReportsLoad != nil && *p.ReportsLoad }

func (q *Questionnaire) teams() []configuration.Team {
	var all []configuration.Team
	for i := range q.Teams {
		team := &q.Teams[i]
		generated := configuration.Team{
			Name:       team.Name,
			KeyDigests: team.KeyDigests,
			Weights:    configuration.Weights(*team.Weights),
			Share:      team.Share,
		}
		for j := range team.Classes {
			generated.Classes = append(generated.Classes, q.class(&team.Classes[j]))
		}
		all = append(all, generated)
	}
	return all
}

func (q *Questionnaire) class(c *Class) configuration.Class {
	generated := configuration.Class{
		Name:            c.Name,
		Method:          c.Method,
		Path:            c.Path,
		Repeat:          c.Repeat,
		Key:             c.Key,
		Targets:         configuration.Targets(c.Targets),
		Priority:        c.Priority,
		Order:           c.Order,
		MaxOutputTokens: c.MaxOutputTokens,
		MaxPromptTokens: c.MaxPromptTokens,
		QueueLimit:      c.QueueLimit,
	}
	service := q.service(c.Service)
	if service.Model != nil {
		generated.Model = service.Model.Name
	} else {
		generated.Service = service.Name
	}
	return generated
}
