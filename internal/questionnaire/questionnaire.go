// Package questionnaire holds the answers that a deployment's teams give about
// their places, services, classes of request and targets, and generates the
// configuration from them.
//
// Answers are written as JSON with comments. All that is wrong with them is
// reported at once, each finding with line and path, before anything is
// generated.
package questionnaire

import (
	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// Format is the version of the questionnaire that this package reads.
const Format = 1

// Questionnaire is the whole set of answers of one deployment.
type Questionnaire struct {
	// Format is the version of the questionnaire; it must be 1.
	Format int `json:"format"`
	// Zones are the availability zones with their entry VMs. At least one.
	Zones []Zone `json:"zones"`
	// ZoneLink is the link between any two availability zones that "links"
	// does not list.
	ZoneLink LinkRate `json:"zone_link"`
	// Links are the links between two availability zones that differ from
	// zone_link. Each pair is listed once and holds in both directions.
	Links []Link `json:"links,omitempty"`
	// Services are the model-backed and the plain services. At least one.
	Services []Service `json:"services"`
	// Teams are the teams that call the services. At least one.
	Teams []Team `json:"teams"`
	// Times are the periods that all entry VMs agree on.
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
	// Region names the region that the availability zone belongs to.
	Region string `json:"region,omitempty"`
	// EntryVMs are the entry VMs of the availability zone. At least one.
	EntryVMs []EntryVM `json:"entry_vms"`
}

// EntryVM is a VM on which the daemon runs.
type EntryVM struct {
	// Name is the name of the VM, in the form of an availability zone's name,
	// unique among all VMs.
	Name string `json:"name"`
	// Address is the IP number and port for other entry VMs.
	Address string `json:"address"`
}

// LinkRate gives rate and delay of a link.
type LinkRate struct {
	// BytesPerSecond is the rate in bytes per second.
	BytesPerSecond int64 `json:"bytes_per_second" default:"125000000"`
	// OneWayDelay is the usual delay in one direction.
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
	// OneWayDelay is the usual delay in one direction.
	OneWayDelay configuration.Duration `json:"one_way_delay" default:"3ms"`
}

// Service is a model-backed or a plain service. Exactly one of model and
// instances is given.
type Service struct {
	// Name is the name of the service, in the form of an availability zone's
	// name, unique.
	Name string `json:"name"`
	// Model is the model of a model-backed service.
	Model *Model `json:"model,omitempty"`
	// Engines are the pools of engines of a model-backed service. At least one
	// prefill and one decode engine in all.
	Engines []Pool `json:"engines,omitempty"`
	// Instances are the pools of instances of a plain service.
	Instances []Pool `json:"instances,omitempty"`
}

// Model is a model and the performance that one engine reaches with it.
// Predictions start from these figures and are corrected by observation.
type Model struct {
	// Name is the name by which requests ask for the model, unique.
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

// Pool is a number of like endpoints in one availability zone.
type Pool struct {
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Role is "prefill" or "decode" for engines; it is left out for instances.
	Role configuration.Role `json:"role,omitempty"`
	// Name is the pattern of the endpoints' names. "{n}" stands for the number
	// of the endpoint, counted from 1 over all endpoints of the service in the
	// availability zone and role. The default is SERVICE-ROLE-ZONE-{n} for
	// engines and SERVICE-ZONE-{n} for instances.
	Name string `json:"name,omitempty"`
	// Addresses are the endpoints' addresses, IP number and port, one by one.
	Addresses []string `json:"addresses,omitempty"`
	// Count is the number of endpoints if addresses is left out.
	Count int `json:"count,omitempty"`
	// Address is the pattern of the endpoints' addresses if addresses is left
	// out. "{n}" stands for a number that counts up from first_number.
	Address string `json:"address,omitempty"`
	// FirstNumber is the first number that "{n}" of address stands for.
	FirstNumber int `json:"first_number,omitempty" default:"1"`
	// Slots is the number of requests that a decode engine holds at a time; it
	// is left out for prefill engines and instances. The default is 20.
	Slots int `json:"slots,omitempty"`
	// MemoryPieces is the number of pieces of KV cache memory of an engine. The
	// default is 400 for engines.
	MemoryPieces int `json:"memory_pieces,omitempty"`
	// PieceTokens is the number of tokens that one piece of memory holds. The
	// default is 2000 for engines.
	PieceTokens int `json:"piece_tokens,omitempty"`
	// LinkBytesPerSecond is the rate at which an engine sends or receives KV
	// cache, in bytes per second. The default is 5000000000 for engines.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second,omitempty"`
	// Fencing is "checks" if the endpoints refuse an order with an old fencing
	// number, "ignores" if they do not. Left out, it is unknown: the endpoints
	// are treated as ignoring the number until they say otherwise.
	Fencing configuration.Fencing `json:"fencing,omitempty"`
	// ReportsLoad says whether the endpoints report their load. The default is
	// true for engines and false for instances.
	ReportsLoad *bool `json:"reports_load,omitempty"`
}

// Team is a team with its keys, weights and classes of request.
type Team struct {
	// Name is the name of the team, in the form of an availability zone's name,
	// unique.
	Name string `json:"name"`
	// KeyDigests are the SHA-256 digests of the team's bearer keys, 64
	// hexadecimal digits each, as "ospreyshed questionnaire digest" prints them.
	// At least one; several allow keys to be replaced without a gap.
	KeyDigests []string `json:"key_digests"`
	// Share is the team's share of contended capacity relative to other teams.
	Share float64 `json:"share" default:"1"`
	// Weights set the balance between goodput and wasted prefill. The default
	// weighs both alike.
	Weights *Weights `json:"weights,omitempty"`
	// Classes are the team's classes of request. At least one.
	Classes []Class `json:"classes"`
}

// Weights set the balance between goodput and wasted prefill. Neither is
// negative and not both are 0; only their ratio matters.
type Weights struct {
	// Goodput is the weight of answers that meet their latency targets.
	Goodput float64 `json:"goodput"`
	// WastedPrefill is the weight of prefill work that no answer came of.
	WastedPrefill float64 `json:"wasted_prefill"`
}

// Class is a class of request.
type Class struct {
	// Name is the name of the class, in the form of an availability zone's
	// name, unique in the team.
	Name string `json:"name"`
	// Service is the name of the service that answers.
	Service string `json:"service"`
	// Method is the HTTP method. The default is POST for a model-backed and GET
	// for a plain class.
	Method string `json:"method,omitempty"`
	// Path is the path of the requests. For a model-backed class it is
	// "/v1/completions", the default, or "/v1/chat/completions". For a plain
	// class it is any path; "/*" at its end stands for all paths below. The
	// longest path that fits a request decides. Classes with the same method,
	// path and model must agree on repeat and key.
	Path string `json:"path,omitempty"`
	// Repeat is "repeatable" if a request may run more than once and "never" if
	// it may not. It must be given for a plain class unless its method is GET
	// or HEAD; the default is "repeatable" otherwise.
	Repeat configuration.RepeatRule `json:"repeat,omitempty"`
	// Key says whether requests carry an Idempotency-Key: "required",
	// "optional" or "none". It must be "required" for a class that may never be
	// repeated. The default is "none" for GET and HEAD, else "optional".
	Key configuration.KeyRule `json:"key,omitempty"`
	// Targets are the latency targets.
	Targets Targets `json:"targets"`
	// Priority orders classes; requests of a higher one are served first.
	Priority int `json:"priority,omitempty"`
	// Order is "first-come" if waiting requests of the class are served in the
	// order of their arrival, else "any".
	Order configuration.Order `json:"order" default:"first-come"`
	// MaxPromptTokens is the longest prompt of a model-backed class. The
	// default is 8000.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// MaxOutputTokens is the longest answer of a model-backed class. The
	// default is 500.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// QueueLimit is the number of requests of the class that may wait in an
	// availability zone.
	QueueLimit int `json:"queue_limit" default:"100"`
}

// Targets are the latency targets of a class. A model-backed class has a
// target for the first token and one between tokens, and may have one for the
// whole answer; a plain class has one for the whole answer only.
type Targets struct {
	// FirstToken bounds the time from a request to the first token of its
	// answer.
	FirstToken configuration.Duration `json:"first_token,omitempty"`
	// BetweenTokens bounds the time between two tokens.
	BetweenTokens configuration.Duration `json:"between_tokens,omitempty"`
	// WholeAnswer bounds the time from a request to the end of its answer.
	WholeAnswer configuration.Duration `json:"whole_answer,omitempty"`
}

// Times are the periods that all entry VMs agree on.
type Times struct {
	// BalancerLag is how long the balancer may go on sending requests to an
	// entry VM that has stopped being ready.
	BalancerLag configuration.Duration `json:"balancer_lag" default:"10s"`
	// DrainLimit bounds the time that a graceful shutdown waits for requests in
	// flight. No request may be allowed to take longer.
	DrainLimit configuration.Duration `json:"drain_limit" default:"10m"`
	// LogRetention is how long the platform's log keeps a record.
	LogRetention configuration.Duration `json:"log_retention" default:"24h"`
	// KeyWindow is how long an Idempotency-Key stands for the same request. It
	// must not exceed half of log_retention.
	KeyWindow configuration.Duration `json:"key_window" default:"4h"`
	// ClockSkew bounds the difference between any two clocks, callers' included.
	ClockSkew configuration.Duration `json:"clock_skew" default:"2s"`
}
