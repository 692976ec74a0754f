package metrics

import "slices"

// keyValues are the values that the claim group and the answers group have in common.
var keyValues = []Definition{
	{"appends", Counter, Calls, "Appends to the log.", "Compare the sum over all VMs with the log's append limit."},
	{"records", Counter, Records, "Records that the appends carried.", "Divided by `appends`: the average batch size."},
	{"bytes", Counter, Bytes, "Bytes that the appends carried.", noAction},
	{"appends_in_doubt", Counter, Calls, "Appends whose response was lost.", "A steady rise: the log or the connection to it is unreliable."},
	{"appends_refused", Counter, Calls, "Appends that the log rejected.", "A steady rise: the append limit is reached or the log is unavailable."},
	{"reads_failed", Counter, Calls, "Reads of the log that failed.", "A steady rise: the log is unavailable."},
	{"records_unreadable", Counter, Records, "Records that this version cannot decode.",
		"Any rise: VMs run different versions, or another writer uses the stream."},
	{"retention_short", Counter, Incidents, "Reads that found records removed from the log before the end of the configured `log_retention`.",
		"Any rise: increase the log's retention at once, or shorten the key window; a VM that starts meanwhile may run a call again whose claim was removed."},
	{"owner_calls", Counter, Calls, "Submissions to the owner, the VM that batches the records of a key.", noAction},
	{"owner_failures", Counter, Calls, "Failed submissions to the owner.", "A steady rise: entry VMs of the zone cannot reach each other."},
	{"claims_given_up", Counter, Keys, "Claims refused because it is unknown whether they were appended.", "A steady rise: the log is slow or unavailable; callers repeat them later."},
	{"outcomes_dropped", Counter, Records, "Outcomes of calls that could not be recorded.",
		"Any rise: repeats of these calls get `unknown`; inform the team."},
	{"slot_takeovers", Counter, Slots, "Slots of the answer registry that this VM took over.", "No action while VMs are being added or removed."},
	{"slots_incomplete", Counter, Slots, "Slots taken over whose earlier state could not be recovered completely.",
		"Expected when the first VM of a zone starts. Any other rise: a VM was unreachable; repeats of keys that were used before the takeover may get `unknown`."},
}

var claimGroup = Group{
	Name: "claim",
	Help: "Claims of idempotency keys for calls that must run at most once.",
	Values: append(slices.Clone(keyValues),
		Definition{"decided_*", Counter, Keys, "Decisions by kind: run, running, answered, recorded, withheld, closed-not-run, unknown, elsewhere.",
			"A rise of `unknown`: endpoints fail while calls are running; see `gateway.refused_unknown`."},
		Definition{"refused_*", Counter, Keys, "Refused claims by type of error.",
			"A rise of `log-away`: calls that must run at most once are refused until the log is available again; of `key-future` or `key-expired`: a caller's clock is wrong."},
	),
}

var answerGroup = Group{
	Name: "answers",
	Help: "The registry of answers to repeatable calls that carry an idempotency key.",
	Values: append(slices.Clone(keyValues),
		Definition{"answer_refused_*", Counter, Keys, "Refused attempts by type of error.",
			"A rise of `owner-away`: entry VMs cannot reach each other."},
		Definition{"answer_*", Counter, Keys, "Decisions by kind, as for `claim`.", noAction},
	),
}

var appenderGroup = Group{
	Name: "log_append",
	Help: "Appends to the platform's log within this VM's part of the append limit.",
	Values: []Definition{
		{"entries", Counter, Records, "Entries passed to the appender.", noAction},
		{"appends", Counter, Calls, "Appends sent.", "Compare the sum over all VMs with the log's append limit."},
		{"throttled", Counter, Calls, "Appends that the log rejected because of its append limit.",
			"A steady rise: another user of the log, or more VMs than configured, use up the limit."},
		{"in_doubt", Counter, Calls, "Appends whose outcome is unknown, for example because the response was lost.", "A steady rise: the log or the connection to it is unreliable."},
		{"recovered", Counter, Records, "Appends in doubt that were found in the log.", noAction},
		{"resent", Counter, Records, "Appends in doubt that were not found in the log and were sent again.", noAction},
	},
}

var healthGroup = Group{
	Name: "log_health",
	Help: "Whether the platform's log is available.",
	Values: []Definition{
		{"append_failed", Counter, Calls, "Appends that failed.", "A steady rise: inform the platform's operators."},
		{"append_rejected", Counter, Calls, "Appends rejected without a call because the log is unavailable.", "See `append_away`."},
		{"append_away", Flag, TrueIfUnavailable, "Whether the log is considered unavailable for appends.",
			"True for more than a minute: calls that must run at most once are refused; inform the platform's operators."},
		{"read_failed", Counter, Calls, "Reads that failed.", "A steady rise: inform the platform's operators."},
		{"read_rejected", Counter, Calls, "Reads rejected without a call because the log is unavailable.", "See `read_away`."},
		{"read_away", Flag, TrueIfUnavailable, "Whether the log is considered unavailable for reads.",
			"True for more than a minute: this VM receives new configuration only from its peers."},
	},
}

var tailerGroup = Group{
	Name: "log_tail",
	Help: "Reads of the configuration stream of the log.",
	Values: []Definition{
		{"records", Counter, Records, "Records read.", noAction},
		{"failed_reads", Counter, Calls, "Reads that failed.", "A steady rise: see `log_health`."},
		{"gaps", Counter, Incidents, "Gaps in the records read, because the log removed records before they were read.",
			"Any rise: increase the log's retention."},
		{"malformed_pages", Counter, Calls, "Responses of the log that violate its protocol.",
			"Any rise: report it to the platform's operators."},
	},
}

var vmListGroup = Group{
	Name: "vm_list",
	Help: "Fetches of the platform's list of VMs.",
	Values: []Definition{
		{"fetched", Counter, Calls, "Fetches that succeeded.", noAction},
		{"failed", Counter, Calls, "Fetches that failed.",
			"A steady rise: leaving endpoints are detected only from their own responses."},
		{"unusable", Counter, Records, "Entries that cannot be used, once for each reason.",
			"Any rise: find the writer of the entry that the event `vm_list.unusable` names."},
	},
}
