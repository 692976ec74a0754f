package openai

import "testing"

// newClient returns a client with connections of its own.
func newClient(t *testing.T, address string) *Client {
	t.Helper()
	connections := NewUpstream()
	t.Cleanup(connections.Close)
	return New(address, connections)
}
