package loopback

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// A process that listens on a port that was found free failed if another process had
// been given the same port of 127.0.0.1 in between.
func TestAPortTakenOnTheCommonAddressLeavesTheDrawnOneFree(t *testing.T) {
	addresses, err := FreeAddresses(t.Context(), ProcessIP(), 4)
	assert.NilError(t, err)
	for _, address := range addresses {
		_, port, err := net.SplitHostPort(address)
		assert.NilError(t, err)
		taken, err := new(net.ListenConfig).Listen(t.Context(), "tcp", net.JoinHostPort("127.0.0.1", port))
		if err == nil {
			defer func() { _ = taken.Close() }()
		}
		drawn, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
		assert.NilError(t, err)
		defer func() { _ = drawn.Close() }()
	}
}

func TestDrawnAddressesAreDistinct(t *testing.T) {
	addresses, err := FreeAddresses(t.Context(), ProcessIP(), 20)
	assert.NilError(t, err)
	seen := make(map[string]bool)
	for _, address := range addresses {
		assert.Assert(t, !seen[address], "%s was drawn twice", address)
		seen[address] = true
	}
}

func TestAnAddressThatIsNotOfThisMachineIsReported(t *testing.T) {
	_, err := FreeAddresses(t.Context(), "192.0.2.1", 1)
	assert.ErrorContains(t, err, "no free port on 192.0.2.1")
}
