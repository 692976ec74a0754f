// Package quarantine finds the requests and the parts of prompts that crash engines, so that such
// requests are refused instead of being sent to one engine after the other.
//
// Whenever an engine's process ends, the VMs whose requests it had just begun to answer record
// their identities and the parts of their prompts. What several crashes have in common, and with
// which no answer began without one, is quarantined. VMs share their observations, since
// each of them sees few.
package quarantine
