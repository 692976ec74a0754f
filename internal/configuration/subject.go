package configuration

import "strings"

// Stream is the log stream that all configuration records are appended to.
const Stream = "configuration"

// FleetSubject is the subject of the fleet document.
const FleetSubject = "fleet"

const teamSubjectPrefix = "team/"

// TeamSubject returns the subject of a team's document.
func TeamSubject(team string) string { return teamSubjectPrefix + team }

// teamOfSubject returns the team name in the subject of a team's document.
func teamOfSubject(subject string) (string, bool) {
	name, ok := strings.CutPrefix(subject, teamSubjectPrefix)
	return name, ok && name != ""
}
