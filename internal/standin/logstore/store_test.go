package logstore

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func entries(ids ...string) []logservice.Entry {
	made := make([]logservice.Entry, len(ids))
	for i, id := range ids {
		made[i] = logservice.Entry{ID: id, Data: []byte("data of " + id)}
	}
	return made
}

// ids returns the ids of the records of stream "s" from an offset on, without
// waiting for records.
func ids(t *testing.T, s *Store, from uint64, limit int) string {
	page, err := s.Read(t.Context(), "s", from, limit, 0)
	assert.NilError(t, err)
	var found []string
	for _, record := range page.Records {
		found = append(found, record.ID)
	}
	return strings.Join(found, " ")
}

func TestRecordsGetConsecutiveOffsets(t *testing.T) {
	s := New(Options{})
	defer s.Close()
	first, err := s.Append(t.Context(), "s", entries("a", "b"))
	assert.NilError(t, err)
	assert.Equal(t, first, uint64(0))
	first, err = s.Append(t.Context(), "s", entries("c"))
	assert.NilError(t, err)
	assert.Equal(t, first, uint64(2))
	assert.Equal(t, ids(t, s, 0, 0), "a b c")
	assert.Equal(t, ids(t, s, 1, 1), "b")
	assert.Equal(t, ids(t, s, 3, 0), "")
	page, err := s.Read(t.Context(), "unknown", 0, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.NextOffset, uint64(0))
}

func TestAppendsAboveTheLimitAreThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{AppendsPerSecond: 10, Burst: 2})
		defer s.Close()
		appendUntilThrottled := func() (appended int) {
			for {
				_, err := s.Append(t.Context(), "s", entries("a", "b", "c"))
				if err != nil {
					assert.Assert(t, errorx.IsOfType(err, logservice.Throttled))
					return appended
				}
				appended++
			}
		}
		assert.Equal(t, appendUntilThrottled(), 2)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, appendUntilThrottled(), 1)
		assert.Equal(t, s.Counts(), Counts{Appends: 3, Records: 9, Throttled: 2})
	})
}

func TestOldRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Retention: configuration.Duration(time.Minute)})
		defer s.Close()
		for _, id := range []string{"a", "b"} {
			_, err := s.Append(t.Context(), "s", entries(id))
			assert.NilError(t, err)
			time.Sleep(40 * time.Second)
		}
		page, err := s.Read(t.Context(), "s", 0, 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, page.FirstOffset, uint64(1))
		assert.Equal(t, page.NextOffset, uint64(2))
		assert.Equal(t, page.Records[0].ID, "b")
	})
}

func TestReadWaitsForARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		defer s.Close()
		time.AfterFunc(time.Second, func() { _, _ = s.Append(context.Background(), "s", entries("a")) })
		started := time.Now()
		page, err := s.Read(t.Context(), "s", 0, 0, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Records), 1)
		assert.Equal(t, time.Since(started), time.Second)
		page, err = s.Read(t.Context(), "s", 1, 0, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Records), 0)
		assert.Equal(t, time.Since(started), time.Second+time.Minute)
	})
}

func TestDelayedAppendTakesEffectAfterItsLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		defer s.Close()
		s.SetFaults(Faults{LoseNextAnswers: 1, EffectDelay: configuration.Duration(time.Second)})
		_, err := s.Append(t.Context(), "s", entries("a"))
		assert.Assert(t, errorx.IsOfType(err, logservice.InDoubt))
		assert.Equal(t, ids(t, s, 0, 0), "")
		_, err = s.Append(t.Context(), "s", entries("b"))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, ids(t, s, 0, 0), "b a")
	})
}

func TestAppendTakesEffectAfterItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		defer s.Close()
		s.SetFaults(Faults{Latency: configuration.Duration(2 * time.Second)})
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := s.Append(ctx, "s", entries("a"))
		assert.Assert(t, errorx.IsOfType(err, logservice.InDoubt))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, ids(t, s, 0, 0), "a")
	})
}

func TestOutageEndsLongPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		defer s.Close()
		time.AfterFunc(time.Second, func() { s.SetFaults(Faults{Outage: true}) })
		started := time.Now()
		_, err := s.Read(t.Context(), "s", 0, 0, time.Hour)
		assert.Assert(t, errorx.IsOfType(err, logservice.Unreadable))
		assert.Equal(t, time.Since(started), time.Second)
		_, err = s.Append(t.Context(), "s", entries("a"))
		assert.Assert(t, errorx.HasTrait(err, logservice.NotAppended))
		s.SetFaults(Faults{})
		assert.Equal(t, ids(t, s, 0, 0), "")
	})
}

// doCall sends a request to a server and returns status, Retry-After and body.
func doCall(t *testing.T, server *Server, method, path, body string) (status int, retryAfter, responseBody string, err error) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+server.Addr()+path, strings.NewReader(body))
	assert.NilError(t, err)
	response, err := client.Do(request)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("Retry-After"), string(content), err
}

const recordsPath = "/v1/streams/zone-a/records"

func TestWireFormat(t *testing.T) {
	server, err := Start("127.0.0.1:0", Options{AppendsPerSecond: 1e-9, Burst: 1})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, server.Close()) }()
	body := `{"records": [{"id": "vm-1.17.4", "data": "aGk="}, {"id": "vm-1.17.5", "data": ""}]}`
	status, _, responseBody, err := doCall(t, server, http.MethodPost, recordsPath, body)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, responseBody, `{"first_offset":0,"count":2}`)
	status, retryAfter, _, err := doCall(t, server, http.MethodPost, recordsPath, body)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusTooManyRequests)
	assert.Equal(t, retryAfter, "1")
	_, _, responseBody, err = doCall(t, server, http.MethodGet, recordsPath+"?from=0&max=1&wait_ms=1000", "")
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(responseBody, `{"first_offset":0,"next_offset":2,"time_ms":`), responseBody)
	assert.Assert(t, strings.HasSuffix(responseBody, `,"id":"vm-1.17.4","data":"aGk="}]}`), responseBody)
	for _, bad := range []struct{ method, path, body string }{
		{http.MethodPost, recordsPath, `{"records": []}`},
		{http.MethodPost, recordsPath, `{`},
		{http.MethodGet, recordsPath + "?from=-1", ""},
	} {
		status, _, _, err = doCall(t, server, bad.method, bad.path, bad.body)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusBadRequest)
	}
}

func TestFaultsAreSwitchedOverHTTP(t *testing.T) {
	server, err := Start("127.0.0.1:0", Options{})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, server.Close()) }()
	record := `{"records": [{"id": "a", "data": ""}]}`
	_, _, _, err = doCall(t, server, http.MethodPut, "/standin/faults", `{"lose_next_answers": 1, "latency": "2ns"}`)
	assert.NilError(t, err)
	_, _, _, err = doCall(t, server, http.MethodPost, recordsPath, record)
	assert.Assert(t, err != nil)
	// A later change leaves the other faults as they are.
	_, _, responseBody, err := doCall(t, server, http.MethodPut, "/standin/faults", `{"outage": true}`)
	assert.NilError(t, err)
	assert.Equal(t, responseBody, `{"outage":true,"lose_answers":0,"lose_next_answers":0,"effect_delay":"0s","latency":"2ns"}`)
	status, _, _, err := doCall(t, server, http.MethodPost, recordsPath, record)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	_, _, responseBody, err = doCall(t, server, http.MethodGet, "/standin/counts", "")
	assert.NilError(t, err)
	assert.Equal(t, responseBody, `{"appends":1,"records":1,"throttled":0,"refused_by_outage":1,"answers_lost":1,"reads":0}`)
}
