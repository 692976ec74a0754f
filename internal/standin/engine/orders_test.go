package engine

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

var toPrefill = Desired{Role: configuration.RolePrefill, Model: "drafter", Version: "2"}

func TestOrderIsInForceAfterItsDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions(configuration.RoleDecode).withDefaults()
		o.OrderDuration = configuration.Duration(time.Minute)
		e := New(o)
		defer e.Close()
		order := Order{Fencing: 5, OrderID: "a", Desired: toPrefill}
		for range 2 {
			state, _ := e.Order(order)
			assert.Equal(t, state, OrderAccepted)
		}
		assert.Assert(t, e.State().Busy)
		assert.Equal(t, e.State().Role, configuration.RoleDecode)
		err := e.admit(testAttempt(1, 0, o), o.Model, configuration.RoleDecode)
		assert.Assert(t, errorx.IsOfType(err, Busy))
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Assert(t, !e.State().Busy)
		assert.Equal(t, e.State().Role, configuration.RolePrefill)
		assert.NilError(t, e.admit(testAttempt(1, 0, o), o.Model, configuration.RolePrefill))
		state, _ := e.Order(order)
		assert.Equal(t, state, OrderInForce)
		assert.DeepEqual(t, e.Counts().OrdersAccepted, []string{"a"})
	})
}

func TestStaleFencingNumberIsRefusedOnlyWhenChecked(t *testing.T) {
	for _, checks := range []bool{false, true} {
		p := startPair(t, func(_, decode *Options) { decode.ChecksFencing = checks })
		var response orderResponse
		p.postJSON(p.decode, "/v1/orders", "", Order{Fencing: 5, OrderID: "new", Desired: toPrefill}, &response)
		assert.Equal(t, response.State, OrderAccepted)
		status := p.status(p.decode, "/v1/orders", "", Order{Fencing: 4, OrderID: "old", Desired: toPrefill})
		var state State
		p.callJSON(p.decode, http.MethodGet, "/v1/state", &state)
		assert.Equal(t, state.ChecksFencing, checks)
		if checks {
			assert.Equal(t, status, http.StatusConflict)
			assert.Equal(t, state.Fencing, uint64(5))
			assert.Equal(t, p.decode.Counts().OrdersStale, 1)
		} else {
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, state.Fencing, uint64(4))
		}
	}
}
