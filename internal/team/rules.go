package team

import "time"

// transitShare is the share of the time of revocation that is left for the way of a request from the
// last check to its endpoint.
const transitShare = 0.05

// Credential is what a request presents as its key. The zero value is a request without one.
type Credential struct {
	// Present is set if the request has a credential, Malformed if it is not in the expected form.
	Present, Malformed bool
	// Key is the digest of the key of a credential that is not malformed.
	Key Digest
}

// Reason is why the key of a request was not accepted.
type Reason string

// The reasons.
const (
	Missing   Reason = "the request has no key"
	Malformed Reason = "the key is malformed"
	Unknown   Reason = "the key is unknown"
	Shared    Reason = "the key is listed for several teams"
	// Expired means that the key may have been removed since.
	Expired Reason = "the configuration is too old to accept keys"
)

// Verdict is the decision on a request's key. The zero value accepts a request without a team.
type Verdict struct {
	// Team is the team of an accepted request, nil if it has none.
	Team *Team
	// Reason is why the request was not accepted, empty if it was.
	Reason Reason
	// Outdated is set if the request may be acceptable with the newest configuration.
	Outdated bool
}

// Accepted reports whether the request may be served.
func (v Verdict) Accepted() bool { return v.Reason == "" }

// Rules are the bounds on the age of the configuration that authenticates requests.
type Rules struct {
	// ConfigurationTime is the age above which an unknown key may have been added meanwhile.
	ConfigurationTime time.Duration
	// RevocationTime is the time after which a removed key must run nothing, whatever this VM
	// reaches; 0 if a known key is accepted at any age.
	RevocationTime time.Duration
}

// Judge decides on a request by the directory in force, which is nil without teams, and by the age of
// the configuration, which must have been read before the directory.
func (r Rules) Judge(d *Directory, c Credential, anonymous bool, age time.Duration) Verdict {
	if d == nil {
		return Verdict{}
	}
	expired := r.RevocationTime > 0 && age > r.RevocationTime-time.Duration(transitShare*float64(r.RevocationTime))
	team, reason := d.identify(c)
	switch {
	case anonymous && expired:
		return Verdict{}
	case anonymous:
		return Verdict{Team: team}
	case expired && c.Present && !c.Malformed:
		return Verdict{Reason: Expired, Outdated: true}
	case team == nil:
		return Verdict{Reason: reason, Outdated: age > r.ConfigurationTime}
	}
	return Verdict{Team: team}
}

// identify returns the team of a credential, or the reason why it has none.
func (d *Directory) identify(c Credential) (*Team, Reason) {
	switch {
	case !c.Present:
		return nil, Missing
	case c.Malformed:
		return nil, Malformed
	}
	t, listed := d.find(c.Key)
	switch {
	case t != nil:
		return t, ""
	case listed:
		return nil, Shared
	}
	return nil, Unknown
}
