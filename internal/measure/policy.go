package measure

import "github.com/ospreyshed/ospreyshed/internal/scheduling"

// OwnPolicy is the name of the policy that daemons use.
const OwnPolicy = scheduling.PolicyReservation
