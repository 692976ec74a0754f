// Package order brings engines into the state that the configuration asks for.
//
// A Reconciler runs on every entry VM. It acts for the pools whose lease this VM
// holds: it reads each engine's state back, compares it with the configuration,
// takes a bounded number of engines out of service and sends one idempotent
// order at a time to each. Without a lease it sends nothing.
//
// The design and its limits are in docs/design/orders.md.
package order
