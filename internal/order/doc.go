// Package order brings engines into the state that the configuration describes.
//
// A Reconciler runs on every entry VM. It manages the pools whose lease this VM
// holds: it reads the state of each engine, compares it with the configuration,
// takes a bounded number of engines out of service and sends each of them one
// idempotent order at a time. Without a lease it sends nothing.
//
// The design and its limits are in docs/design/orders.md.
package order
