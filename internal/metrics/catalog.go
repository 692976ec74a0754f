package metrics

// noAction is the Action of values that call for no action by themselves.
const noAction = "No action; a baseline for other values."

// Catalog returns the documentation of all groups.
func Catalog() []Group {
	return append(DaemonCatalog(), nodeGroups...)
}

// nodeGroups are the groups that only a node publishes, see package node.
var nodeGroups = []Group{
	relayGroup,
	relayPlainAnswersGroup,
	relayFirstEventsGroup,
	relayQueuesGroup,
	teamGroup,
	membudgetGroup,
	hedgeGroup,
	upstreamGroup,
	storeGroup,
	storeAnswersGroup,
	feedGroup,
	originGroup,
	buildsGroup,
	quarantineGroup,
	quarantineShareGroup,
	quarantineArchiveGroup,
	quotaGroup,
	rolesGroup,
	logGroup,
}

// NodeCatalog returns the documentation of the groups that a node publishes, see package
// node.
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

// DaemonCatalog returns the documentation of the groups that a daemon publishes, see
// package daemon.
func DaemonCatalog() []Group {
	return []Group{
		gatewayGroup,
		completionGroup,
		engineConnectionsGroup,
		forwardGroup,
		plainConnectionsGroup,
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
	Help: "The ring buffer of events that `ospreyshed timeline` reads.",
	Values: []Definition{
		{"recorded", Counter, Events, "Events recorded.", noAction},
		{"dropped", Counter, Events, "Events overwritten by newer ones.",
			"Expected on a busy VM. If events that you need are missing, read the timeline sooner or with `--follow`."},
	},
}
