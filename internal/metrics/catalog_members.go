package metrics

var membershipGroup = Group{
	Name: "membership",
	Help: "This VM's view of the other entry VMs.",
	Values: []Definition{
		{"members_alive", Gauge, VMs, "Members seen alive, this VM included.",
			"Below the number of running VMs for more than a minute: look for partitions, or for VMs that the configuration does not name."},
		{"members_suspect", Gauge, VMs, "Members that are suspected.",
			"Above 0 for more than a minute: a VM or a whole availability zone is hard to reach; the time line names it."},
		{"probes", Counter, Calls, "Probes of members.", noAction},
		{"indirect_probes", Counter, Calls, "Pings asked of other VMs for a member that did not answer.",
			"A steady rise: links between entry VMs lose packets."},
		{"probes_failed", Counter, Calls, "Probes without any answer.", "A steady rise: see `members_suspect`."},
		{"suspicions", Counter, Incidents, "Suspicions that this VM raised.",
			"Several an hour without changes of VMs: VMs are paused or overloaded."},
		{"refutations", Counter, Incidents, "Suspicions of this VM that it refuted.",
			"A rise on one VM only: this VM is paused or overloaded."},
		{"declared_gone", Counter, Incidents, "Times that this running VM was taken for gone.",
			"Any rise: requests in flight were cut off and resumed; find out what paused or cut off this VM."},
		{"joins", Counter, Calls, "Calls to addresses without a member.",
			"A steady rise: seeds or the configuration name VMs that do not run."},
		{"pauses", Counter, Incidents, "Pauses of this process of a second or more.",
			"Any rise: the VM lacks processor time or memory."},
		{"received", Counter, Calls, "Requests of other VMs.", noAction},
		{"calls_failed", Counter, Calls, "Calls to other VMs without a usable answer.", "A steady rise: see `members_suspect` and `joins`."},
		{"forged", Counter, Incidents, "Messages dropped because their sender may not speak for the VM they name.",
			"Any rise: a certificate names the wrong VM, or someone interferes."},
		{"replayed", Counter, Incidents, "Messages dropped because they were received before.", "Any rise: someone may be interfering."},
		{"stale", Counter, Incidents, "Messages dropped because they are from a former incarnation.",
			"A steady rise: two processes run under one VM's name."},
		{"stale_updates", Counter, Incidents, "News about former incarnations that was dropped.", "Expected for a while after a restart."},
		{"oversized", Counter, Incidents, "Messages dropped because they exceed a bound.", "Any rise: VMs of different versions, or interference."},
		{"malformed", Counter, Incidents, "Messages dropped because they are not well-formed.", "Any rise: VMs of different versions, or interference."},
		{"unlisted", Counter, Incidents, "Messages and news dropped because the configuration does not name the VM in its zone.",
			"A steady rise: add the VM to the configuration, or stop it."},
		{"duplicates", Counter, Incidents, "Signs of a younger process under this VM's name.", "Any rise: stop one of the two."},
	},
}

var orphanGroup = Group{
	Name: "orphan",
	Help: "Cancels of the engine work of entry VMs that are gone.",
	Values: []Definition{
		{"deaths", Counter, Incidents, "Processes of entry VMs that are gone.", "Compare with the VMs that were stopped."},
		{"refuted", Counter, Calls, "Cancels dropped because the VM proved to be alive.", "Nothing; the VM's requests resume by themselves."},
		{"sent", Counter, Calls, "Cancel calls.", noAction},
		{"failed", Counter, Calls, "Cancel calls without an acknowledgement.", "A steady rise: an engine cannot be reached."},
		{"confirmed", Counter, Calls, "Cancels that an engine acknowledged.", noAction},
		{"abandoned", Counter, Calls, "Cancels that were given up.",
			"Any rise: an engine may hold memory for nobody; restart it if it is still there."},
		{"engine_gone", Counter, Calls, "Cancels whose engine left the configuration.", noAction},
		{"pending", Gauge, Calls, "Cancels not yet acknowledged.", "Above 0 for minutes: an engine cannot be reached."},
	},
}

var peerServerGroup = Group{
	Name: "peer_server",
	Help: "The listener for other entry VMs.",
	Values: []Definition{
		{"connections", Counter, Connections, "Connections accepted.", "A steady rise: connections between VMs break."},
		{"connections_refused", Counter, Connections, "Connections closed because there were too many.", "Any rise: find out who connects."},
		{"connection_errors", Counter, Connections, "Failed handshakes and broken connections.",
			"A steady rise: a peer has no valid certificate, or links break."},
		{"unauthorized", Counter, Requests, "Requests refused because the certificate is not accepted any more.",
			"Expected for a moment after a change of the authority."},
		{"bytes_received", Counter, Bytes, "Bytes received from peers that connected.", noAction},
		{"bytes_sent", Counter, Bytes, "Bytes sent to peers that connected.", noAction},
	},
}

var peerDialerGroup = Group{
	Name: "peer_dialer",
	Help: "Connections to other entry VMs.",
	Values: []Definition{
		{"dialed", Counter, Connections, "Connections made.", "A steady rise: connections between VMs break."},
		{"dial_failed", Counter, Connections, "Connections that could not be made.", "A steady rise: see `membership`."},
		{"forbidden", Counter, Connections, "Addresses not dialed because peers without certificates are allowed on loopback only.",
			"Any rise: name certificate files in `peers.tls`."},
		{"bytes_received", Counter, Bytes, "Bytes received from peers that were dialed.", noAction},
		{"bytes_sent", Counter, Bytes, "Bytes sent to peers that were dialed.", noAction},
	},
}

var peerCertificatesGroup = Group{
	Name: "peer_certificates",
	Help: "The certificate files for peers.",
	Values: []Definition{
		{"reloaded", Counter, Incidents, "Changes of the files that came into force.", noAction},
		{"reload_failed", Counter, Incidents, "Changes of the files that could not be used.",
			"Any rise that is not followed by one of `reloaded`: the former certificate is in force until it expires; the log says why."},
	},
}
