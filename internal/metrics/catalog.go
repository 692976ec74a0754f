package metrics

// noAction says that a value asks for no action.
const noAction = "Nothing; it puts the others in proportion."

// Catalog returns the documentation of all groups.
func Catalog() []Group {
	return append(DaemonCatalog(), nodeGroups...)
}

// nodeGroups are the groups that only a node on the users' platform publishes.
var nodeGroups = []Group{
	relayGroup,
	relayPlainAnswersGroup,
	relayFirstEventsGroup,
	relayQueuesGroup,
	upstreamGroup,
	storeGroup,
	storeAnswersGroup,
	rolesGroup,
	logGroup,
}

// NodeCatalog returns the documentation of the groups that a node on the users'
// platform publishes.
func NodeCatalog() []Group {
	return append([]Group{
		reservationGroup,
		schedulingGroup,
		endpointGroup,
		membershipGroup,
		peerServerGroup,
		peerDialerGroup,
		timelineGroup,
	}, nodeGroups...)
}

// DaemonCatalog returns the documentation of the groups that a daemon with its own
// settings publishes.
func DaemonCatalog() []Group {
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
		{"recorded", Counter, Events, "Events recorded.", noAction},
		{"dropped", Counter, Events, "Events overwritten by later ones.",
			"Expected on a busy VM. Read the time line sooner, or with `--follow`, if events that you need are gone."},
	},
}
