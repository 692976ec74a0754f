package metrics

// latencyGroup returns the documentation of a histogram of durations in milliseconds.
func latencyGroup(name, help string) Group {
	return Group{Name: name, Help: help, Values: latencyValues}
}

var latencyValues = []Definition{
	{"count", Counter, Requests, "Durations observed.", noAction},
	{"le_*", Counter, Requests, "Durations of at most the number of milliseconds in the name.", noAction},
	{"p50_ms", Gauge, Milliseconds, "Median since the start of the process.", noAction},
	{"p90_ms", Gauge, Milliseconds, "90th percentile since the start of the process.", "Compare with the latency objective."},
	{"p99_ms", Gauge, Milliseconds, "99th percentile since the start of the process.", "Compare with the latency objective and the route's timeout."},
}

var relayGroup = Group{
	Name: "relay",
	Help: "Requests that are forwarded unchanged.",
	Values: []Definition{
		{"received", Counter, Requests, "Requests that matched a route.", noAction},
		{"answered", Counter, Requests, "Requests with a complete response from an endpoint.", "Compare with `received`."},
		{"refused", Counter, Requests, "Requests that did not run and were refused with an answer that says so.",
			"A rise: there are too few endpoints for the load, or endpoints reject requests; log lines `request refused` give the reason."},
		{"failed", Counter, Requests, "Requests that may have run but got no response.",
			"A rise: endpoints drop responses or stop responding; log lines `attempt failed` name them."},
		{"callers_gone", Counter, Requests, "Requests whose caller disconnected before the answer was complete.", "A rise: answers take longer than callers wait."},
		{"sent", Counter, Calls, "Calls to endpoints.", noAction},
		{"repeated", Counter, Calls, "Calls after the first one of a request.", "A steady rise: endpoints fail; see `endpoint.ejected`."},
		{"repeats_denied", Counter, Calls, "Retries that the retry budget did not allow.",
			"Any rise: endpoints fail more often than the retry budget allows for."},
		{"foreign", Counter, Answers, "Responses dropped because they belonged to another request.",
			"Any rise: take the endpoint that log lines `attempt failed` name out of service."},
		{"promises", Counter, Answers, "Answers to requests that may run only once whose status promises that they have not run, which the endpoint does not state.",
			"Any rise: log lines `answer not trusted` name the endpoint; the requests may have run."},
		{"unsigned", Counter, Answers, "Successes without the endpoint's signature or with an encoded body.",
			"Any rise: log lines `answer not trusted` name the endpoint; find out what answers in its place."},
		{"refusals_prevented", Counter, Requests, "Requests that were to be refused although they may have run, and failed instead.",
			"Any rise is a defect of this program: log lines `refusal prevented` name the requests; report it."},
		{"prefills", Counter, Calls, "Prefills completed on a prefill engine.", noAction},
		{"prefills_lost", Counter, Calls, "Prefills wasted because their KV cache was not used for decode.",
			"A steady rise: engines evict KV caches early or lack memory."},
		{"silences", Counter, Requests, "Times that an engine sent no event of a stream for the silence limit.",
			"A rise: engines pause or hang; log lines `stream cut` with `silent` name them."},
		{"resumed", Counter, Requests, "Streams that were resumed on another engine.", "A rise: engines interrupt streams; log lines `stream cut` name them."},
		{"rejected_answers", Counter, Answers, "Answers of engines that were dropped because they are no streams: by their status, their type or a missing signature.",
			"Any rise: an engine or something before it answers in its place; log lines `answer rejected` name it."},
		{"out_of_sequence", Counter, Requests, "Streams that were left because their engine sent another event than the next one.",
			"Any rise: an engine does not continue streams where it should; log lines `stream cut` name it and the IDs."},
		{"malformed_streams", Counter, Requests, "Streams that were left because their engine sent something else than an event.",
			"Any rise: an engine writes errors into its streams, or answers twice; log lines `stream cut` name it and the bytes."},
		{"untraced", Counter, Requests, "Streams that callers took up and whose build or service is not known.",
			"A rise without many VMs lost at once: see the `origin` counters; log lines `stream not traced` name the streams."},
		{"moved", Counter, Requests, "Streams that callers took up and whose service their route does not lead to any more.",
			"Expected after a route has moved to another service while streams ran."},
		{"traced_by_archive", Counter, Requests, "Streams that callers took up at the build that the store's record names, because no VM had one.",
			"Expected after many VMs were lost at once while a service had several builds."},
		{"unconfirmed", Counter, Requests, "Streams that were ended before their first event because a VM or the store may have a former build of theirs, and engines that did not go on with a stream because they may have been restarted.",
			"Expected while VMs, the store or engines fail. Log lines `build of the stream not confirmed` and `engine's process not confirmed` name the streams."},
		{"held_for_builds", Counter, Requests, "Streams that waited because all engines that could begin them have a build that the store's record does not list yet.",
			"A rise outside of releases: records of builds are not written; see the group `builds`."},
		{"at_limit", Counter, Endpoints, "Plain endpoints that were passed over because of the limit that they name.",
			"A steady rise: endpoints are in need, see `endpoint.limited`; add endpoints."},
		{"overfull", Counter, Endpoints, "Plain endpoints that were passed over because they probably had declined the request.",
			"A steady rise: the endpoints of a service are too few for its load; add endpoints."},
		{"held_back", Counter, Requests, "Requests that were not sent because engines crash on them or on a part of their prompts.",
			"A rise: see the `quarantine` counters; log lines `request held back` name the parts or the request."},
		{"over_quota", Counter, Requests, "Requests that were refused with 429 because of their teams' quotas.",
			"A rise: log lines `quota exceeded` name the teams; raise their limits, or ask them to send less."},
		{"broken", Counter, Requests, "Streams that ended before they were complete.", "A rise: as for `resumed`, but on routes on which streams cannot be resumed."},
	},
}

