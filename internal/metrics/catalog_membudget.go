package metrics

var membudgetGroup = Group{
	Name: "membudget",
	Help: "Memory that is held for callers and endpoints, if the settings bound it.",
	Values: []Definition{
		{"capacity", Gauge, Bytes, "Size of the budget; 0 if there is none.", noAction},
		{"reserved", Gauge, Bytes, "What is reserved of it: guaranteed parts and what is beyond them.", "Near `capacity` for long: readers are slow, see `disconnected`, or the VMs are too few or too small."},
		{"refused_requests", Counter, Requests, "Requests that were refused because no guaranteed part was left.", "Any rise: too many requests are held at a time; see log lines `caller disconnected`."},
		{"refused_bodies", Counter, Requests, "Requests that were refused because their bodies did not fit.", "A rise: as for `refused_requests`; or bodies are large, compare `limits.memoryMb`."},
		{"passed_on", Counter, Answers, "Answers that were passed on while they were read, because they did not fit.", "A rise: as for `refused_bodies`. Such answers are not repeated if they break off."},
		{"waits", Counter, Events, "Reservations that waited for memory.", "A rise: events or answers of engines are large while memory is short."},
		{"lent", Counter, Events, "Waiting reservations that got the bytes lent to one holder at a time.", noAction},
		{"disconnected", Counter, Connections, "Callers that were disconnected because they did not read.", "A rise: log lines `caller disconnected` name the requests; inform the teams."},
		{"endpoints_full", Counter, Calls, "Calls that were not sent because their endpoint has as many bytes of requests as it may.", "A rise: log lines `attempt failed` and `grant not used` name the endpoint, which reads slowly or gets large bodies."},
	},
}
