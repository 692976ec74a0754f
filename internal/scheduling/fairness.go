package scheduling

import "time"

// minShareRatio bounds the shares of teams from below, relative to the largest. A team
// without a limit has share 1 beside limits of some 100,000 tokens a second; without the
// bound a single grant would exclude it for hours.
const minShareRatio = 1.0 / 50

// usage accounts for the engine time granted to each team, as in start-time fair
// queueing: a team's virtual time grows by each grant's engine time in seconds,
// divided by the team's share. The team with the lowest virtual time is served
// first.
type usage struct {
	virtual map[string]*float64
	// waiting are the teams that have waiting demands.
	waiting map[string]*teamWaiting
	// shares is the sum of the shares of the teams that wait.
	shares float64
	// largest is the largest share that any team had.
	largest float64
	// floor is the virtual time of the team served last, before that grant. A
	// team that starts to wait again starts from it, so that it has no credit
	// for the time it was idle.
	floor float64
}

// teamWaiting is the number of waiting demands of a team, and its share.
type teamWaiting struct {
	count   int
	share   float64
	virtual *float64
}

func newUsage() *usage {
	return &usage{virtual: make(map[string]*float64), waiting: make(map[string]*teamWaiting)}
}

// of returns a team's virtual time.
func (u *usage) of(team string) *float64 {
	v, ok := u.virtual[team]
	if !ok {
		v = new(float64)
		u.virtual[team] = v
	}
	return v
}

// enter records that a demand of a team waits.
func (u *usage) enter(team string, share float64) {
	w, ok := u.waiting[team]
	if !ok {
		u.activate(team)
		w = &teamWaiting{virtual: u.of(team)}
		u.waiting[team] = w
	}
	u.shares -= w.share
	w.share = u.effective(share)
	u.shares += w.share
	w.count++
}

// leave records that a demand of a team no longer waits.
func (u *usage) leave(team string) {
	w, ok := u.waiting[team]
	if !ok {
		return
	}
	if w.count--; w.count > 0 {
		return
	}
	delete(u.waiting, team)
	u.shares -= w.share
	if len(u.waiting) == 0 {
		u.shares = 0
	}
}

// activate raises the virtual time of a team that starts to wait to floor or, if
// lower, to the lowest virtual time of the teams that wait already.
func (u *usage) activate(team string) {
	least := u.floor
	for _, other := range u.waiting {
		least = min(least, *other.virtual)
	}
	v := u.of(team)
	*v = max(*v, least)
}

// part returns the fraction of the pool that a team gets in competition with the teams
// that wait now.
func (u *usage) part(team string, share float64) float64 {
	own := u.effective(share)
	others := u.shares
	if w, ok := u.waiting[team]; ok {
		others -= w.share
	}
	return own / (own + max(0, others))
}

// charge adds granted engine time to a team's virtual time.
func (u *usage) charge(team string, share float64, cost time.Duration) {
	v := u.of(team)
	u.floor = *v
	*v += cost.Seconds() / u.effective(share)
}

// effective returns the share used for accounting; 0 counts as 1.
func (u *usage) effective(share float64) float64 {
	if share <= 0 {
		share = 1
	}
	u.largest = max(u.largest, share)
	return max(share, u.largest*minShareRatio)
}
