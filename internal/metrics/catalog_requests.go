package metrics

var gatewayGroup = Group{
	Name: "gateway",
	Help: "Requests from callers.",
	Values: []Definition{
		{"received", Counter, Requests, "Requests from known teams.", noAction},
		{"answered", Counter, Answers, "Requests answered completely.", "Compare with `received`; the others were refused, interrupted or abandoned by their caller."},
		{"refused_not_run", Counter, Requests, "Requests that were refused and did not run.",
			"Above a few percent of `received`: see `scheduling` for the reason, then add engines or relax the latency targets."},
		{"refused_unknown", Counter, Requests, "Requests refused although they may have run.",
			"Any rise: find the endpoint in the timeline; check with its operator whether the requests ran."},
		{"refused_ran", Counter, Requests, "Requests that ran, but whose answer could not be delivered.",
			"Any rise: see `forward.cut_short` and the log of the endpoint."},
		{"callers_gone", Counter, Requests, "Requests whose caller disconnected before the answer was complete.",
			"A rise together with missed latency targets: callers time out because answers are late."},
		{"interrupted", Counter, Answers, "Answers that were interrupted after a part had been delivered.",
			"Any rise: look in the timeline for decode failures that were not followed by a resume."},
		{"unauthorized", Counter, Requests, "Requests without a known bearer key.",
			"A sudden rise: a team's key was replaced before its digest was published, or someone is guessing keys."},
		{"in_flight", Gauge, Requests, "Requests in flight.", "During a graceful shutdown it must drop to 0 within the drain limit."},
	},
}

var completionGroup = Group{
	Name: "completion",
	Help: "Attempts to answer model-backed requests.",
	Values: []Definition{
		{"attempts", Counter, Attempts, "Attempts for which engines were granted.", noAction},
		{"resumed", Counter, Attempts, "Attempts that continued an answer on another engine.",
			"A rise: a decode engine fails while it generates; `endpoint.ejected` and the timeline name it."},
		{"crossed", Counter, Answers, "Answers dropped because they belonged to another attempt.",
			"Any rise: an engine confuses answers of different requests; take it out of service and report it."},
		{"duplicate_tokens", Counter, Tokens, "Tokens dropped because the caller had already received them.",
			"A steady rise: an engine ignores the token index from which to resume."},
		{"transfer_stalls", Counter, Attempts, "Attempts cancelled because a KV cache transfer stalled.",
			"Several a minute: check the network between the engines."},
		{"decode_stalls", Counter, Attempts, "Attempts cancelled because a decode engine stopped sending tokens.",
			"Several a minute: check the decode engines named in the timeline."},
		{"retries_denied", Counter, Attempts, "Retries that the retry budget did not allow.",
			"Any rise: failures are widespread; repair endpoints before anything else."},
		{"prefill_tokens", Counter, Tokens, "Prompt tokens that were prefilled.", noAction},
		{"wasted_prefill_tokens", Counter, Tokens, "Prompt tokens prefilled for attempts that delivered no token to the caller.",
			"Above a few percent of `prefill_tokens`: see `resumed`, `transfer_stalls` and `gateway.callers_gone` for the cause."},
	},
}

// connectionValues are the values of a client of package upstream that a daemon uses.
var connectionValues = []Definition{
	{"dialed", Counter, Connections, "Connections established.", noAction},
	{"dial_failed", Counter, Connections, "Connections that could not be established.", "A steady rise: endpoints are down or unreachable."},
	{"reused", Counter, Calls, "Calls on idle connections from the pool.",
		"Low compared with `dialed`: endpoints close connections early, or do not repeat X-Request-Id in their responses."},
	{"stale", Counter, Connections, "Idle connections that had been closed or had received unexpected bytes.",
		"A steady rise: endpoints close connections early or send bytes after the end of a response."},
	{"late", Counter, Calls, "Responses that arrived after their requests had been given up.", noAction},
	{"foreign", Counter, Calls, "Responses that named another call than the one they were due for.",
		"Any rise: an endpoint writes responses twice or confuses them; take it out of service and report it."},
}

var engineConnectionsGroup = Group{
	Name:   "engine_connections",
	Help:   "Connections to engines.",
	Values: connectionValues,
}

var forwardGroup = Group{
	Name: "forward",
	Help: "Requests to plain services.",
	Values: []Definition{
		{"sent", Counter, Calls, "Requests sent to endpoints.", noAction},
		{"retried", Counter, Calls, "Requests that were retried.", "Above a few percent of `sent`: an instance fails; see `endpoint.ejected`."},
		{"cut_short", Counter, Answers, "Responses dropped because they were incomplete.",
			"Any rise: an instance crashes or is stopped while it sends a response."},
		{"retries_denied", Counter, Calls, "Retries that the retry budget did not allow.",
			"Any rise: failures are widespread; repair endpoints before anything else."},
	},
}

