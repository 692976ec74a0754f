// Package origin lets the entry VMs remember which build of an engine's software began
// a stream, so that any of them can continue it at the same build.
//
// The VM that serves a stream keeps its record while the stream runs, and gives copies
// to two holders: one in its own availability zone and one in another, chosen by
// rendezvous hashing over the members in view. When a holder is gone, has restarted or
// drains, another one gets a copy. A VM at which a caller takes the stream up asks the
// members that come first by the same hashing, and then others.
//
// Records are in memory only and last for Lifetime. Failure behaviour: a record is lost
// if the serving VM and both holders are killed before anybody has replaced a copy.
// Find then fails with Unknown or Incomplete; it never guesses a build.
package origin
