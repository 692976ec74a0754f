package cli

import (
	"context"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/configuration/peersync"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/peer/peertest"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice/logtest"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
	"github.com/ospreyshed/ospreyshed/internal/timeline/timelinerpc"
)

// startVM serves events and configuration to peers with certificates. Its
// certificate contains only its name, not its address.
func startVM(t *testing.T, authority *peertest.Authority, store *configuration.Store) string {
	t.Helper()
	certificates, err := peer.LoadCertificates("vm-1", authority.Files(t, "vm-1"), logrus.New())
	assert.NilError(t, err)
	view := membership.Static{This: membership.Member{VM: "vm-1", Zone: "zone-a"}}
	server, err := peer.NewServer(
		peer.Options{Listen: "127.0.0.1:0", Certificates: certificates},
		timelinerpc.NewHandler(timeline.NewRing("vm-1", 1, 8)),
		peersync.NewServer(store, view).Handler(),
	)
	assert.NilError(t, err)
	assert.NilError(t, server.Start())
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	return server.Addr().String()
}

func TestCommandsAuthenticate(t *testing.T) {
	log := logtest.New(logtest.Options{})
	store := configuration.NewStore(timeline.Discard)
	go func() { _ = store.Follow(t.Context(), log) }()
	authority := peertest.NewAuthority(t)
	vm := startVM(t, authority, store)
	files := authority.Files(t, "operator")
	publish := []string{"configuration", "publish", writeBundle(t), "--log", serve(t, logtest.Handler(log)), "--vm", vm, "--wait"}
	for _, arguments := range [][]string{{"timeline", "--vm", vm}, publish} {
		code, out := runMain(append(arguments, "--certificate", files.Certificate, "--key", files.Key, "--ca", files.CA)...)
		assert.Equal(t, code, ExitOK, out)
	}
	code, _ := runMain("timeline", "--vm", vm)
	assert.Equal(t, code, ExitFailed)
	code, _ = runMain(append(publish, "--ca", files.CA)...)
	assert.Equal(t, code, ExitUsage)
}
