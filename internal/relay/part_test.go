package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
)

// captureLog returns a function that ends the fixture's log and returns some fields of its lines
// with a message.
func (s *fixture) captureLog() func(message string, fields ...string) []string {
	var output bytes.Buffer
	log := decisionlog.New(&output, nil)
	s.relay.options.Log = log
	return func(message string, fields ...string) []string {
		log.Close()
		var found []string
		for line := range strings.Lines(output.String()) {
			var entry map[string]any
			assert.NilError(s.t, json.Unmarshal([]byte(line), &entry))
			if entry["msg"] != message {
				continue
			}
			var values []string
			for _, field := range fields {
				values = append(values, fmt.Sprint(entry[field]))
			}
			found = append(found, strings.Join(values, " "))
		}
		return found
	}
}

// Guards against log lines that do not name the events of each engine, nor whether the end of its answer
// differs from a truncation.
func TestLogNamesThePartOfEachEngine(t *testing.T) {
	fields := []string{"framing", "part_events", "part_first", "part_last"}
	for _, c := range []struct {
		name            string
		decode          func(http.ResponseWriter, *http.Request)
		message, logged string
	}{
		{"cut", cutAfter(2), "stream cut", "chunks 2 1 2"},
		{"continued", cutAfter(2), "stream complete", "length 1 3 3"},
		{"whole", events(3), "stream complete", "length 3 1 3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
			logged := s.captureLog()
			s.engines(answers(http.StatusOK, "h1"), c.decode)
			s.serve(check, work)
			assert.DeepEqual(t, logged(c.message, fields...), []string{c.logged})
		})
	}
	s := newFixture(t, grant("p1", "e1"))
	logged := s.captureLog()
	s.engines(answers(http.StatusOK, "h1"), s.unframed("id: 1\ndata: t\n\nid: 2\nda", closed))
	s.serve(dossier, work)
	assert.DeepEqual(t, logged("stream broken", fields...), []string{"connection 1 1 1"})
}
