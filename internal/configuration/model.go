// Package configuration implements the versioned configuration of all entry VMs:
// its typed model, its validation, the replay of the platform's log that decides
// which publishes are accepted (Fold), and the immutable Snapshot that request
// handling reads.
//
// A configuration consists of one fleet document (zones, VMs, endpoints, models)
// and one document per team (keys, classes, targets). Every document is a subject
// with its own version, so that a change to one document appends one small record.
// A publish is accepted only if it is based on its subject's current version. A
// re-append repeats an accepted version, so that it outlives the log's retention.
package configuration

import (
	"encoding/json"
	"fmt"
	"time"
)

// Format is the version of the bundle and record formats that this package reads
// and writes.
const Format = 1

// Duration is a time.Duration written in JSON as a string such as "1.3s".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration is a string such as \"1.3s\": %w", err)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Bundle is a complete configuration, as generated from a questionnaire.
type Bundle struct {
	Format int    `json:"format"`
	Fleet  Fleet  `json:"fleet"`
	Teams  []Team `json:"teams"`
	// BasedOn holds, by subject, the version that the bundle was derived from. A
	// change is refused if that version is not the current one. A subject that is
	// not listed is based on the version in force at the time of the publish.
	BasedOn map[string]uint64 `json:"based_on,omitempty"`
}

// Fleet describes what all teams of a deployment share.
type Fleet struct {
	// Zones are the availability zones.
	Zones []Zone `json:"zones"`
	// VMs are the entry VMs that may serve; others are not trusted as peers.
	VMs []VM `json:"vms"`
	// Endpoints are the engines and plain services.
	Endpoints []Endpoint `json:"endpoints"`
	// Models are the models that engines serve.
	Models []Model `json:"models"`
	// Links are the links between availability zones.
	Links []Link `json:"links,omitempty"`
	// Times are the durations that the whole fleet agrees on.
	Times Times `json:"times"`
	// WeightStoreBytesPerSecond is the rate limit of the weight store.
	WeightStoreBytesPerSecond int64 `json:"weight_store_bytes_per_second,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `json:"name"`
	// Region names the region that the zone belongs to.
	Region string `json:"region,omitempty"`
}

// VM is an entry VM.
type VM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is the address for peers, an IP address and port.
	Address string `json:"address"`
}

// EndpointKind distinguishes model engines from instances of plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	KindEngine EndpointKind = "engine"
	KindPlain  EndpointKind = "plain"
)

// Role is the pool that an engine belongs to.
type Role string

// The roles of engines.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Fencing tells whether an endpoint rejects orders with an outdated fencing number.
type Fencing string

// The ways in which endpoints treat fencing numbers. FencingUnknown is handled
// like FencingIgnores until the endpoint reports otherwise.
const (
	FencingUnknown Fencing = ""
	FencingChecks  Fencing = "checks"
	FencingIgnores Fencing = "ignores"
)

// Endpoint is a model engine or an instance of a plain service.
type Endpoint struct {
	Name    string       `json:"name"`
	Zone    string       `json:"zone"`
	Address string       `json:"address"`
	Kind    EndpointKind `json:"kind"`
	// Service names the plain service; empty for engines.
	Service string `json:"service,omitempty"`
	// Build is the version of the endpoint's software. An answer may be continued
	// only by an engine of the build that began it; empty if not known.
	Build string `json:"build,omitempty"`
	// Model, Version, Adapters and Role are the desired state of an engine.
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     Role     `json:"role,omitempty"`
	// Slots is the number of requests that a decode engine serves at a time.
	Slots int `json:"slots,omitempty"`
	// MemoryPieces is the number of KV cache pieces that fit in the engine's
	// memory, and PieceTokens the number of tokens of one piece.
	MemoryPieces int `json:"memory_pieces,omitempty"`
	PieceTokens  int `json:"piece_tokens,omitempty"`
	// LinkBytesPerSecond is the bandwidth of the link for KV cache transfers.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second,omitempty"`
	// Fencing says how the engine treats fencing numbers.
	Fencing Fencing `json:"fencing,omitempty"`
	// ReportsLoad says whether the endpoint serves GET /v1/load.
	ReportsLoad bool `json:"reports_load,omitempty"`
}

