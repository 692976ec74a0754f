package scheduling

import "time"

// usage accounts for the engine time granted to each team, as in start-time fair
// queueing: a team's virtual time grows by each grant's engine time in seconds,
// divided by the team's share. The team with the lowest virtual time is served
// first.
type usage struct {
	virtual map[string]float64
	shares  map[string]float64
	// floor is the virtual time of the team served last, before that grant. A
	// team that starts to wait again starts from it, so that it has no credit
	// for the time it was idle.
	floor float64
}

func newUsage() *usage {
	return &usage{virtual: make(map[string]float64), shares: make(map[string]float64)}
}

// of returns a team's virtual time.
func (u *usage) of(team string) float64 { return u.virtual[team] }

// activate raises the virtual time of a team that starts to wait to floor or, if
// lower, to the lowest virtual time of the teams that wait already.
func (u *usage) activate(team string, active []string) {
	least := u.floor
	for _, other := range active {
		if other == team {
			return
		}
		least = min(least, u.virtual[other])
	}
	u.virtual[team] = max(u.virtual[team], least)
}

// charge adds granted engine time to a team's virtual time.
func (u *usage) charge(team string, share float64, cost time.Duration) {
	u.shares[team] = effectiveShare(share)
	u.floor = u.virtual[team]
	u.virtual[team] += cost.Seconds() / effectiveShare(share)
}

// effectiveShare returns the share used for accounting; 0 counts as 1.
func effectiveShare(share float64) float64 {
	if share <= 0 {
		return 1
	}
	return share
}
