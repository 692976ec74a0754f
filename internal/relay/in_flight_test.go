package relay

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// A stop that ends before a request does must be able to name it.
func TestRequestIsInFlightUntilItsAnswer(t *testing.T) {
	s := newFixture(t)
	var during []InFlight
	s.endpoint("d1", "desk", "", func(w http.ResponseWriter, r *http.Request) {
		during = s.relay.InFlight()
		answers(http.StatusOK, "whole")(w, r)
	})
	s.serve(lookup, nil)
	assert.Equal(t, len(during), 1)
	assert.Equal(t, during[0].ID, "r1")
	assert.Equal(t, during[0].Route, lookup.Name)
	assert.Assert(t, during[0].Sent)
	assert.Equal(t, len(s.relay.InFlight()), 0)
}
