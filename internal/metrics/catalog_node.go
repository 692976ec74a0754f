package metrics

// latencyGroup documents a histogram of durations, in milliseconds.
func latencyGroup(name, help string) Group {
	return Group{Name: name, Help: help, Values: latencyValues}
}

var latencyValues = []Definition{
	{"count", Counter, Requests, "Durations observed.", noAction},
	{"le_*", Counter, Requests, "Durations of at most so many milliseconds.", noAction},
	{"p50_ms", Gauge, Milliseconds, "Median since the start of the process.", noAction},
	{"p90_ms", Gauge, Milliseconds, "Exceeded by one in ten.", "Compare it with the objective."},
	{"p99_ms", Gauge, Milliseconds, "Exceeded by one in a hundred.", "Compare it with the objective and the route's timeout."},
}

var relayGroup = Group{
	Name: "relay",
	Help: "Requests that are passed on unchanged.",
	Values: []Definition{
		{"received", Counter, Requests, "Requests with a route.", noAction},
		{"answered", Counter, Requests, "Requests that an endpoint answered as a whole.", "Compare with `received`."},
		{"refused", Counter, Requests, "Requests that did not run and were told so.",
			"A rise: too few endpoints for the load, or endpoints that decline; lines `request refused` name the reason."},
		{"failed", Counter, Requests, "Requests that may have run and have no answer.",
			"A rise: endpoints lose answers or fall silent; lines `attempt failed` name them."},
		{"callers_gone", Counter, Requests, "Requests whose caller left first.", "A rise: answers come later than callers wait."},
		{"sent", Counter, Calls, "Calls to endpoints.", noAction},
		{"repeated", Counter, Calls, "Calls after a request's first.", "A steady rise: endpoints fail; look for ejections."},
		{"repeats_denied", Counter, Calls, "Repeats that the budget did not allow.",
			"Any rise: endpoints fail more often than the budget covers."},
		{"foreign", Counter, Answers, "Responses that belonged to another request; none reached a caller.",
			"Any rise: take out the endpoint that lines `attempt failed` name."},
		{"prefills", Counter, Calls, "Prompts read apart from their generation.", noAction},
		{"prefills_lost", Counter, Calls, "Prompts read for nothing, since the KV cache was not taken over.",
			"A steady rise: engines drop KV caches early or are overfull."},
		{"resumed", Counter, Requests, "Streams that went on at another engine.", "A rise: engines break off; lines `stream cut` name them."},
		{"broken", Counter, Requests, "Streams that ended midway.", "A rise: as for `resumed`, on routes that may not resume."},
	},
}

var relayPlainAnswersGroup = latencyGroup("relay_plain_answers", "Time from the arrival of a request to a plain endpoint's answer.")

var relayFirstEventsGroup = latencyGroup("relay_first_events", "Time from the arrival of a request to its stream's first event.")

var relayQueuesGroup = latencyGroup("relay_queues", "Time that generations waited for engines.")

var upstreamGroup = Group{
	Name: "upstream",
	Help: "Connections to endpoints.",
	Values: []Definition{
		{"dialed", Counter, Connections, "New connections.", noAction},
		{"dial_failed", Counter, Connections, "Connections that could not be made.", "A steady rise: endpoints are down or cut off."},
		{"reused", Counter, Calls, "Calls on kept connections.", "Few beside `dialed`: endpoints close connections early."},
		{"stale", Counter, Connections, "Kept connections that were found closed or with stray bytes.",
			"A steady rise: endpoints close connections early or send more than was asked for."},
	},
}

var storeGroup = Group{
	Name: "store",
	Help: "Calls to the platform's store.",
	Values: []Definition{
		{"reads", Counter, Calls, "Reads of records.", "Compare the sum over all VMs with the store's limit."},
		{"listings", Counter, Calls, "Pages of the newest records.", "A steady rise: the store comes and goes, or forgets its history."},
		{"appends", Counter, Calls, "Appends.", noAction},
		{"rejected", Counter, Calls, "Calls that the store turned away.", "A steady rise: a limit is reached, or the store is partly down."},
		{"unanswered", Counter, Calls, "Calls without a usable answer.", "A steady rise: the store is away for this VM; see lines `store is away`."},
	},
}

var storeAnswersGroup = latencyGroup("store_answers", "Time of calls to the store that do not wait for records.")

var rolesGroup = Group{
	Name: "roles",
	Help: "Orders to engines to change their role.",
	Values: []Definition{
		{"given", Counter, Calls, "Orders that an engine accepted or did not need any more.", "Several a minute: engines come and go."},
		{"failed", Counter, Calls, "Orders that an engine did not accept or answer.", "Any rise: lines `role ordered` name the engine."},
		{"not_entered", Counter, Calls, "Orders that the journal did not take, since another VM was faster or the store is away.", noAction},
	},
}

var logGroup = Group{
	Name: "log",
	Help: "The process's log.",
	Values: []Definition{
		{"written", Counter, Records, "Lines written.", noAction},
		{"dropped", Counter, Records, "Lines left out, since the output was slow or the limit was reached.",
			"Any rise: lines are missing where you look for a request."},
	},
}
