// Package claim makes a call with an idempotency key execute at most once and
// reports the actual outcome to repeats of the key.
//
// Claims handles calls that must not be executed twice. The first claim record
// of a key in the order of the platform's log wins and is never reassigned;
// only its writer may execute the call. AnswerRegistry handles model answers:
// the computation may be repeated, but at most one answer per key is sent to a
// caller. It depends on other entry VMs but not on the log.
//
// The design and its limits are in docs/design/claims.md.
package claim
