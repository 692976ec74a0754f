package metrics

var leaseGroup = Group{
	Name: "lease",
	Help: "Leases of this VM on the right to send orders to engines.",
	Values: []Definition{
		{"acquired", Counter, Incidents, "Leases that this VM got.", "Nothing if VMs come or go."},
		{"lost", Counter, Incidents, "Leases that this VM lost or gave up.",
			"A steady rise: this VM is paused, or its link to the log fails; see `log_health`."},
		{"appends", Counter, Calls, "Records sent to the log.", "Compare the sum over all VMs with the log's append limit."},
		{"failed", Counter, Calls, "Records that the log did not take.", "A steady rise: see `log_health`."},
		{"in_doubt", Counter, Calls, "Records whose answer was lost and not found in time.",
			"A steady rise: the log or the link to it is unhealthy."},
		{"refused", Counter, Records, "Records of this VM that came too late to count.",
			"A few at each change of holder are usual; a steady rise: the log is slow."},
		{"unreadable", Counter, Records, "Records that this version cannot read.",
			"Any rise: VMs of different versions run together, or another writer uses the stream."},
		{"gaps", Counter, Incidents, "Times that records were removed before they were read.",
			"One at the start is usual; any other rise: raise the log's retention."},
	},
}

var orderGroup = Group{
	Name: "order",
	Help: "Orders that bring engines into the state that the configuration asks for.",
	Values: []Definition{
		{"sent", Counter, Calls, "Orders sent.", noAction},
		{"confirmed", Counter, Endpoints, "Engines that reached their state after being taken out of service.", noAction},
		{"stale", Counter, Calls, "Orders that an engine refused for their fencing number.",
			"One after a change of holder or of an engine's model is usual; a steady rise: report it with the time line."},
		{"failed", Counter, Calls, "Orders whose answer was lost or an error.",
			"A steady rise: find the engine in the time line and see its own log."},
		{"no_lease", Counter, Calls, "Orders not sent because the lease had ended.", "See `lease.lost`."},
		{"diverged", Counter, Incidents, "Engines that left their state without an order of this VM.",
			"Any rise: the engine was restarted with another state, or someone else gives it orders."},
		{"held_back", Counter, Incidents, "Passes in which an engine waited for others.",
			"A steady rise: an engine is down or cannot be ordered, so that no other may be taken out; repair it or remove it from the configuration."},
		{"weight_waits", Counter, Incidents, "Passes in which an order waited for the weight store's budget.",
			"Expected while a large model is rolled out."},
		{"drain_timeouts", Counter, Incidents, "Orders sent although the engine was not idle within the drain limit.",
			"Any rise: requests last longer than `drain_limit`, or the engine does not report its load."},
		{"unreadable", Counter, Calls, "Reads of an engine's state that failed.", "A steady rise: an engine is down."},
		{"out_of_service", Gauge, Endpoints, "Engines that get no new work because of this VM's orders.",
			"Above 0 for longer than a load takes: see the time line for an order without a confirmation."},
	},
}