var relayPlainAnswersGroup = latencyGroup("relay_plain_answers", "Time from the arrival of a request to the response of a plain endpoint.")

var relayFirstEventsGroup = latencyGroup("relay_first_events", "Time from the arrival of a request to the first event of its stream.")

var relayQueuesGroup = latencyGroup("relay_queues", "Time that generation requests waited for engines.")

var upstreamGroup = Group{
	Name: "upstream",
	Help: "Connections to endpoints.",
	Values: []Definition{
		{"dialed", Counter, Connections, "Connections established.", noAction},
		{"dial_failed", Counter, Connections, "Connections that could not be established.", "A steady rise: endpoints are down or unreachable."},
		{"reused", Counter, Calls, "Calls on idle connections from the pool.", "Low compared with `dialed`: endpoints close connections early."},
		{"stale", Counter, Connections, "Idle connections that had been closed or had received unexpected bytes.",
			"A steady rise: endpoints close connections early or send bytes after the end of a response."},
		{"late", Counter, Calls, "Responses that arrived after their requests had been given up; what endpoints say of themselves in them is kept to.", noAction},
		{"foreign", Counter, Answers, "Responses to all kinds of calls that were dropped because they belonged to another call, late ones included; `relay.foreign` counts the calls for requests that this failed.",
			"Any rise: take the endpoint that log lines with `answered another request` name out of service."},
	},
}

var storeGroup = Group{
	Name: "store",
	Help: "Calls to the platform's store.",
	Values: []Definition{
		{"reads", Counter, Calls, "Reads of records.", "Compare the sum over all VMs with the store's limit."},
		{"listings", Counter, Calls, "Listings of the newest records, in pages.", "A steady rise: the store is unavailable intermittently, or loses records."},
		{"appends", Counter, Calls, "Appends.", noAction},
		{"rejected", Counter, Calls, "Calls that the store rejected.", "A steady rise: a limit is reached, or the store is partly unavailable."},
		{"unanswered", Counter, Calls, "Calls without a usable response.", "A steady rise: this VM cannot reach the store; see log lines `store is away`."},
		{"era_ended", Counter, Calls, "Calls answered in an era that had ended.", "A few after the store came back from an older copy; else report it with the log."},
	},
}

var storeAnswersGroup = latencyGroup("store_answers", "Duration of calls to the store that do not wait for records.")

