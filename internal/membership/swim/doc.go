// Package swim implements membership.View by random probing in the manner of
// SWIM.
//
// Within an availability zone each VM probes one other VM per period, asks
// others to probe a VM that does not answer, suspects it if nobody reaches it,
// and takes it for gone if it does not refute the suspicion in time. What
// changes is piggybacked on the messages that are sent anyway. A few VMs of
// each zone exchange digests with a few VMs of the others, so that the cost of
// a VM does not grow with the fleet.
//
// The decisions are taken by machine, which has no clock, goroutine or socket
// of its own. Service feeds it from connect-go and publishes its view.
package swim
