// Package swim implements membership.View with a variant of the SWIM protocol.
//
// Within an availability zone each VM probes one other VM per period. If the
// probed VM does not respond, other VMs are asked to probe it. If none of them
// reaches it, it becomes suspect, and it is declared gone if it does not refute
// the suspicion in time. Changes are piggybacked on the messages of the
// protocol. A few VMs of each zone exchange digests with a few VMs of each other
// zone, so that the cost per VM does not grow with the fleet.
//
// The protocol's state machine is machine, which has no clock, goroutine or
// socket of its own. Service drives it, carries its calls over connect-go and
// publishes its view.
package swim
