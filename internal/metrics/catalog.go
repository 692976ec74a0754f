package metrics

// none says that a value asks for no action.
const none = "Nothing; it puts the others in proportion."

// Catalog returns the documentation of all groups.
func Catalog() []Group {
	return []Group{
		gatewayGroup,
		completionGroup,
		forwardGroup,
		reservationGroup,
		schedulingGroup,
		cancellerGroup,
		endpointGroup,
		membershipGroup,
		orphanGroup,
		peerServerGroup,
		peerDialerGroup,
		peerCertificatesGroup,
		configurationGroup,
		reappendGroup,
		syncGroup,
		claimGroup,
		answerGroup,
		leaseGroup,
		orderGroup,
		appenderGroup,
		healthGroup,
		tailerGroup,
		vmListGroup,
		timelineGroup,
	}
}

var timelineGroup = Group{
	Name: "timeline",
	Help: "The ring of events that `ospreyshed timeline` reads.",
	Values: []Definition{
		{"recorded", Counter, Events, "Events recorded.", none},
		{"dropped", Counter, Events, "Events overwritten by later ones.",
			"Expected on a busy VM. Read the time line sooner, or with `--follow`, if events that you need are gone."},
	},
}
