// Package builds keeps the history of the builds of each service's engines: those that
// serve and those that left within the last minute. A build is a version of an engine's
// software.
//
// A History merges the registrations that this VM observes with the record that the VMs
// keep in the platform's store, and decides what may be concluded at a time: whether one build
// alone can have begun the streams of a service, and whether an engine may begin a stream
// that can be resumed. A Service writes the record: the first VM by rendezvous hashing does,
// the others after a delay.
//
// Failure behaviour: without the store no record is written or read. Conclusions then
// follow from the VM's own observation, and a process that has just started concludes
// nothing. Designed for tens of services with a few builds each, and a change of builds
// every few seconds.
package builds
