// Package quarantine finds the parts of prompts that crash engines, so that requests with
// such a part are refused instead of being sent to one engine after the other.
//
// Whenever an engine's process ends, the VMs whose requests it had just begun to answer
// record the parts of their prompts. A part that several crashes have in common, and with
// which no answer began without one, is quarantined. VMs share their observations, since
// each of them sees few.
package quarantine
