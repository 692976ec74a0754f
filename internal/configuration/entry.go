package configuration

import (
	"fmt"
	"time"
)

// String names the outcome.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Known:
		return "known"
	case Refused:
		return "refused"
	case Ahead:
		return "ahead"
	default:
		return "unreadable"
	}
}

// String formats the entry in one line.
func (e Entry) String() string {
	prefix := fmt.Sprintf("%d %s", e.Offset, e.Time.UTC().Format(time.RFC3339Nano))
	if e.Err != nil {
		return fmt.Sprintf("%s unreadable: %v", prefix, e.Err)
	}
	return fmt.Sprintf("%s %s %s version %d by %s: %s",
		prefix, e.Record.Kind, e.Record.Subject, e.Record.Version, e.Record.Publisher, e.Outcome)
}
