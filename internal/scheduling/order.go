package scheduling

import (
	"cmp"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// compareIDs orders attempt ids by holder, request and attempt.
func compareIDs(x, y engine.AttemptID) int {
	return cmp.Or(
		cmp.Compare(x.VM, y.VM),
		cmp.Compare(x.Incarnation, y.Incarnation),
		cmp.Compare(x.Request, y.Request),
		cmp.Compare(x.Attempt, y.Attempt),
	)
}
