// Package measure is a load generator for the router. It sends an open-loop load
// whose send times are fixed in advance, measures goodput and latency from the
// intended send times, and checks the promises to callers from its own record
// and the counts of the stand-ins.
package measure
