// Package orphan ends the engine work of entry VMs that are gone.
//
// When a member is gone, or a younger process of its name has replaced it, the
// survivors cancel all attempts of its incarnation on every engine. For each
// engine two survivors are chosen by rendezvous hashing: the first acts at
// once, the second a little later. Cancels are idempotent, so views that differ
// cost a call at most. A cancel is repeated until the engine acknowledges it,
// the engine has left the configuration, or the member proves to be alive.
package orphan
