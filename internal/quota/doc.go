// Package quota keeps the requests of each team within the team's quota over all entry VMs
// together.
//
// One VM, the owner, has a token bucket per team and leases credit from it to the others. What a
// VM may give out follows from its own view, so that VMs whose views differ do not give out the
// quota several times: see the ledger. The design is in docs/design/quotas.md.
//
// The package is made for 400 VMs, 1,100 teams and 1,200 requests a second, and for one team at
// ten times its limit.
package quota
