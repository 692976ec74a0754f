package metrics

var leaseGroup = Group{
	Name: "lease",
	Help: "Leases of this VM, each of which grants the right to send orders to engines.",
	Values: []Definition{
		{"acquired", Counter, Incidents, "Leases that this VM acquired.", "No action while VMs are being added or removed."},
		{"lost", Counter, Incidents, "Leases that this VM lost or released.",
			"A steady rise: this VM is paused, or its connection to the log fails; see `log_health`."},
		{"appends", Counter, Calls, "Appends sent to the log.", "Compare the sum over all VMs with the log's append limit."},
		{"failed", Counter, Calls, "Appends that failed.", "A steady rise: see `log_health`."},
		{"in_doubt", Counter, Calls, "Appends whose response was lost and whose records were not found in time.",
			"A steady rise: the log or the connection to it is unreliable."},
		{"refused", Counter, Records, "Records of this VM that were appended too late to take effect.",
			"A few at each change of the lease holder are normal; a steady rise: the log is slow."},
		{"unreadable", Counter, Records, "Records that this version cannot read.",
			"Any rise: VMs run different versions, or another writer uses the stream."},
		{"gaps", Counter, Incidents, "Gaps in the records read, because the log removed records before they were read.",
			"One after the start of the process is normal; any other rise: increase the log's retention."},
	},
}

var orderGroup = Group{
	Name: "order",
	Help: "Orders that bring engines into the state that the configuration specifies.",
	Values: []Definition{
		{"sent", Counter, Calls, "Orders sent.", noAction},
		{"confirmed", Counter, Endpoints, "Engines that reached their desired state after they were taken out of service.", noAction},
		{"stale", Counter, Calls, "Orders that an engine rejected because of their fencing number.",
			"One after a change of the lease holder or of an engine's model is normal; a steady rise: report it with the timeline."},
		{"failed", Counter, Calls, "Orders that failed with another error, or whose response was lost.",
			"A steady rise: find the engine in the timeline and check the log of the engine."},
		{"no_lease", Counter, Calls, "Orders not sent because the lease had ended.", "See `lease.lost`."},
		{"diverged", Counter, Incidents, "Engines that left their desired state without an order from this VM.",
			"Any rise: the engine was restarted in another state, or another process sends it orders."},
		{"held_back", Counter, Incidents, "Passes in which the disruption policy kept an engine in service that has to change.",
			"A steady rise: an engine is down or does not accept orders, so no other engine may be taken out of service; repair it or remove it from the configuration."},
		{"weight_waits", Counter, Incidents, "Passes in which an order was delayed by the budget of the weight store.",
			"Expected while a large model is rolled out."},
		{"drain_timeouts", Counter, Incidents, "Orders sent although the engine was not idle within the drain limit.",
			"Any rise: requests take longer than `drain_limit`, or the engine does not report its load."},
		{"unreadable", Counter, Calls, "Failed reads of an engine's state.", "A steady rise: an engine is down."},
		{"out_of_service", Gauge, Endpoints, "Engines that get no new work because of this VM's orders.",
			"Above 0 for longer than loading a model takes: check the timeline for an order that was not confirmed."},
	},
}
