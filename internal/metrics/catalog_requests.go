package metrics

var gatewayGroup = Group{
	Name: "gateway",
	Help: "Requests of callers.",
	Values: []Definition{
		{"received", Counter, Requests, "Requests of known teams.", noAction},
		{"answered", Counter, Answers, "Requests answered whole.", "Compare with `received`; the rest was refused, interrupted or given up by its caller."},
		{"refused_not_run", Counter, Requests, "Requests refused although nothing ran.",
			"Above a few per cent of `received`: look at `scheduling` for the reason, then add engines or relax targets."},
		{"refused_unknown", Counter, Requests, "Requests refused without knowing whether they ran.",
			"Any rise: find the endpoint in the time line; ask its owner whether the requests ran."},
		{"refused_ran", Counter, Requests, "Requests that ran but whose answer could not be delivered.",
			"Any rise: look at `forward.cut_short` and at the endpoint's own log."},
		{"callers_gone", Counter, Requests, "Requests whose caller went before the end.",
			"A rise together with missed targets: callers give up because answers are late."},
		{"interrupted", Counter, Answers, "Answers that ended after a part had been delivered.",
			"Any rise: look in the time line for decode failures without a resume."},
		{"unauthorized", Counter, Requests, "Requests without a known bearer key.",
			"A sudden rise: a team's key was replaced before its digest was published, or someone tries keys."},
		{"in_flight", Gauge, Requests, "Requests being served.", "During a graceful shutdown it must fall to 0 within the drain limit."},
	},
}

var completionGroup = Group{
	Name: "completion",
	Help: "Attempts to answer model-backed requests.",
	Values: []Definition{
		{"attempts", Counter, Attempts, "Attempts that were granted engines.", noAction},
		{"resumed", Counter, Attempts, "Attempts that continued an answer on another engine.",
			"A rise: a decode engine fails in mid-answer; `endpoint.ejected` and the time line name it."},
		{"crossed", Counter, Answers, "Answers dropped because they belonged to another attempt.",
			"Any rise: an engine mixes up answers; take it out and report it."},
		{"duplicate_tokens", Counter, Tokens, "Tokens dropped because the caller had them.",
			"A steady rise: an engine ignores the index to resume from."},
		{"transfer_stalls", Counter, Attempts, "Attempts cancelled because a KV cache transfer stalled.",
			"Several a minute: check the links between engines."},
		{"decode_stalls", Counter, Attempts, "Attempts cancelled because a decode engine sent no token.",
			"Several a minute: check the decode engines that the time line names."},
		{"retries_denied", Counter, Attempts, "Retries that the retry budget did not allow.",
			"Any rise: failures are widespread; repair endpoints before anything else."},
		{"prefill_tokens", Counter, Tokens, "Prompt tokens that were prefilled.", noAction},
		{"wasted_prefill_tokens", Counter, Tokens, "Prompt tokens prefilled for attempts that gave the caller no token.",
			"Above a few per cent of `prefill_tokens`: see `resumed`, `transfer_stalls` and `gateway.callers_gone` for the cause."},
	},
}

var forwardGroup = Group{
	Name: "forward",
	Help: "Requests to plain services.",
	Values: []Definition{
		{"sent", Counter, Calls, "Requests sent to endpoints.", noAction},
		{"retried", Counter, Calls, "Requests that were sent again.", "Above a few per cent of `sent`: an instance fails; see `endpoint.ejected`."},
		{"cut_short", Counter, Answers, "Replies dropped because they were incomplete.",
			"Any rise: an instance dies or is stopped while it replies."},
		{"retries_denied", Counter, Calls, "Retries that the retry budget did not allow.",
			"Any rise: failures are widespread; repair endpoints before anything else."},
	},
}

var schedulingGroup = Group{
	Name: "scheduling",
	Help: "Decisions about engines for model-backed requests, for the models whose reservations this VM owns now. The values of a model go when its ownership moves to another VM, so that they can fall; see `reservation.ownership_lost`.",
	Values: []Definition{
		{"models", Gauge, Models, "Models whose reservations this VM owns.", "Each model is owned by one VM of each zone; look for the owner before you compare."},
		{"waiting", Gauge, Requests, "Requests that wait for engines.",
			"Near the queue limits of the classes: callers are about to be refused; add decode engines."},
		{"granted", Counter, Requests, "Requests that were granted engines.", noAction},
		{"overlapped", Counter, Requests, "Grants whose prefill started before a decode slot was free.",
			"Nothing by itself; a rise of wasted prefill with it means that slots become free later than predicted."},
		{"refused_target", Counter, Requests, "Requests refused because a latency target could not be met.",
			"A steady rise: add engines, or relax the targets of the class."},
		{"refused_full", Counter, Requests, "Requests refused because the queue limit of their class was reached.",
			"A steady rise: add decode engines, or raise the queue limit if callers can wait."},
		{"refused_engine", Counter, Requests, "Requests refused because no engine was available.",
			"Any rise: engines of the model are gone or leaving; see `endpoint`."},
		{"refused_large", Counter, Requests, "Requests refused because no engine has the memory.",
			"Any rise: lower the class's token limits, or configure engines with more memory."},
		{"dropped", Counter, Requests, "Waiting requests that were no longer asked for.", "A rise: callers or entry VMs go while they wait."},
		{"withdrawn", Counter, Requests, "Waiting or granted requests that were withdrawn.", "A rise: callers give up while they wait."},
		{"expired", Counter, Slots, "Decode slots released because their holder stopped renewing them.",
			"Any rise: an entry VM died or was paused; see member events in the time line."},
		{"holder_gone", Counter, Slots, "Decode slots released because their entry VM was gone.", "Look for the VM's death in the time line."},
		{"adopted", Counter, Slots, "Decode slots taken over from a former coordinator.", "Nothing; expected after a change of coordinator."},
		{"released", Counter, Slots, "Decode slots that their holders released.", noAction},
		{"cache_gaps", Counter, Events, "Gaps in the engines' prefix cache events.",
			"A steady rise costs prefix hits; check the engines' event buffers."},
		{"cache_misses", Counter, Requests, "Prefills that found less of their prefix cached than predicted.",
			"A steady rise: prefix caches are too small for the prompts."},
		{"rested", Counter, Endpoints, "Engines that got no grants for a time after they failed a holder.",
			"Look for the engines at which calls fail."},
	},
}

var cancellerGroup = Group{
	Name: "canceller",
	Help: "Cancels of attempts on engines.",
	Values: []Definition{
		{"sent", Counter, Calls, "Cancel calls.", noAction},
		{"confirmed", Counter, Attempts, "Cancels that the engine acknowledged.", noAction},
		{"abandoned", Counter, Attempts, "Cancels that were never acknowledged.",
			"Any rise: an engine may hold memory for nobody; restart it if it is still there."},
		{"pending", Gauge, Attempts, "Cancels not yet acknowledged.", "Above 0 for minutes: an engine does not answer cancels."},
	},
}

var endpointGroup = Group{
	Name: "endpoint",
	Help: "What is known of endpoints.",
	Values: []Definition{
		{"ejected", Counter, Endpoints, "Ejections of endpoints that failed more than others.",
			"A rise for the same endpoint: take it out and look at its log."},
		{"restored", Counter, Endpoints, "Ends of such ejections.", noAction},
		{"leaving", Counter, Endpoints, "Endpoints that began to leave.", "Nothing if a change of VMs is under way."},
	},
}
