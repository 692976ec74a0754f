package metrics

var teamGroup = Group{
	Name: "team",
	Help: "Decisions on the keys of requests, if the configuration has teams.",
	Values: []Definition{
		{"authenticated", Counter, Requests, "Requests whose key belongs to a team.", noAction},
		{"anonymous", Counter, Requests, "Requests of routes that need no key which had no known one.", noAction},
		{"missing", Counter, Requests, "Requests that were denied because they had no key.", "A rise: a caller sends no key, or a route should be anonymous; log lines `key rejected` name the route."},
		{"malformed", Counter, Requests, "Requests that were denied because their key was not in the expected form.", "A rise: inform the team whose callers send them."},
		{"unknown", Counter, Requests, "Requests that were denied because no team has their key.",
			"A rise after a change of the configuration: callers still use a removed key. Compare `configuration` in log lines `key rejected` with the newest version."},
		{"shared", Counter, Requests, "Requests that were denied because their key is listed for several teams.",
			"Any rise: log lines `key listed for several teams` name the teams; give them keys of their own."},
		{"outdated", Counter, Requests, "Requests that were refused for a while instead of denied, because the configuration may be outdated.",
			"A rise: this VM does not learn of changes; see the `feed` and `store` counters."},
		{"expired", Counter, Requests, "Requests that were refused because their key may have been removed meanwhile.",
			"A rise: as for `outdated`; the configuration is older than the time within which a removed key must run nothing."},
		{"withdrawn", Counter, Requests, "Requests whose key was no longer accepted when they were about to be sent.", "Expected when a key is removed; otherwise as for `expired`."},
	},
}
