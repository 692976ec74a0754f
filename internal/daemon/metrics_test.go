package daemon_test

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/examples"
	"github.com/ospreyshed/ospreyshed/internal/caller"
	"github.com/ospreyshed/ospreyshed/internal/daemon"
	"github.com/ospreyshed/ospreyshed/internal/localsite"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startSite starts the quickstart deployment on loopback ports.
func startSite(t *testing.T) *localsite.Site {
	t.Helper()
	bundle, err := localsite.BundleOf("quickstart.json", examples.Quickstart)
	assert.NilError(t, err)
	site, err := localsite.Start(t.Context(), localsite.Options{Bundle: bundle})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, site.Close(context.Background())) })
	return site
}

// book sends a request with an idempotency key, on which the daemon creates the
// registries of keys.
func book(t *testing.T, address string) {
	t.Helper()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := caller.New(address, examples.QuickstartKey, &http.Client{Transport: transport})
	answer, err := client.Do(t.Context(), caller.Request{
		Method: http.MethodPost, Path: "/bookings", Body: []byte(`{}`),
		Key: strconv.FormatInt(time.Now().UnixMilli(), 10) + "-metrics",
	})
	assert.NilError(t, err)
	assert.Assert(t, answer.OK(), "%s", answer.Body)
}

// unpublishedGroups returns the groups of the catalog that a daemon does not publish.
func unpublishedGroups(t *testing.T, vm *daemon.Daemon) []string {
	t.Helper()
	var groups map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal([]byte(vm.Metrics().String()), &groups))
	var missing []string
	for _, group := range metrics.DaemonCatalog() {
		if _, found := groups[group.Name]; !found {
			missing = append(missing, group.Name)
		}
	}
	return missing
}

func TestEveryCounterIsDocumentedAndPublished(t *testing.T) {
	site := startSite(t)
	for _, address := range site.CallerAddrs() {
		book(t, address)
	}
	for _, vm := range site.VMs {
		assert.DeepEqual(t, slices.Concat(vm.Metrics().Undocumented(), vm.Metrics().Unpublished()), []string(nil))
		// The site's peers use no certificates.
		assert.DeepEqual(t, unpublishedGroups(t, vm), []string{"peer_certificates"})
	}
}
