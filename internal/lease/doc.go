// Package lease gives one entry VM at a time the right to send orders to the
// engines of a model in an availability zone.
//
// Leases are records in one stream of the platform's log. Fold decides by the
// log's order and the log's clock who holds a lease; it is a pure function of
// the records. Manager appends this VM's records and judges its own leases by
// the local monotonic clock, which is always the stricter judgement.
//
// The design and its limits are in docs/design/orders.md.
package lease
