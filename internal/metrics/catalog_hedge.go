package metrics

var hedgeGroup = Group{
	Name: "hedge",
	Help: "Requests that were sent to a second endpoint because the first one answered late, if `--hedge-share` allows it.",
	Values: []Definition{
		{"sent", Counter, Calls, "Hedges sent.", "Compare with `relay.received`: over all VMs the share is at most `--hedge-share`."},
		{"won", Counter, Calls, "Hedges whose answer was the first good one.", noAction},
		{"wasted", Counter, Calls, "Hedges whose answer was not used.",
			"Most of `sent` for hours: answers are late for a reason that endpoints share; lower `--hedge-share`."},
		{"held_by_limit", Counter, Calls, "Hedges that `--hedge-share` and `--hedge-burst` or the retry budget did not allow.",
			"A steady rise: some endpoints are slow for long; see log lines `request hedged`. If this VM sends none, `--hedge-burst` may be below the number of VMs."},
		{"held_by_load", Counter, Calls, "Hedges that were not sent because the endpoints are loaded.", "A steady rise: add endpoints."},
	},
}
