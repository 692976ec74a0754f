package metrics

var membershipGroup = Group{
	Name: "membership",
	Help: "This VM's view of the other entry VMs.",
	Values: []Definition{
		{"members_alive", Gauge, VMs, "Members in the state alive, including this VM.",
			"Below the number of running VMs for more than a minute: look for network partitions, or for VMs that are missing from the configuration."},
		{"members_suspect", Gauge, VMs, "Members in the state suspect.",
			"Above 0 for more than a minute: a VM or a whole availability zone responds only intermittently; the timeline names it."},
		{"probes", Counter, Calls, "Probes of members.", noAction},
		{"indirect_probes", Counter, Calls, "Requests to other VMs to ping a member that did not respond.",
			"A steady rise: packets are lost between entry VMs."},
		{"probes_failed", Counter, Calls, "Probes without any response, direct or indirect.", "A steady rise: see `members_suspect`."},
		{"suspicions", Counter, Incidents, "Suspicions that this VM raised.",
			"Several an hour while no VMs are added or removed: VMs are paused or overloaded."},
		{"refutations", Counter, Incidents, "Suspicions of this VM by others that it refuted.",
			"A rise on one VM only: this VM is paused or overloaded."},
		{"declared_gone", Counter, Incidents, "Times that other VMs declared this VM gone while it was running.",
			"Any rise: requests in flight were interrupted and resumed; find out what paused this VM or partitioned it from the others."},
		{"joins", Counter, Calls, "Calls to addresses at which no member is known.",
			"A steady rise: seeds or the configuration name VMs that are not running."},
		{"pauses", Counter, Incidents, "Pauses of this process of a second or more.",
			"Any rise: the VM lacks CPU time or memory."},
		{"received", Counter, Calls, "Requests received from other VMs.", noAction},
		{"calls_failed", Counter, Calls, "Calls to other VMs without a usable response.", "A steady rise: see `members_suspect` and `joins`."},
		{"forged", Counter, Incidents, "Messages dropped because the sender's certificate does not authorize it for the VM that they name.",
			"Any rise: a certificate names the wrong VM, or messages are being forged."},
		{"replayed", Counter, Incidents, "Messages dropped because they had already been received.", "Any rise: messages may be replayed by an attacker."},
		{"stale", Counter, Incidents, "Messages dropped because they are from a previous incarnation.",
			"A steady rise: two processes run under the name of one VM."},
		{"stale_updates", Counter, Incidents, "Updates dropped because they are about a previous incarnation.", "Expected for a while after a restart."},
		{"oversized", Counter, Incidents, "Messages dropped because they exceed a size limit.", "Any rise: VMs run different versions, or messages are being forged."},
		{"malformed", Counter, Incidents, "Messages dropped because they are not well-formed.", "Any rise: VMs run different versions, or messages are being forged."},
		{"unlisted", Counter, Incidents, "Messages and updates dropped because the configuration does not list the VM in its zone.",
			"A steady rise: add the VM to the configuration, or stop it."},
		{"duplicates", Counter, Incidents, "Messages or updates that show a newer process under this VM's name.", "Any rise: stop one of the two processes."},
	},
}

var orphanGroup = Group{
	Name: "orphan",
	Help: "Cancellation of work on engines that was started by entry VMs that are gone.",
	Values: []Definition{
		{"deaths", Counter, Incidents, "Processes of entry VMs that are gone.", "Compare with the VMs that were stopped."},
		{"refuted", Counter, Calls, "Cancels dropped because the VM turned out to be alive.", "No action; the VM's requests resume automatically."},
		{"sent", Counter, Calls, "Cancel calls.", noAction},
		{"failed", Counter, Calls, "Cancel calls that the engine did not acknowledge.", "A steady rise: an engine cannot be reached."},
		{"confirmed", Counter, Calls, "Cancels that an engine acknowledged.", noAction},
		{"abandoned", Counter, Calls, "Cancels abandoned after the retry limit.",
			"Any rise: an engine may still hold memory for these requests; restart it if it is still running."},
		{"engine_gone", Counter, Calls, "Cancels dropped because their engine was removed from the configuration.", noAction},
		{"pending", Gauge, Calls, "Cancels that are not acknowledged yet.", "Above 0 for minutes: an engine cannot be reached."},
	},
}

var peerServerGroup = Group{
	Name: "peer_server",
	Help: "The listener for other entry VMs.",
	Values: []Definition{
		{"connections", Counter, Connections, "Connections accepted.", "A steady rise: connections between VMs are interrupted repeatedly."},
		{"connections_refused", Counter, Connections, "Connections closed because the connection limit was reached.", "Any rise: find out which clients connect."},
		{"connection_errors", Counter, Connections, "Failed handshakes and interrupted connections.",
			"A steady rise: a peer has no valid certificate, or the network between VMs is unreliable."},
		{"unauthorized", Counter, Requests, "Requests rejected because the peer's certificate is no longer accepted.",
			"Expected for a short time after the certificate authority changed."},
		{"bytes_received", Counter, Bytes, "Bytes received on accepted connections.", noAction},
		{"bytes_sent", Counter, Bytes, "Bytes sent on accepted connections.", noAction},
	},
}

var peerDialerGroup = Group{
	Name: "peer_dialer",
	Help: "Connections to other entry VMs.",
	Values: []Definition{
		{"dialed", Counter, Connections, "Connections established.", "A steady rise: connections between VMs are interrupted repeatedly."},
		{"dial_failed", Counter, Connections, "Connections that could not be established.", "A steady rise: see `membership`."},
		{"forbidden", Counter, Connections, "Dials rejected because connections without certificates are allowed only on loopback.",
			"Any rise: configure certificate files in `peers.tls`."},
		{"bytes_received", Counter, Bytes, "Bytes received on dialed connections.", noAction},
		{"bytes_sent", Counter, Bytes, "Bytes sent on dialed connections.", noAction},
	},
}

var peerCertificatesGroup = Group{
	Name: "peer_certificates",
	Help: "The certificate files for connections between entry VMs.",
	Values: []Definition{
		{"reloaded", Counter, Incidents, "Changes of the files that were loaded.", noAction},
		{"reload_failed", Counter, Incidents, "Changes of the files that could not be loaded.",
			"Any rise that is not followed by a rise of `reloaded`: the previous certificate stays in use until it expires; the log contains the error."},
	},
}