var rolesGroup = Group{
	Name: "roles",
	Help: "Orders to engines to change their role.",
	Values: []Definition{
		{"given", Counter, Calls, "Orders that an engine accepted or that were no longer needed.", "Several a minute: engines join and leave frequently."},
		{"failed", Counter, Calls, "Orders that an engine rejected or did not respond to.", "Any rise: log lines `role ordered` name the engine."},
		{"not_entered", Counter, Calls, "Orders not written to the journal because another VM wrote one first or the store is unavailable.", noAction},
	},
}

var logGroup = Group{
	Name: "log",
	Help: "The log output of the process.",
	Values: []Definition{
		{"written", Counter, Records, "Lines written.", noAction},
		{"dropped", Counter, Records, "Lines dropped because the output was too slow or the rate limit was reached.",
			"Any rise: the log is incomplete; lines about a request may be missing."},
	},
}

var feedGroup = Group{
	Name: "feed",
	Help: "What the VMs of a zone share of the platform's store.",
	Values: []Definition{
		{"reads_for_zone", Counter, Calls, "Reads of the store by the VM that reads for its zone.", noAction},
		{"reads_for_self", Counter, Calls, "Reads of the store because this VM's state was unknown or too old.",
			"A steady rise: no VM of the zone sends news in time; log lines `source of the store's state failed` name them."},
		{"reads_failed", Counter, Calls, "Reads of the store that failed.", "A rise on one VM only: look at its way to the store."},
		{"updates", Counter, Calls, "Responses of other VMs with something newer.", noAction},
		{"sources_failed", Counter, Calls, "Calls to other VMs that failed or brought nothing newer in time.",
			"A steady rise: the VM that reads for the zone is overloaded or does not reach the store."},
		{"whole_states", Counter, Calls, "States fetched as a whole because they differed from the source's.", "A steady rise: report it with the log."},
		{"served", Counter, Calls, "Calls of other VMs that follow this one.", noAction},
		{"eras", Counter, Records, "Topics that were found to have come back from an older copy of the store.",
			"Any rise: see log lines `store came back from an older copy`; check that all VMs know the newest configuration."},
	},
}

var originGroup = Group{
	Name: "origin",
	Help: "Which build of an engine's software began a stream, as the VMs remember it for each other.",
	Values: []Definition{
		{"recorded", Counter, Records, "Streams recorded by this VM.", noAction},
		{"renewed", Counter, Records, "Records sent again because their streams ran for half of their lifetime.", noAction},
		{"calls", Counter, Calls, "Calls that carried records to other VMs.", noAction},
		{"calls_failed", Counter, Calls, "Such calls that failed or took too long. The record goes to the VM that follows.",
			"A steady rise: VMs do not reach each other, or are overloaded; compare with the group `membership`."},
		{"sent", Counter, Records, "Records that these calls carried.", "Divided by `calls`: the average batch size."},
		{"replaced", Counter, Records, "Records sent to a further VM because a holder failed, started again or drains.", "Expected during a rolling restart."},
		{"received", Counter, Records, "Records of other VMs.", noAction},
		{"rejected", Counter, Records, "Records whose parts are missing or too long, or that came in too large a call.",
			"Any rise: VMs run versions that do not fit, or names of services or builds are longer than 128 bytes."},
		{"conflicts", Counter, Records, "Records with another build than the known one of the same revision. The known one is kept.",
			"Any rise: report it with the log."},
		{"dropped", Counter, Records, "Records dropped before the end of their lifetime because there were too many.",
			"Any rise: there are more streams than the VMs are made for; add VMs."},
		{"handed_over", Counter, Records, "Records held for others that were given to another VM on a stop.", noAction},
		{"found_here", Counter, Records, "Searches answered from this VM's memory.", noAction},
		{"found_at_peer", Counter, Records, "Searches answered by another VM.", noAction},
		{"not_found", Counter, Records, "Searches of streams that no VM knows.",
			"Some after all VMs of two zones were killed. Any other rise: report it with the log."},
		{"unanswered", Counter, Records, "Searches that found nothing while some VMs did not respond.",
			"Some after VMs were killed. A steady rise: VMs do not reach each other."},
		{"lookups", Counter, Calls, "Calls to other VMs by searches.", noAction},
		{"lookups_failed", Counter, Calls, "Such calls without a response.", "See `unanswered`."},
		{"served", Counter, Calls, "Calls by searches of other VMs.", noAction},
		{"archive_calls", Counter, Calls, "Calls that carried records to the VM that appends them to the store. There are some only while a service has several builds.", noAction},
		{"archive_calls_failed", Counter, Calls, "Such calls that failed or took too long. The records go to the next VM.",
			"A steady rise: VMs do not reach each other, or the store accepts no records; see `appends_failed`."},
		{"appends", Counter, Calls, "Appends of this VM to the store for the VMs of its zone.", "More than five a second: report it with the log."},
		{"appends_failed", Counter, Calls, "Such appends that failed.", "A steady rise: see the group `store`."},
		{"appended", Counter, Records, "Records that the other appends carried.", "Divided by `appends`: the average batch size."},
		{"archive_refused", Counter, Calls, "Calls of other VMs that were refused because too many records waited here.",
			"Any rise: the store is slow, or there are more streams than the VMs are made for."},
		{"archive_reads", Counter, Calls, "Calls that read the records in the store, for streams of which no VM has a record.",
			"A rise without many VMs lost at once: report it with the log."},
		{"archive_reads_failed", Counter, Calls, "Reads of these records that failed.", "A steady rise: see the group `store`."},
		{"found_in_archive", Counter, Records, "Searches in the store that found a record.", noAction},
		{"not_in_archive", Counter, Records, "Searches in the store that found none or were not answered in time.",
			"Some for streams that began within half a second before all VMs were lost. Any other rise: see `appends_failed` and `archive_reads_failed`."},
		{"records", Gauge, Records, "Records in memory.", "Compare with `dropped`."},
	},
}