// Model holds the initial performance estimates of a model from which predictions
// start; they are corrected by observation.
type Model struct {
	Name string `json:"name"`
	// PrefillTokensPerSecond is the rate of one prefill engine.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// PrefillLatency is the part of a prefill's duration in which its engine can
	// process other prompts.
	PrefillLatency Duration `json:"prefill_latency,omitempty"`
	// FirstEventTokens is the number of tokens that an engine generates before it
	// sends the first event of an answer; 0 stands for 1.
	FirstEventTokens int `json:"first_event_tokens,omitempty"`
	// TokenInterval is the time between tokens on an empty decode engine.
	TokenInterval Duration `json:"token_interval"`
	// TokenIntervalPerRequest is added to TokenInterval for each further
	// request on the same decode engine.
	TokenIntervalPerRequest Duration `json:"token_interval_per_request"`
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken int64 `json:"kv_bytes_per_token"`
	// KVRetention is how long a prefill engine keeps a finished prefill's KV cache.
	KVRetention Duration `json:"kv_retention"`
	// WeightBytes is the size of the model's weights.
	WeightBytes int64 `json:"weight_bytes,omitempty"`
}

// Link is the link between two availability zones, in both directions.
type Link struct {
	From           string   `json:"from"`
	To             string   `json:"to"`
	BytesPerSecond int64    `json:"bytes_per_second"`
	OneWayDelay    Duration `json:"one_way_delay"`
}

// KeyMargin is the margin by which the log retention must exceed the sum of key
// window and clock skew, so that the claim of an idempotency key stays in the log
// for as long as any VM accepts the key.
const KeyMargin = Duration(10 * time.Second)

// Times are durations that the whole fleet agrees on.
type Times struct {
	// BalancerLag is how long the load balancer may still send requests to a VM
	// that is no longer ready.
	BalancerLag Duration `json:"balancer_lag"`
	// DrainLimit bounds a graceful shutdown; no target may be longer.
	DrainLimit Duration `json:"drain_limit"`
	// LogRetention is how long the platform's log keeps a record.
	LogRetention Duration `json:"log_retention"`
	// KeyWindow is how long an idempotency key may be used; it must stay well below
	// LogRetention, see KeyMargin.
	KeyWindow Duration `json:"key_window"`
	// ClockSkew bounds the difference between any two clocks, callers' included.
	ClockSkew Duration `json:"clock_skew"`
}

// Team is a customer with its keys, classes and weights.
type Team struct {
	Name string `json:"name"`
	// KeyDigests are SHA-256 digests (hex) of the team's bearer keys.
	KeyDigests []string `json:"key_digests"`
	// Weights set the balance between goodput and wasted prefill.
	Weights Weights `json:"weights"`
	// Classes are the team's classes of request.
	Classes []Class `json:"classes"`
	// Share is the team's share of contended capacity relative to other teams; default 1.
	Share float64 `json:"share,omitempty"`
}

// Weights set the balance between goodput and wasted prefill. Both are
// non-negative and not both 0; only their ratio matters.
type Weights struct {
	Goodput       float64 `json:"goodput"`
	WastedPrefill float64 `json:"wasted_prefill"`
}

// RepeatRule says whether the system may run a request more than once.
type RepeatRule string

// The repeat rules.
const (
	Repeatable  RepeatRule = "repeatable"
	NeverRepeat RepeatRule = "never"
)

// KeyRule says whether a request carries an idempotency key.
type KeyRule string

// The key rules.
const (
	KeyRequired KeyRule = "required"
	KeyOptional KeyRule = "optional"
	KeyNone     KeyRule = "none"
)

// Order says in which order waiting requests of a class are served.
type Order string

// The orders.
const (
	OrderFirstCome Order = "first-come"
	OrderAny       Order = "any"
)

// Class is a class of requests of one team.
type Class struct {
	Name string `json:"name"`
	// Model names the model of a model-backed class; empty for a plain class.
	Model string `json:"model,omitempty"`
	// Service names the plain service of a plain class.
	Service string `json:"service,omitempty"`
	// Method and Path select requests; a path may end in "/*".
	Method string `json:"method"`
	Path   string `json:"path"`
	// Repeat says whether a request may run more than once.
	Repeat RepeatRule `json:"repeat"`
	// Key says whether requests carry an Idempotency-Key.
	Key KeyRule `json:"key"`
	// Targets are the latency targets.
	Targets Targets `json:"targets"`
	// Priority orders classes; a higher one is served first.
	Priority int `json:"priority"`
	// Order orders the waiting requests of this class.
	Order Order `json:"order"`
	// MaxOutputTokens bounds the answer of a model-backed class.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// MaxPromptTokens bounds the prompt of a model-backed class.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// QueueLimit bounds the waiting requests of this class in a zone.
	QueueLimit int `json:"queue_limit"`
}

// Targets are the latency targets of a class; 0 means none.
type Targets struct {
	FirstToken    Duration `json:"first_token,omitempty"`
	BetweenTokens Duration `json:"between_tokens,omitempty"`
	WholeAnswer   Duration `json:"whole_answer,omitempty"`
}

// ModelBacked reports whether the class is served by model engines.
func (c *Class) ModelBacked() bool { return c.Model != "" }
