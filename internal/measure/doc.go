// Package measure is a load generator for the router. It sends an open-loop load
// whose send times are fixed in advance, measures goodput and latency from the
// intended send times, and checks the router's guarantees to callers against its
// own records and the counters of the stand-ins.
package measure
