package metrics

var reservationGroup = Group{
	Name: "reservation",
	Help: "Ownership of models, that is which VM of a zone grants the engines of a model, and calls to the owners.",
	Values: []Definition{
		{"ownership_gained", Counter, Models, "Models whose reservations this VM took over.", "No action while VMs are being added or removed."},
		{"ownership_lost", Counter, Models, "Models whose reservations another VM took over.",
			"A steady rise while no VMs are added or removed: the VMs of the zone disagree about the membership; see `membership`."},
		{"heartbeats_failed", Counter, Calls, "Heartbeats to an owner that got no response.",
			"A steady rise: entry VMs of the zone cannot reach each other, or the owner is paused."},
		{"stale_heartbeats", Counter, Calls, "Heartbeats that arrived out of order and were dropped.", "A steady rise: the network within the zone delays calls."},
		{"fallbacks", Counter, Requests, "Requests whose engines this VM chose itself because the owner did not respond.",
			"Any rise: the owner does not respond, and this VM uses only its static share of each decode engine; see `membership`."},
		{"spills", Counter, Requests, "Requests that were granted engines of another zone.",
			"A steady rise: this zone lacks engines, and KV cache transfers use the links between zones."},
		{"spills_refused", Counter, Requests, "Requests for which another zone granted no engines.", "A steady rise: all zones are at capacity; add engines."},
		{"admitted", Counter, Calls, "Calls of all VMs to limited plain endpoints that this VM admitted.", noAction},
		{"not_admitted", Counter, Calls, "Such calls that it did not admit.", "A rise: endpoints are in need; add endpoints."},
		{"admission_fallbacks", Counter, Calls, "Calls of this VM to limited endpoints that it decided from its static share.",
			"A steady rise: the VM that admits calls does not answer; check the membership."},
	},
}
