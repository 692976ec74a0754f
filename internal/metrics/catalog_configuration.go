package metrics

var configurationGroup = Group{
	Name: "configuration",
	Help: "The configuration that this VM serves by.",
	Values: []Definition{
		{"accepted", Counter, Records, "Published versions that came into force.", "Compare with what operators published."},
		{"known", Counter, Records, "Versions received that were in force already.", noAction},
		{"refused", Counter, Records, "Published versions that lost against another publish on the same base.",
			"A rise: operators publish at the same time; see [Configuration](configuration.md)."},
		{"ahead", Counter, Records, "Published versions whose base this VM lacks.",
			"A steady rise while the log and peers are reachable: see `configuration_reappend.failed`."},
		{"unknown_format", Counter, Records, "Records in a format that this version cannot read.",
			"Any rise: the publisher's program is newer than this VM's; upgrade this VM."},
		{"malformed", Counter, Records, "Records that are not well-formed.",
			"Any rise: find the publisher of the record at the offset that the event `configuration.unreadable` names."},
		{"from_peers", Counter, Records, "Versions that a peer brought before the log did.",
			"A rise with `log_health.read_away`: this VM is cut off from the log and follows its peers."},
		{"gaps", Counter, Incidents, "Times that records were removed before they were read.",
			"One at the start is usual; any other rise: raise the log's retention."},
		{"generation", Gauge, Generation, "Changes of the configuration in force since the start of the process.",
			"0 for more than a few seconds after the start: this VM has no configuration and is not ready."},
	},
}

var reappendGroup = Group{
	Name: "configuration_reappend",
	Help: "Re-appends of versions in force before the log removes them.",
	Values: []Definition{
		{"reappended", Counter, Records, "Versions re-appended.", noAction},
		{"failed", Counter, Records, "Re-appends that failed.",
			"A rise on all VMs: the log is away, or its append limit is reached; versions must be re-appended within the retention."},
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
