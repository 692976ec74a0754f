package questionnaire

import (
	"strings"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

func (v *validator) validateServices() {
	v.notEmpty("services", len(v.q.Services), "service")
	names := map[string]string{}
	models := map[string]string{}
	for i := range v.q.Services {
		service := &v.q.Services[i]
		path := element("services", i)
		v.name(path+".name", service.Name)
		v.unique(names, path+".name", service.Name)
		if service.Model != nil {
			v.validateModelService(path, service, models)
		} else {
			v.validatePlainService(path, service)
		}
	}
}

func (v *validator) validateModelService(path string, s *Service, models map[string]string) {
	v.unique(models, path+".model.name", s.Model.Name)
	v.validateModel(path+".model", s.Model)
	if len(s.Instances) > 0 {
		v.Addf(path+".instances", "a model-backed service has engines, no instances")
	}
	engines := map[configuration.Role]int{}
	for i := range s.Engines {
		pool := &s.Engines[i]
		v.validateEnginePool(element(path+".engines", i), pool)
		engines[pool.Role] += pool.size()
	}
	for _, role := range []configuration.Role{configuration.RolePrefill, configuration.RoleDecode} {
		if engines[role] == 0 {
			v.Addf(path+".engines", "model %q has no %s engine", s.Model.Name, role)
		}
	}
	v.validateEndpoints(path+".engines", s.Engines)
}

func (v *validator) validateModel(path string, m *Model) {
	if m.Name == "" {
		v.Addf(path+".name", "required")
	}
	positive(v, path+".prefill_tokens_per_second", m.PrefillTokensPerSecond)
	positiveDuration(v, path+".token_interval", m.TokenInterval)
	notNegative(v, path+".token_interval_per_request", m.TokenIntervalPerRequest.D())
	positive(v, path+".kv_bytes_per_token", m.KVBytesPerToken)
	positiveDuration(v, path+".kv_retention", m.KVRetention)
	positive(v, path+".weight_bytes", m.WeightBytes)
}

func (v *validator) validatePlainService(path string, s *Service) {
	if len(s.Engines) > 0 {
		v.Addf(path+".engines", "engines need a model; a plain service has instances")
		return
	}
	v.notEmpty(path+".instances", len(s.Instances), "pool of instances, or a model and engines")
	for i := range s.Instances {
		v.validateInstancePool(element(path+".instances", i), &s.Instances[i])
	}
	v.validateEndpoints(path+".instances", s.Instances)
}

func (v *validator) validateEnginePool(path string, p *Pool) {
	v.validatePool(path, p)
	oneOf(v, path+".role", p.Role, configuration.RolePrefill, configuration.RoleDecode)
	positive(v, path+".memory_pieces", p.MemoryPieces)
	positive(v, path+".piece_tokens", p.PieceTokens)
	positive(v, path+".link_bytes_per_second", p.LinkBytesPerSecond)
	if p.Role == configuration.RoleDecode {
		positive(v, path+".slots", p.Slots)
	} else if p.Slots != 0 {
		v.Addf(path+".slots", "only decode engines have slots")
	}
}

func (v *validator) validateInstancePool(path string, p *Pool) {
	v.validatePool(path, p)
	if p.Role != "" {
		v.Addf(path+".role", "only engines have a role")
	}
	if p.Build != "" {
		v.Addf(path+".build", "only engines have a build")
	}
	if p.Slots != 0 || p.MemoryPieces != 0 || p.PieceTokens != 0 || p.LinkBytesPerSecond != 0 {
		v.Addf(path, "slots, memory_pieces, piece_tokens and link_bytes_per_second are for engines only")
	}
}

func (v *validator) validatePool(path string, p *Pool) {
	v.knownZone(path+".zone", p.Zone)
	oneOf(v, path+".fencing", p.Fencing,
		configuration.FencingUnknown, configuration.FencingChecks, configuration.FencingIgnores)
	notNegative(v, path+".first_number", p.FirstNumber)
	if len(p.Addresses) > 0 {
		if p.Count != 0 || p.Address != "" {
			v.Addf(path+".addresses", "give either addresses or count and address")
		}
	} else {
		v.validateCount(path, p)
	}
	if p.size() > 1 && !strings.Contains(p.Name, numberPlaceholder) {
		v.Addf(path+".name", "%q needs %s to name %d endpoints apart", p.Name, numberPlaceholder, p.size())
	}
}

func (v *validator) validateCount(path string, p *Pool) {
	positive(v, path+".count", p.Count)
	if p.Count > maxPoolSize {
		v.Addf(path+".count", "a pool has at most %d endpoints", maxPoolSize)
	}
	if p.Count > 1 && p.Address != "" && !strings.Contains(p.Address, numberPlaceholder) && !v.options.allowUnassigned {
		v.Addf(path+".address", "%q needs %s to give %d endpoints their addresses", p.Address, numberPlaceholder, p.Count)
	}
}

// validateEndpoints checks the names and addresses of all endpoints in the pools.
func (v *validator) validateEndpoints(path string, pools []Pool) {
	for _, e := range expand(pools) {
		poolPath := element(path, e.poolIndex)
		v.name(poolPath+".name", e.name)
		v.unique(v.nodeNames, poolPath+".name", e.name)
		if len(e.pool.Addresses) > 0 {
			v.address(element(poolPath+".addresses", e.index), e.address)
			continue
		}
		if e.index > 0 && !strings.Contains(e.pool.Address, numberPlaceholder) {
			continue
		}
		v.address(poolPath+".address", e.address)
	}
}
