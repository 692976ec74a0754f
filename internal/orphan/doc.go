// Package orphan cancels the engine work of entry VMs that are gone.
//
// When a member is gone, or a newer process has replaced it under the same
// name, the surviving VMs cancel all attempts of its incarnation on every
// engine. Rendezvous hashing assigns two survivors to each engine: the first
// cancels at once, the second after a delay. Cancels are idempotent, so
// differing membership views cost at most one extra call. A cancel is retried
// until the engine acknowledges it, the engine has left the configuration, the
// member turns out to be alive, or maxRetryDuration has passed.
package orphan
