package metrics

var reservationGroup = Group{
	Name: "reservation",
	Help: "Which VM of a zone assigns a model's engines, and calls to it.",
	Values: []Definition{
		{"ownership_gained", Counter, Models, "Models whose reservations this VM took over.", "Nothing if VMs come or go."},
		{"ownership_lost", Counter, Models, "Models whose reservations another VM took over.",
			"A steady rise without changes of VMs: see `membership`; the views of the zone's VMs differ."},
		{"heartbeats_failed", Counter, Calls, "Heartbeats to an owner that it did not answer.",
			"A steady rise: entry VMs of the zone do not reach each other, or the owner is paused."},
		{"stale_heartbeats", Counter, Calls, "Heartbeats that arrived out of order and were dropped.", "A steady rise: links within the zone delay calls."},
		{"fallbacks", Counter, Requests, "Requests whose engines this VM chose by itself because the owner did not answer.",
			"Any rise: the owner does not answer; this VM then uses only its own part of each decode engine. See `membership`."},
		{"spills", Counter, Requests, "Requests that another zone's engines took.",
			"A steady rise: this zone lacks engines, and cache transfers use the links between zones."},
		{"spills_refused", Counter, Requests, "Requests that another zone refused to take.", "A steady rise: all zones are full; add engines."},
	},
}
