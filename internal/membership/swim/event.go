package swim

import (
	"strconv"

	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

func kindOf(state membership.State) timeline.Kind {
	switch state {
	case membership.Suspect:
		return timeline.MemberSuspect
	case membership.Gone:
		return timeline.MemberGone
	default:
		return timeline.MemberAlive
	}
}

// detailOf names a member as "<vm>.<incarnation>".
func detailOf(m *membership.Member) string {
	return m.VM + "." + strconv.FormatUint(m.Incarnation, 10)
}