var buildsGroup = Group{
	Name: "builds",
	Help: "The history of the builds of each service's engines in the platform's store.",
	Values: []Definition{
		{"writes", Counter, Records, "Records that this VM wrote because the builds of a service changed.",
			"A rise without releases: VMs see different registrations; log lines `builds of a service written` tell the builds."},
		{"writes_failed", Counter, Records, "Records that the store did not accept. They are written again.", "A steady rise: see the group `store`."},
		{"interruptions", Counter, Incidents, "Times that builds may have come and gone unseen, because registrations were old or this process was held up.",
			"Compare with the group `feed`."},
	},
}

var quarantineGroup = Group{
	Name: "quarantine",
	Help: "Requests and parts of prompts on which engines crash.",
	Values: []Definition{
		{"crashes", Counter, Incidents, "Engines whose processes ended when they began to answer requests of this VM.",
			"A rise: engines crash; log lines `engine crashed under requests` name them, the requests and the parts of their prompts."},
		{"quarantined", Counter, Incidents, "Times that parts or requests were put in quarantine.",
			"Any rise: log lines `parts of prompts quarantined` and `request quarantined` name them; report them to the team that sends them and to the makers of the engines."},
		{"cleared", Counter, Incidents, "Parts and requests that were cleared of a crash because this VM got a sound answer to them.", noAction},
		{"trials", Counter, Requests, "Quarantined requests, or ones with quarantined parts, that were sent to find out whether engines still crash.", noAction},
		{"in_force", Gauge, Incidents, "Quarantines in force.", "Above 0: requests with these parts, or these requests, are refused, see `relay.held_back`."},
	},
}

var quarantineShareGroup = Group{
	Name: "quarantine_share",
	Help: "Exchange of observations on crashes between VMs.",
	Values: []Definition{
		{"published", Counter, Records, "Facts observed here and queued for other VMs.", noAction},
		{"forwarded", Counter, Records, "Facts of other zones that were queued for the own zone.", noAction},
		{"received", Counter, Records, "Facts of other VMs that were new here.", noAction},
		{"rejected", Counter, Records, "Facts outside of the bounds.", "Any rise: VMs run versions that do not fit, or names are longer than 64 bytes."},
		{"deliveries", Counter, Calls, "Calls that brought facts to other VMs.", noAction},
		{"deliveries_failed", Counter, Calls, "Such calls that failed.", "A steady rise: VMs do not reach each other; compare with the group `membership`."},
		{"given_up", Counter, Calls, "Deliveries given up after too many failures; the periodic exchange makes up for them.", noAction},
		{"dropped", Counter, Records, "Facts that were not queued because too many were.", "Any rise: report it with the log."},
		{"exchanges", Counter, Calls, "Periodic exchanges with other VMs.", noAction},
		{"exchanges_failed", Counter, Calls, "Such exchanges without a response.", "See `deliveries_failed`."},
		{"differing", Counter, Calls, "Exchanges that found other facts at the called VM.", "A steady rise: facts do not reach all VMs."},
		{"unserved", Counter, Calls, "Calls to VMs of an earlier version.", "Expected during an upgrade."},
	},
}

