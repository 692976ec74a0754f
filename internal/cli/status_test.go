package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ospreyshed/ospreyshed/examples"
	"github.com/ospreyshed/ospreyshed/internal/localsite"
	"github.com/ospreyshed/ospreyshed/internal/standin/logstore"
)

func TestStatusShowsEntryVMsAndFailsForAStoppedOne(t *testing.T) {
	bundle, err := localsite.BundleOf("quickstart.json", examples.Quickstart)
	assert.NilError(t, err)
	site, err := localsite.Start(t.Context(), localsite.Options{Bundle: bundle})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, site.Close(context.Background())) }()
	address := site.VMs["entry-a"].PeerAddr()
	var out, errs bytes.Buffer
	streams := Streams{In: strings.NewReader(""), Out: &out, Err: &errs}

	assert.Equal(t, Main(t.Context(), []string{"status", "--vm", address, "--json"}, streams), ExitOK, "%s", errs.String())
	var all []vmStatus
	assert.NilError(t, json.Unmarshal(out.Bytes(), &all))
	assert.Equal(t, len(all), 1)
	assert.Equal(t, all[0].VM, "entry-a")
	assert.Equal(t, all[0].Versions["fleet"], uint64(1))
	assert.Assert(t, all[0].Serving && !all[0].LogUnavailable)

	site.Platform.Log.SetFaults(logstore.Faults{Outage: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		out.Reset()
		assert.Equal(t, Main(t.Context(), []string{"status", "--vm", address, "--json"}, streams), ExitOK)
		assert.NilError(t, json.Unmarshal(out.Bytes(), &all))
		if !all[0].LogUnavailable {
			return poll.Continue("the outage of the log is not shown")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))

	assert.NilError(t, site.StopVM(context.Background(), "entry-a"))
	out.Reset()
	assert.Equal(t, Main(t.Context(), []string{"status", "--vm", address}, streams), ExitFailed)
	assert.Assert(t, strings.Contains(out.String(), address))
}
