package logstore

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/standin/httpserver"
)

// retryAfterSeconds is the Retry-After header of a throttled append.
const retryAfterSeconds = "1"

// maxWait limits how long a read waits for records (long poll).
const maxWait = time.Minute

type wireEntry struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

type wireRecord struct {
	Offset uint64 `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	wireEntry
}

type appendBody struct {
	Records []wireEntry `json:"records"`
}

type appendResponse struct {
	FirstOffset uint64 `json:"first_offset"`
	Count       int    `json:"count"`
}

type readResponse struct {
	FirstOffset uint64       `json:"first_offset"`
	NextOffset  uint64       `json:"next_offset"`
	TimeMS      int64        `json:"time_ms"`
	Records     []wireRecord `json:"records"`
}

// Handler serves the store over HTTP.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	records := router.Path("/v1/streams/{stream}/records").Subrouter()
	records.Methods(http.MethodPost).HandlerFunc(s.serveAppend)
	records.Methods(http.MethodGet).HandlerFunc(s.serveRead)
	httpserver.Controls(router, s.Faults, s.SetFaults, s.Counts)
	return router
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	var body appendBody
	if !httpserver.ReadJSON(w, r, &body) {
		return
	}
	if len(body.Records) == 0 {
		httpserver.WriteError(w, http.StatusBadRequest, "records: at least one is needed")
		return
	}
	entries := make([]logservice.Entry, len(body.Records))
	for i, record := range body.Records {
		entries[i] = logservice.Entry(record)
	}
	first, err := s.Append(r.Context(), mux.Vars(r)["stream"], entries)
	if err != nil {
		writeAppendError(w, err)
		return
	}
	httpserver.WriteJSON(w, http.StatusOK, appendResponse{FirstOffset: first, Count: len(entries)})
}

func writeAppendError(w http.ResponseWriter, err error) {
	switch {
	case errorx.IsOfType(err, logservice.Throttled):
		w.Header().Set("Retry-After", retryAfterSeconds)
		httpserver.WriteError(w, http.StatusTooManyRequests, "%v", err)
	case errorx.IsOfType(err, logservice.Outage):
		httpserver.WriteError(w, http.StatusServiceUnavailable, "%v", err)
	default:
		httpserver.AbortConnection()
	}
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, fromErr := parseNumber(query.Get("from"))
	limit, limitErr := parseNumber(query.Get("max"))
	wait, waitErr := parseNumber(query.Get("wait_ms"))
	if fromErr != nil || limitErr != nil || waitErr != nil {
		httpserver.WriteError(w, http.StatusBadRequest, "from, max and wait_ms are non-negative numbers")
		return
	}
	bounded := min(time.Duration(min(wait, uint64(maxWait.Milliseconds())))*time.Millisecond, maxWait)
	page, err := s.Read(r.Context(), mux.Vars(r)["stream"], from, int(min(limit, defaultReadLimit)), bounded)
	if err != nil {
		httpserver.WriteError(w, http.StatusServiceUnavailable, "%v", err)
		return
	}
	httpserver.WriteJSON(w, http.StatusOK, wirePage(page))
}

// parseNumber parses a query value; a missing one counts as 0.
func parseNumber(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 63)
}

func wirePage(page logservice.Page) readResponse {
	response := readResponse{
		FirstOffset: page.FirstOffset,
		NextOffset:  page.NextOffset,
		TimeMS:      page.Time.UnixMilli(),
		Records:     make([]wireRecord, len(page.Records)),
	}
	for i, record := range page.Records {
		response.Records[i] = wireRecord{
			Offset:    record.Offset,
			TimeMS:    record.Time.UnixMilli(),
			wireEntry: wireEntry(record.Entry),
		}
	}
	return response
}
