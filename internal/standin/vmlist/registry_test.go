package vmlist

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	platform "github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func vm(name string) platform.VM {
	return platform.VM{Name: name, Address: "127.0.0.1:1", Zone: "zone-a", State: platform.Live}
}

// shown returns the names that a registry lists; "!" follows the name of a
// leaving VM.
func shown(t *testing.T, r *Registry) string {
	list, err := r.List(t.Context())
	assert.NilError(t, err)
	var names []string
	for _, listed := range list.VMs {
		name := listed.Name
		if listed.State == platform.Leaving {
			name += "!"
		}
		names = append(names, name)
	}
	return strings.Join(names, " ")
}

func TestChangesAreListedAfterTheLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Options{Lag: configuration.Duration(2 * time.Second), VMs: []platform.VM{vm("b")}})
		assert.Equal(t, shown(t, r), "b")
		time.Sleep(time.Minute)
		r.Set(vm("a"))
		time.Sleep(time.Second)
		r.SetState("b", platform.Leaving)
		r.SetState("absent", platform.Leaving)
		assert.Equal(t, shown(t, r), "b")
		time.Sleep(time.Second)
		assert.Equal(t, shown(t, r), "a b")
		time.Sleep(time.Second)
		assert.Equal(t, shown(t, r), "a b!")
		r.Remove("b")
		time.Sleep(2 * time.Second)
		assert.Equal(t, shown(t, r), "a")
	})
}

func TestStaleListDoesNotChange(t *testing.T) {
	r := New(Options{VMs: []platform.VM{vm("a")}})
	r.SetFaults(Faults{Stale: true})
	r.Set(vm("b"))
	r.SetFaults(Faults{Stale: true, Latency: 1})
	assert.Equal(t, shown(t, r), "a")
	r.SetFaults(Faults{})
	assert.Equal(t, shown(t, r), "a b")
	r.SetFaults(Faults{Outage: true})
	_, err := r.List(t.Context())
	assert.ErrorContains(t, err, "the list of VMs is away")
}

func TestWireFormat(t *testing.T) {
	server, err := Start("127.0.0.1:0", Options{VMs: []platform.VM{vm("a")}})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, server.Close()) }()
	call := func(method, path, body string) *http.Response {
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+server.Addr()+path, strings.NewReader(body))
		assert.NilError(t, err)
		request.Close = true
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		return response
	}
	assert.NilError(t, call(http.MethodPut, "/standin/vms/b", `{"zone": "zone-b", "state": "leaving"}`).Body.Close())
	assert.NilError(t, call(http.MethodDelete, "/standin/vms/a", "").Body.Close())
	response := call(http.MethodGet, "/v1/vms", "")
	defer func() { _ = response.Body.Close() }()
	var list listResponse
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&list))
	assert.DeepEqual(t, list.VMs, []platform.VM{{Name: "b", Zone: "zone-b", State: platform.Leaving}})
	assert.Assert(t, list.TimeMS > 0)
}
