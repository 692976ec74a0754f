package metrics

import "slices"

// keyValues are the values that claims and the answer registry share.
var keyValues = []Definition{
	{"appends", Counter, Calls, "Appends to the log.", "Compare the sum over all VMs with the log's append limit."},
	{"records", Counter, Records, "Records that the appends carried.", "Divided by `appends`: how well records are batched."},
	{"bytes", Counter, Bytes, "Bytes that the appends carried.", noAction},
	{"appends_in_doubt", Counter, Calls, "Appends whose answer was lost.", "A steady rise: the log or the link to it is unhealthy."},
	{"appends_refused", Counter, Calls, "Appends that the log refused.", "A steady rise: the append limit is reached or the log is away."},
	{"reads_failed", Counter, Calls, "Reads of the log that failed.", "A steady rise: the log is away."},
	{"records_unreadable", Counter, Records, "Records that this version cannot decode.",
		"Any rise: VMs of different versions run together, or another writer uses the stream."},
	{"retention_short", Counter, Incidents, "Reads that showed records removed before the key window was over.",
		"Any rise: raise the log's retention at once, or shorten the key window; keys were closed as a precaution."},
	{"owner_calls", Counter, Calls, "Submissions to the VM that batches a key's records.", noAction},
	{"owner_failures", Counter, Calls, "Such submissions that failed.", "A steady rise: entry VMs of the zone do not reach each other."},
	{"claims_given_up", Counter, Keys, "Claims that were refused in doubt.", "A steady rise: the log is slow or away; callers repeat later."},
	{"outcomes_dropped", Counter, Records, "Outcomes of calls that could not be recorded.",
		"Any rise: repeats of these calls get `unknown`; tell the team."},
	{"slot_takeovers", Counter, Slots, "Slots of the answer registry that this VM took over.", "Nothing if VMs come or go."},
	{"slots_incomplete", Counter, Slots, "Slots taken over without hearing from all VMs.",
		"Any rise: a VM was unreachable; repeats of its keys may get `unknown`."},
}

var claimGroup = Group{
	Name: "claim",
	Help: "Claims of idempotency keys for calls that may never be repeated.",
	Values: append(slices.Clone(keyValues),
		Definition{"decided_*", Counter, Keys, "Decisions by kind: run, running, answered, recorded, withheld, closed-not-run, unknown, elsewhere.",
			"A rise of `unknown`: endpoints fail while calls run; see `gateway.refused_unknown`."},
		Definition{"refused_*", Counter, Keys, "Refused claims by the type of error.",
			"A rise of `log-away`: bookings are refused until the log is back; of `key-future` or `key-expired`: a caller's clock is wrong."},
	),
}

var answerGroup = Group{
	Name: "answers",
	Help: "The registry of answers to repeatable calls with a key.",
	Values: append(slices.Clone(keyValues),
		Definition{"answer_refused_*", Counter, Keys, "Refused attempts by the type of error.",
			"A rise of `owner-away`: entry VMs do not reach each other."},
		Definition{"answer_*", Counter, Keys, "Decisions by kind, as for `claim`.", noAction},
	),
}

var appenderGroup = Group{
	Name: "log_append",
	Help: "Appends to the platform's log within this VM's part of the append limit.",
	Values: []Definition{
		{"entries", Counter, Records, "Entries given to the appender.", noAction},
		{"appends", Counter, Calls, "Appends sent.", "Compare the sum over all VMs with the log's append limit."},
		{"throttled", Counter, Calls, "Appends that the log refused for its limit.",
			"A steady rise: another user of the log, or more VMs than configured, takes the limit."},
		{"in_doubt", Counter, Calls, "Appends whose answer was lost.", "A steady rise: the log or the link to it is unhealthy."},
		{"recovered", Counter, Records, "Entries in doubt that were found on the log.", noAction},
		{"resent", Counter, Records, "Entries that were sent again.", noAction},
	},
}

var healthGroup = Group{
	Name: "log_health",
	Help: "Whether the platform's log answers.",
	Values: []Definition{
		{"append_failed", Counter, Calls, "Appends that failed.", "A steady rise: tell the platform's operators."},
		{"append_rejected", Counter, Calls, "Appends not tried because the log is away.", "See `append_away`."},
		{"append_away", Flag, TrueIfAway, "Whether the log takes no appends.",
			"True for more than a minute: calls that may never be repeated are refused; tell the platform's operators."},
		{"read_failed", Counter, Calls, "Reads that failed.", "A steady rise: tell the platform's operators."},
		{"read_rejected", Counter, Calls, "Reads not tried because the log is away.", "See `read_away`."},
		{"read_away", Flag, TrueIfAway, "Whether the log answers no reads.",
			"True for more than a minute: new configuration reaches this VM only through its peers."},
	},
}

var tailerGroup = Group{
	Name: "log_tail",
	Help: "Reading of the configuration's stream.",
	Values: []Definition{
		{"records", Counter, Records, "Records read.", noAction},
		{"failed_reads", Counter, Calls, "Reads that failed.", "A steady rise: see `log_health`."},
		{"gaps", Counter, Incidents, "Times that records were removed before they were read.",
			"Any rise: raise the log's retention."},
		{"malformed_pages", Counter, Calls, "Answers of the log that contradict its protocol.",
			"Any rise: report it to the platform's operators."},
	},
}

var vmListGroup = Group{
	Name: "vm_list",
	Help: "The platform's list of VMs.",
	Values: []Definition{
		{"fetched", Counter, Calls, "Fetches that succeeded.", noAction},
		{"failed", Counter, Calls, "Fetches that failed.",
			"A steady rise: endpoints that leave are noticed only by their own replies."},
	},
}