var quarantineArchiveGroup = Group{
	Name: "quarantine_archive",
	Help: "Quarantines kept in the platform's store beyond the end of all VMs' processes.",
	Values: []Definition{
		{"loads", Counter, Calls, "Calls that load what is kept, at the start.", noAction},
		{"loads_failed", Counter, Calls, "Such calls without a usable response. They are repeated.", "A steady rise: see the group `store`."},
		{"restored", Counter, Records, "Quarantines restored at the start.", noAction},
		{"expired", Counter, Records, "Kept quarantines whose retention was over.", noAction},
		{"unreadable", Counter, Records, "Kept quarantines with unusable contents.", "Any rise: VMs run versions that do not fit."},
		{"saves", Counter, Calls, "Calls that save a quarantine.", noAction},
		{"deletes", Counter, Calls, "Calls that delete one.", noAction},
		{"writes_failed", Counter, Calls, "Such calls that failed. They are repeated.", "A steady rise: see the group `store`."},
	},
}

var quotaGroup = Group{
	Name: "quota",
	Help: "Quotas of teams, to which all VMs keep together. Units are those of each quota: requests or tokens.",
	Values: []Definition{
		{"taken", Counter, Requests, "Requests that were charged to a quota.", noAction},
		{"waited", Counter, Requests, "Those of them that waited for credit.", "Near `taken`: teams send at their limits."},
		{"refused", Counter, Requests, "Requests over a quota.", "A rise: log lines `quota exceeded` name the teams."},
		{"refused_here", Counter, Requests, "Those of them that were refused without a call, before the time that an owner had named.", noAction},
		{"refunded", Counter, Requests, "Requests whose cost was returned because they had not run.", "A rise: compare with `relay.refused`."},
		{"leased", Counter, QuotaUnits, "Units that this VM leased.", noAction},
		{"returned", Counter, QuotaUnits, "Units that this VM gave back.", noAction},
		{"expired", Counter, QuotaUnits, "Leased units that ended unused.", "Any rise: this process is held up for parts of a second."},
		{"owner_changes", Counter, Teams, "Times that another VM than before decided for a team.", "A steady rise without restarts: VMs do not reach each other."},
		{"calls", Counter, Calls, "Calls to other VMs.", noAction},
		{"calls_failed", Counter, Calls, "Calls without an answer in time.", "A steady rise: VMs do not reach each other, or are overloaded; compare with the group `membership`."},
		{"fallback_calls", Counter, Calls, "Calls to another VM than the owner because it did not answer or did not know the team.", "See `calls_failed` and `unknown`."},
		{"presences", Counter, Calls, "Calls that only told an owner which is not established that this VM would ask it.", "A steady rise without restarts: owners change; see `owner_changes`."},
		{"served", Counter, Calls, "Calls of other VMs.", noAction},
		{"rejected", Counter, Calls, "Calls of other VMs with unusable contents.", "Any rise: VMs run versions that do not fit."},
		{"behind", Counter, Calls, "Calls of VMs with a later configuration than this one's.", "A steady rise: this VM's configuration is old; see the group `feed`."},
		{"unknown", Counter, Calls, "Claims for teams that this VM's configuration does not have.", "See `behind`."},
		{"established", Counter, Teams, "Times that this VM became established as an owner, for each team.", noAction},
		{"accounts", Gauge, Teams, "Teams that sent requests to this VM within a minute.", noAction},
		{"buckets", Gauge, Teams, "Teams for whose quotas this VM was asked within a minute.", noAction},
	},
}