var plainConnectionsGroup = Group{
	Name:   "plain_connections",
	Help:   "Connections to plain services.",
	Values: connectionValues,
}

var schedulingGroup = Group{
	Name: "scheduling",
	Help: "Decisions about engines for model-backed requests, for the models whose reservations this VM currently owns. When the ownership of a model moves to another VM, the values of that model are removed, so the totals can decrease; see `reservation.ownership_lost`.",
	Values: []Definition{
		{"models", Gauge, Models, "Models whose reservations this VM owns.", "Each model is owned by one VM per zone; find the owner before you compare the other values."},
		{"waiting", Gauge, Requests, "Requests waiting for engines.",
			"Near the queue limits of the classes: requests will soon be refused; add decode engines."},
		{"granted", Counter, Requests, "Requests for which engines were granted.", noAction},
		{"overlapped", Counter, Requests, "Grants whose prefill started before a decode slot was free.",
			"No action by itself; a rise together with `completion.wasted_prefill_tokens` means that slots become free later than predicted."},
		{"refused_target", Counter, Requests, "Requests refused because a latency target could not be met.",
			"A steady rise: add engines, or relax the targets of the class."},
		{"refused_full", Counter, Requests, "Requests refused because the queue limit of their class was reached.",
			"A steady rise: add decode engines, or raise the queue limit if callers can wait."},
		{"refused_engine", Counter, Requests, "Requests refused because no engine was available.",
			"Any rise: engines of the model are gone or leaving; see `endpoint`."},
		{"refused_large", Counter, Requests, "Requests refused because no engine has enough memory.",
			"Any rise: lower the class's token limits, or configure engines with more memory."},
		{"dropped", Counter, Requests, "Waiting requests refused because they could no longer start in time for their latency target.", "A steady rise: add engines, or relax the targets of the class."},
		{"withdrawn", Counter, Requests, "Waiting requests that their entry VM withdrew, or whose entry VM is gone.", "A rise: callers disconnect while their requests wait."},
		{"expired", Counter, Slots, "Decode slots released because their holder stopped renewing them.",
			"Any rise: an entry VM stopped or was paused; see the member events in the timeline."},
		{"holder_gone", Counter, Slots, "Decode slots released because their entry VM was gone.", "Find the event `member.gone` of the VM in the timeline."},
		{"adopted", Counter, Slots, "Decode slots taken over from a previous owner.", "No action; expected after a change of ownership."},
		{"released", Counter, Slots, "Decode slots that their holders released.", noAction},
		{"cache_gaps", Counter, Events, "Gaps in the prefix cache events of engines.",
			"A steady rise reduces prefix cache hits; check the event buffers of the engines."},
		{"cache_misses", Counter, Requests, "Prefills that found less of their prefix in the cache than predicted.",
			"A steady rise: prefix caches are too small for the prompts."},
		{"rested", Counter, Endpoints, "Cooldowns of engines: after a failure the engine gets no grants for a time.",
			"Find the engines whose calls fail."},
	},
}

var cancellerGroup = Group{
	Name: "canceller",
	Help: "Cancellation of attempts on engines.",
	Values: []Definition{
		{"sent", Counter, Calls, "Cancel calls.", noAction},
		{"confirmed", Counter, Attempts, "Cancels that the engine acknowledged.", noAction},
		{"abandoned", Counter, Attempts, "Cancels that were never acknowledged.",
			"Any rise: an engine may still hold memory for these attempts; restart it if it is still running."},
		{"pending", Gauge, Attempts, "Cancels that are not acknowledged yet.", "Above 0 for minutes: an engine does not respond to cancels."},
	},
}

var endpointGroup = Group{
	Name: "endpoint",
	Help: "The state of endpoints.",
	Values: []Definition{
		{"ejected", Counter, Endpoints, "Outlier ejections: endpoints taken out of load balancing because they failed more often than others.",
			"Repeated ejections of the same endpoint: take it out of service and check its log."},
		{"restored", Counter, Endpoints, "Endpoints that returned to service after an ejection.", noAction},
		{"leaving", Counter, Endpoints, "Endpoints that started to leave.", "No action while VMs are being added or removed."},
		{"quieted", Counter, Endpoints, "Times that endpoints asked for quiet with a failure.",
			"A rise: endpoints are in need; log lines `endpoint asks for quiet` name them."},
		{"limited", Counter, Endpoints, "Times that endpoints began to name a limit of requests.",
			"A rise: endpoints are in need; the timeline names them."},
		{"not_offered", Counter, Requests, "Requests that were not sent to a plain endpoint because it probably had declined them.",
			"A steady rise: as for `relay.overfull`; log lines `endpoint too full` name the endpoints."},
		{"facts_learned", Counter, Endpoints, "Loads of plain endpoints that other VMs observed and that were newer than what was known.",
			"No rise while plain requests are served by several VMs of a zone: their renewals fail; see `reservation.heartbeats_failed`."},
	},
}
