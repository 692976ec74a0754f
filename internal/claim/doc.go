// Package claim lets a call with an idempotency key execute at most once and
// answers repeats of the key truthfully.
//
// Claims serves calls that may not be repeated. The first claim record of a key
// in the order of the platform's log wins and is never reassigned; the winner
// alone executes. AnswerRegistry serves model answers, whose work may be
// repeated but which are answered once at most; it needs peers but no log.
//
// The design and its limits are in docs/design/claims.md.
package claim
