// Package questionnaire describes a deployment in one questionnaire, with its
// availability zones, services, teams, classes of request and latency targets,
// and generates the configuration from it.
//
// A questionnaire is written as JSON with comments. It is checked before a
// configuration is generated: all findings are reported together, each with its
// line and path.
package questionnaire

import (
	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// Format is the version of the questionnaire format that this package reads.
const Format = 1

// Questionnaire holds all answers of one deployment.
type Questionnaire struct {
	// Format is the version of the questionnaire format; it must be 1.
	Format int `json:"format"`
	// Zones are the availability zones with their entry VMs. At least one is
	// required.
	Zones []Zone `json:"zones"`
	// ZoneLink is the link between any two availability zones that are not listed
	// in links.
	ZoneLink LinkRate `json:"zone_link"`
	// Links are the links between two availability zones that differ from
	// zone_link. Each pair of zones is listed once; its link applies to both
	// directions.
	Links []Link `json:"links,omitempty"`
	// Services are the model-backed and the plain services. At least one is
	// required.
	Services []Service `json:"services"`
	// Teams are the teams that call the services. At least one is required.
	Teams []Team `json:"teams"`
	// Times are the durations that all entry VMs share.
	Times Times `json:"times"`
	// WeightStoreBytesPerSecond is the rate limit of the weight store in bytes
	// per second.
	WeightStoreBytesPerSecond int64 `json:"weight_store_bytes_per_second" default:"1000000000"`
}

// Zone is an availability zone with its entry VMs.
type Zone struct {
	// Name is the name of the availability zone: lower-case letters, digits and
	// "-", at most 63 characters, unique.
	Name string `json:"name"`
	// Region is the name of the region that contains the availability zone.
	Region string `json:"region,omitempty"`
	// EntryVMs are the entry VMs of the availability zone. At least one is
	// required.
	EntryVMs []EntryVM `json:"entry_vms"`
}

// EntryVM is a VM that runs the daemon.
type EntryVM struct {
	// Name is the name of the VM, in the form of an availability zone's name,
	// unique among all entry VMs and endpoints.
	Name string `json:"name"`
	// Address is the IP number and port at which other entry VMs reach this VM.
	Address string `json:"address"`
}

// LinkRate is the rate and the delay of a link.
type LinkRate struct {
	// BytesPerSecond is the rate in bytes per second.
	BytesPerSecond int64 `json:"bytes_per_second" default:"125000000"`
	// OneWayDelay is the typical delay in one direction.
	OneWayDelay configuration.Duration `json:"one_way_delay" default:"3ms"`
}

// Link is the link between two availability zones.
type Link struct {
	// From is the name of one availability zone.
	From string `json:"from"`
	// To is the name of the other availability zone.
	To string `json:"to"`
	// BytesPerSecond is the rate in bytes per second.
	BytesPerSecond int64 `json:"bytes_per_second" default:"125000000"`
	// OneWayDelay is the typical delay in one direction.
	OneWayDelay configuration.Duration `json:"one_way_delay" default:"3ms"`
}

// Service is a model-backed or a plain service. Exactly one of model and
// instances must be given.
type Service struct {
	// Name is the name of the service, in the form of an availability zone's
	// name, unique.
	Name string `json:"name"`
	// Model is the model of a model-backed service.
	Model *Model `json:"model,omitempty"`
	// Engines are the pools of engines of a model-backed service. Together they
	// need at least one prefill and one decode engine.
	Engines []Pool `json:"engines,omitempty"`
	// Instances are the pools of instances of a plain service.
	Instances []Pool `json:"instances,omitempty"`
}

// Model is a model and the performance of one engine that runs it. The router's
// predictions start from these values and are corrected by observation.
type Model struct {
	// Name is the name of the model in requests, unique.
	Name string `json:"name"`
	// Version is the version that engines load.
	Version string `json:"version" default:"1"`
	// Adapters are the adapters that engines load.
	Adapters []string `json:"adapters,omitempty"`
	// PrefillTokensPerSecond is the rate of one prefill engine in tokens per
	// second.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second" default:"10000"`
	// TokenInterval is the time between two tokens on a decode engine with one
	// request.
	TokenInterval configuration.Duration `json:"token_interval" default:"20ms"`
	// TokenIntervalPerRequest is added to token_interval for each further
	// request on the same decode engine.
	TokenIntervalPerRequest configuration.Duration `json:"token_interval_per_request" default:"1ms"`
	// KVBytesPerToken is the size of the KV cache in bytes per token.
	KVBytesPerToken int64 `json:"kv_bytes_per_token" default:"131072"`
	// KVRetention is how long a prefill engine keeps the KV cache of a finished
	// prefill.
	KVRetention configuration.Duration `json:"kv_retention" default:"800ms"`
	// WeightBytes is the size of the model's weights in bytes.
	WeightBytes int64 `json:"weight_bytes" default:"16000000000"`
}

// Pool is a group of identical endpoints in one availability zone.
type Pool struct {
	// Zone is the name of the availability zone.
	Zone string `json:"zone"`
	// Role is "prefill" or "decode" for engines; it is left out for instances.
	Role configuration.Role `json:"role,omitempty"`
	// Name is the pattern of the endpoints' names. "{n}" is replaced by the
	// number of the endpoint, counted from 1 over all endpoints of the service
	// with the same availability zone and role. The default is
	// SERVICE-ROLE-ZONE-{n} for engines and SERVICE-ZONE-{n} for instances.
	Name string `json:"name,omitempty"`
	// Addresses lists the IP number and port of each endpoint.
	Addresses []string `json:"addresses,omitempty"`
	// Count is the number of endpoints. It is given instead of addresses.
	Count int `json:"count,omitempty"`
	// Address is the pattern of the endpoints' addresses, given with count.
	// "{n}" is replaced by first_number for the first endpoint and by the next
	// higher number for each further one.
	Address string `json:"address,omitempty"`
	// FirstNumber is the number that replaces "{n}" in the address of the first
	// endpoint.
	FirstNumber int `json:"first_number,omitempty" default:"1"`
	// Build is the version of the engines' software, if engines of several
	// versions serve the model. An answer that one of them began is continued
	// only by engines of the same build. It is left out for instances.
	Build string `json:"build,omitempty"`
	// Slots is the number of requests that a decode engine can process at the
	// same time; it is left out for prefill engines and instances. The default
	// is 20.
	Slots int `json:"slots,omitempty"`
	// MemoryPieces is the size of an engine's KV cache memory in pieces. The
	// default is 400 for engines.
	MemoryPieces int `json:"memory_pieces,omitempty"`
	// PieceTokens is the number of tokens per piece of KV cache memory. The
	// default is 2000 for engines.
	PieceTokens int `json:"piece_tokens,omitempty"`
	// LinkBytesPerSecond is the rate at which an engine sends or receives KV
	// cache, in bytes per second. The default is 5000000000 for engines.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second,omitempty"`
	// Fencing is "checks" if the endpoints refuse an order with an old fencing
	// number and "ignores" if they do not. If it is left out, the endpoints are
	// treated as ignoring the number until they report that they check it.
	Fencing configuration.Fencing `json:"fencing,omitempty"`
	// ReportsLoad is true if the endpoints report their load. The default is true
	// for engines and false for instances.
	ReportsLoad *bool `json:"reports_load,omitempty"`
}

// Team is a team with its keys, weights and classes of request.
type Team struct {
	// Name is the name of the team, in the form of an availability zone's name,
	// unique.
	Name string `json:"name"`
	// KeyDigests are the SHA-256 digests of the team's bearer keys, 64
	// hexadecimal digits each, as "ospreyshed questionnaire digest" prints them.
	// At least one is required; with several, a key can be replaced without
	// interruption.
	KeyDigests []string `json:"key_digests"`
	// Share is the team's share of contended capacity relative to other teams.
	Share float64 `json:"share" default:"1"`
	// Weights set the trade-off between goodput and wasted prefill work. By
	// default both have the same weight.
	Weights *Weights `json:"weights,omitempty"`
	// Classes are the team's classes of request. At least one is required.
	Classes []Class `json:"classes"`
}

// Weights set the trade-off between goodput and wasted prefill work. Neither may
// be negative and at least one must be above 0; only their ratio matters.
type Weights struct {
	// Goodput is the weight of answers that meet their latency targets.
	Goodput float64 `json:"goodput"`
	// WastedPrefill is the weight of prefill work that led to no answer.
	WastedPrefill float64 `json:"wasted_prefill"`
}

// Class is a class of request.
type Class struct {
	// Name is the name of the class, in the form of an availability zone's
	// name, unique in the team.
	Name string `json:"name"`
	// Service is the name of the service that handles the requests.
	Service string `json:"service"`
	// Method is the HTTP method. The default is POST for a model-backed and GET
	// for a plain class.
	Method string `json:"method,omitempty"`
	// Path is the path of the requests. For a model-backed class it is
	// "/v1/completions", the default, or "/v1/chat/completions". For a plain
	// class it is any path; "/*" at its end matches all paths below. If several
	// paths match a request, the longest one applies. Classes with the same
	// method, path and model must have the same repeat and key.
	Path string `json:"path,omitempty"`
	// Repeat is "repeatable" if a request may run more than once and "never" if
	// it may not. It must be given for a plain class unless its method is GET
	// or HEAD; in all other cases the default is "repeatable".
	Repeat configuration.RepeatRule `json:"repeat,omitempty"`
	// Key is the rule for the Idempotency-Key header of requests: "required",
	// "optional" or "none". It must be "required" if repeat is "never". The
	// default is "none" for GET and HEAD, else "optional".
	Key configuration.KeyRule `json:"key,omitempty"`
	// Targets are the latency targets.
	Targets Targets `json:"targets"`
	// Priority ranks classes: requests of a class with a higher priority are
	// served first.
	Priority int `json:"priority,omitempty"`
	// Order is "first-come" if waiting requests of the class are served in the
	// order of their arrival, else "any".
	Order configuration.Order `json:"order" default:"first-come"`
	// MaxPromptTokens is the maximum length of a prompt of a model-backed class in
	// tokens. The default is 8000.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// MaxOutputTokens is the maximum length of an answer of a model-backed class in
	// tokens. The default is 500.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// QueueLimit is the maximum number of requests of the class that are queued
	// in one availability zone.
	QueueLimit int `json:"queue_limit" default:"100"`
}

// Targets are the latency targets of a class. A model-backed class needs
// first_token and between_tokens and may have whole_answer; a plain class needs
// whole_answer and has no other target.
type Targets struct {
	// FirstToken bounds the time from a request to the first token of its
	// answer.
	FirstToken configuration.Duration `json:"first_token,omitempty"`
	// BetweenTokens bounds the time between two successive tokens.
	BetweenTokens configuration.Duration `json:"between_tokens,omitempty"`
	// WholeAnswer bounds the time from a request to the end of its answer.
	WholeAnswer configuration.Duration `json:"whole_answer,omitempty"`
}

// Times are the durations that all entry VMs share.
type Times struct {
	// BalancerLag is how long the balancer may continue to send requests to an
	// entry VM that is no longer ready.
	BalancerLag configuration.Duration `json:"balancer_lag" default:"10s"`
	// DrainLimit bounds the time that a graceful shutdown waits for requests in
	// flight. The targets of a class must not allow a request to take longer.
	DrainLimit configuration.Duration `json:"drain_limit" default:"10m"`
	// LogRetention is how long the platform's log keeps a record.
	LogRetention configuration.Duration `json:"log_retention" default:"24h"`
	// KeyWindow is how long an Idempotency-Key identifies the same request. It
	// must not exceed half of log_retention.
	KeyWindow configuration.Duration `json:"key_window" default:"4h"`
	// ClockSkew bounds the difference between any two clocks, including those of
	// callers.
	ClockSkew configuration.Duration `json:"clock_skew" default:"2s"`
}
