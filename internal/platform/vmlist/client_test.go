package vmlist

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

const (
	firstEntry = `{"name":"engine-1","address":"127.0.0.1:9101","zone":"a","state":"live"}`
	lastEntry  = `{"name":"engine-2","address":"127.0.0.1:9102","zone":"a","state":"leaving"}`
)

// nested returns lists within each other.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddEntries are entries that cannot be used.
func oddEntries() []string {
	const veryDeep = 20_000
	odd := []string{
		nested(veryDeep), strings.Repeat(`{"name":`, veryDeep) + "1" + strings.Repeat("}", veryDeep),
		"1e400", "99999999999999999999", `"engine-3"`, "null", "{}", "[]",
		`{"address":"127.0.0.1:9103","zone":"a","state":"live"}`,
	}
	for _, value := range []string{
		nested(veryDeep), "1e400", `"127.0.0.1:65536"`, `"127.0.0.1:99999"`, `"127.0.0.1:-1"`, `"127.0.0.1:0"`, `"127.0.0.1"`, `"engine-3:80"`,
	} {
		odd = append(odd, fmt.Sprintf(`{"name":"engine-3","address":%s,"zone":"a","state":"live"}`, value))
	}
	return append(odd, `{"name":7,"address":"127.0.0.1:9103","zone":"a","state":"live"}`, `{"name":"engine-3","address":"127.0.0.1:9103","other":`+nested(veryDeep)+`}`)
}

// list serves a response and returns what a client makes of it.
func list(t *testing.T, response string) (List, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, response) }))
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	return NewClient(server.URL, transport).List(t.Context())
}

// Guards against an entry of another writer because of which the VM no longer follows the list.
func TestOddEntryCostsItsOwnVMOnly(t *testing.T) {
	for _, odd := range oddEntries() {
		got, err := list(t, `{"other":`+nested(3)+`,"time_ms": 1780000000000, "vms": [`+firstEntry+", "+odd+","+lastEntry+`]}`)
		assert.NilError(t, err, "%.60s", odd)
		assert.Equal(t, got.Time.UnixMilli(), int64(1780000000000))
		assert.DeepEqual(t, got.VMs, []VM{{"engine-1", "127.0.0.1:9101", "a", Live}, {"engine-2", "127.0.0.1:9102", "a", Leaving}})
	}
}

// Guards against a response that breaks off, or is no list, and empties the list of VMs.
func TestResponseThatIsNoListIsRefused(t *testing.T) {
	whole := `{"time_ms":1,"vms":[` + firstEntry + `]}`
	for cut := range len(whole) {
		_, err := list(t, whole[:cut])
		assert.Assert(t, err != nil, "%q", whole[:cut])
	}
	for _, text := range []string{"null", "[]", "{}", `{"time_ms":1}`, `{"vms":null}`, `{"vms":{}}`, `{"time_ms":"1","vms":[]}`, "1e400", `{"vms":[}`} {
		_, err := list(t, text)
		assert.Assert(t, err != nil, "%q", text)
	}
	got, err := list(t, whole)
	assert.NilError(t, err)
	assert.Equal(t, len(got.VMs), 1)
}

// eventCount counts events.
type eventCount struct{ events []string }

func (c *eventCount) Record(_ timeline.Kind, _, detail string) { c.events = append(c.events, detail) }

// listsOf returns lists one after the other.
type listsOf struct{ lists []List }

func (l *listsOf) List(context.Context) (List, error) {
	next := l.lists[0]
	l.lists = l.lists[1:]
	return next, nil
}

// Guards against an odd entry that is not reported, or again at each fetch, or not once it is odd again.
func TestOddEntryIsReportedOnce(t *testing.T) {
	odd, sound := List{Unusable: []string{"odd"}}, List{}
	lists := []List{odd, odd, odd, sound, odd}
	var count eventCount
	poller := NewPoller(&listsOf{lists}, &count)
	for range lists {
		poller.poll(t.Context())
	}
	assert.DeepEqual(t, count.events, []string{"odd", "odd"})
	assert.Equal(t, poller.Counters.Unusable.Load(), int64(2))
}
