package metrics

var configurationGroup = Group{
	Name: "configuration",
	Help: "The configuration in force on this VM.",
	Values: []Definition{
		{"accepted", Counter, Records, "Published versions that came into force.", "Compare with the number of versions that operators published."},
		{"known", Counter, Records, "Versions received that were already in force.", noAction},
		{"refused", Counter, Records, "Published versions rejected because another publish on the same base came first.",
			"A rise: operators publish concurrently; see [Configuration](configuration.md)."},
		{"ahead", Counter, Records, "Published versions whose base version this VM does not have.",
			"A steady rise while the log and peers are reachable: see `configuration_reappend.failed`."},
		{"unknown_format", Counter, Records, "Records in a format that this version cannot read.",
			"Any rise: the publisher runs a newer release than this VM; upgrade this VM."},
		{"malformed", Counter, Records, "Records that are not well-formed.",
			"Any rise: find the publisher of the record at the offset that the event `configuration.unreadable` names."},
		{"from_peers", Counter, Records, "Versions received from a peer before they were read from the log.",
			"A rise with `log_health.read_away`: this VM cannot read the log and receives the configuration from its peers."},
		{"gaps", Counter, Incidents, "Gaps in the records read, because the log removed records before they were read.",
			"One after the start of the process is normal; any other rise: increase the log's retention."},
		{"generation", Gauge, Generation, "Changes of the configuration in force since the start of the process.",
			"0 for more than a few seconds after the start of the process: this VM has no configuration and is not ready."},
	},
}

var reappendGroup = Group{
	Name: "configuration_reappend",
	Help: "Repeated appends of the versions in force, before the log's retention removes them.",
	Values: []Definition{
		{"reappended", Counter, Records, "Versions appended again.", noAction},
		{"failed", Counter, Records, "Such appends that failed.",
			"A rise on all VMs: the log is unavailable, or its append limit is reached; versions must be appended again within the log's retention."},
	},
}

var syncGroup = Group{
	Name: "configuration_sync",
	Help: "Exchange of versions with other entry VMs.",
	Values: []Definition{
		{"pulls", Counter, Calls, "Exchanges with peers.", noAction},
		{"failed_pulls", Counter, Calls, "Exchanges that failed.", "A steady rise: see `membership` and `peer_dialer`."},
		{"records", Counter, Records, "Versions received.", noAction},
	},
}
