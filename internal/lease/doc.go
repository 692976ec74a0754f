// Package lease gives one entry VM at a time the right to send orders to the
// engines of a model in an availability zone.
//
// Leases are records in one stream of the platform's log. Fold replays the
// records and decides by the log's order and the log's clock which VM holds a
// lease; it is a pure function of the records. Manager appends this VM's records
// and additionally expires this VM's grants by the local monotonic clock: a grant
// always ends here before its lease ends on the log.
//
// The design and its limits are in docs/design/orders.md.
package lease
