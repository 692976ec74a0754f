// Package feed lets the entry VMs of an availability zone share what one of them
// reads from the platform's store.
//
// Each VM keeps a replica of every topic and knows when the store last confirmed it.
// One VM of the zone, the first by rendezvous hashing over the members in view, reads the
// store; the others follow it by calls that are answered as soon as something newer is
// known. Ages are carried with each answer, so that a VM always knows an upper bound
// of how old its own state is, whatever way it came.
//
// Failure behaviour: a VM whose source sends nothing newer in time follows the next VM
// in the order of the hash, and reads the store itself before its state is older than
// the topic allows. Several readers at a time do no harm, since offsets of the store
// order all states and a VM adopts only a state that is not older than its own. A VM
// that does not reach the store is kept up to date by others that do. While nobody
// reaches the store, the known state stays in use.
package feed
