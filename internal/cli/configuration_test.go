package cli

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/configuration/peersync"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice/logtest"
	"github.com/ospreyshed/ospreyshed/internal/team"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

const bundleFile = `{
  "format": 1,
  "fleet": {
    "zones": [{"name": "zone-a"}],
    "vms": [], "endpoints": [], "models": [],
    // Periods.
    "times": {"balancer_lag": "5s", "drain_limit": "1m", "log_retention": "1h", "key_window": "10m", "clock_skew": "1s"},
  },
  "teams": [{
    "name": "a", "classes": [], "weights": {"goodput": 1, "wasted_prefill": 0}, "share": 1,
    "key_digests": ["` + "DIGEST" + `"],
  }],
}`

// writeBundle writes the bundle file with replacements and returns its path.
func writeBundle(t *testing.T, replacements ...string) string {
	t.Helper()
	replacements = append(replacements, "DIGEST", team.DigestOf("key").String())
	path := filepath.Join(t.TempDir(), "bundle.json")
	content := strings.NewReplacer(replacements...).Replace(bundleFile)
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// serve serves a handler over HTTP/1.1 and HTTP/2 without encryption, as the log and
// entry VMs without certificates do.
func serve(t *testing.T, handler http.Handler) (address string) {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestConfigurationIsPublishedAndShown(t *testing.T) {
	log := logtest.New(logtest.Options{})
	address := serve(t, logtest.Handler(log))
	store := configuration.NewStore(timeline.Discard)
	view := membership.Static{This: membership.Member{VM: "vm-1", Zone: "zone-a"}}
	vm := serve(t, peersync.NewServer(store, view).Handler().Handler)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = store.Follow(ctx, log) }()

	code, out := runMain("configuration", "publish", writeBundle(t), "--log", address, "--vm", vm, "--wait", "--publisher", "alice")
	assert.Equal(t, code, ExitOK, out)
	assert.Assert(t, strings.HasPrefix(out, "accepted: fleet version 1\naccepted: team/a version 1\nin force: vm-1 in zone-a after "), out)
	code, out = runMain("configuration", "show", "--log", address)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, out, "fleet version 1 by alice\nteam/a version 1 by alice\n")
	code, out = runMain("configuration", "show", "--json", "--log", address)
	assert.Equal(t, code, ExitOK)
	shown, err := configuration.ParseBundle("shown", []byte(out))
	assert.NilError(t, err)
	assert.DeepEqual(t, shown.BasedOn, map[string]uint64{"fleet": 1, "team/a": 1})
}

func TestRefusedPublishShowsTheWinner(t *testing.T) {
	address := serve(t, logtest.Handler(logtest.New(logtest.Options{})))
	publish := func(publisher string, replacements ...string) (int, string) {
		return runMain("configuration", "publish", writeBundle(t, replacements...), "--log", address, "--publisher", publisher)
	}
	code, _ := publish("alice")
	assert.Equal(t, code, ExitOK)
	code, _ = publish("alice", `"share": 1`, `"share": 2`)
	assert.Equal(t, code, ExitOK)
	code, out := publish("bob", `"share": 1`, `"share": 3`, `"teams"`, `"based_on": {"team/a": 1}, "teams"`)
	assert.Equal(t, code, ExitFailed)
	assert.Equal(t, out, "refused: team/a is at version 2 by alice\n  share: in force 2, yours 3\n")
	code, out = runMain("configuration", "history", "--log", address)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, strings.Count(out, "\n"), 3)
	assert.Assert(t, strings.HasSuffix(out, " publish team/a version 2 by alice: accepted\n"), out)
}

func TestInvalidFileIsAUsageError(t *testing.T) {
	address := serve(t, logtest.Handler(logtest.New(logtest.Options{})))
	code, _ := runMain("configuration", "publish", writeBundle(t, `"1h"`, `"1m"`), "--log", address)
	assert.Equal(t, code, ExitUsage)
	code, _ = runMain("configuration", "publish", "--log", address)
	assert.Equal(t, code, ExitUsage)
	code, _ = runMain("configuration", "show")
	assert.Equal(t, code, ExitUsage)
}

func TestWaitNamesTheVMsThatDidNotConfirm(t *testing.T) {
	address := serve(t, logtest.Handler(logtest.New(logtest.Options{})))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	// The command is cancelled during its second poll.
	polls := 0
	vm := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/InForce") {
			polls++
		}
		if polls == 2 {
			cancel()
		}
		w.WriteHeader(http.StatusNotFound)
	}))
	var out, errs strings.Builder
	code := Main(ctx, []string{
		"configuration", "publish", writeBundle(t), "--log", address, "--vm", vm, "--wait",
	}, Streams{Out: &out, Err: &errs})
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(errs.String(), "not known to be in force at the VMs at "+vm), errs.String())
	assert.Assert(t, strings.HasPrefix(out.String(), "accepted: "), out.String())
}
