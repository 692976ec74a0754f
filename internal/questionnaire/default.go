package questionnaire

import (
	"net/http"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/jsonc"
)

// Defaults that depend on other fields. All others are in field tags. Slots are
// requests, memory is in pieces, lengths are in tokens.
const (
	defaultSlots              = 20
	defaultMemoryPieces       = 400
	defaultPieceTokens        = 2000
	defaultLinkBytesPerSecond = 5_000_000_000
	defaultMaxPromptTokens    = 8000
	defaultMaxOutputTokens    = 500
)

// The request paths that a model-backed class can have.
const (
	completionsPath     = "/v1/completions"
	chatCompletionsPath = "/v1/chat/completions"
)

// applyDefaults sets every field that was left out and has a default.
func (q *Questionnaire) applyDefaults() {
	jsonc.ApplyDefaults(q)
	for i := range q.Services {
		q.Services[i].applyDefaults()
	}
	for i := range q.Teams {
		q.Teams[i].applyDefaults(q)
	}
}

func (s *Service) applyDefaults() {
	for i := range s.Engines {
		s.Engines[i].applyEngineDefaults(s.Name)
	}
	for i := range s.Instances {
		pool := &s.Instances[i]
		setDefault(&pool.Name, s.Name+"-"+pool.Zone+"-"+numberPlaceholder)
	}
}

func (p *Pool) applyEngineDefaults(service string) {
	setDefault(&p.Name, service+"-"+string(p.Role)+"-"+p.Zone+"-"+numberPlaceholder)
	setDefault(&p.MemoryPieces, defaultMemoryPieces)
	setDefault(&p.PieceTokens, defaultPieceTokens)
	setDefault(&p.LinkBytesPerSecond, defaultLinkBytesPerSecond)
	if p.Role == configuration.RoleDecode {
		setDefault(&p.Slots, defaultSlots)
	}
	if p.ReportsLoad == nil {
		p.ReportsLoad = new(true)
	}
}

func (t *Team) applyDefaults(q *Questionnaire) {
	if t.Weights == nil {
		t.Weights = &Weights{Goodput: 1, WastedPrefill: 1}
	}
	for i := range t.Classes {
		class := &t.Classes[i]
		service := q.service(class.Service)
		if service != nil && service.Model != nil {
			class.applyModelDefaults()
		}
		class.applyDefaults()
	}
}

func (c *Class) applyModelDefaults() {
	setDefault(&c.Method, http.MethodPost)
	setDefault(&c.Path, completionsPath)
	setDefault(&c.Repeat, configuration.Repeatable)
	setDefault(&c.MaxPromptTokens, defaultMaxPromptTokens)
	setDefault(&c.MaxOutputTokens, defaultMaxOutputTokens)
}

func (c *Class) applyDefaults() {
	setDefault(&c.Method, http.MethodGet)
	if c.Method == http.MethodGet || c.Method == http.MethodHead {
		setDefault(&c.Repeat, configuration.Repeatable)
		setDefault(&c.Key, configuration.KeyNone)
	}
	if c.Repeat == configuration.Repeatable {
		setDefault(&c.Key, configuration.KeyOptional)
	}
}

// setDefault sets the field to value if it has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// service returns the service with the given name, or nil.
func (q *Questionnaire) service(name string) *Service {
	for i := range q.Services {
		if q.Services[i].Name == name {
			return &q.Services[i]
		}
	}
	return nil
}
