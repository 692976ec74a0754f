package logtest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

type entry struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

type record struct {
	entry
	Offset     uint64 `json:"offset"`
	TimeMillis int64  `json:"time_ms"`
}

// Handler serves service over HTTP with the log's wire protocol.
func Handler(service logservice.Service) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/streams/{stream}/records", func(w http.ResponseWriter, r *http.Request) {
		serveAppend(service, w, r)
	}).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{stream}/records", func(w http.ResponseWriter, r *http.Request) {
		serveRead(service, w, r)
	}).Methods(http.MethodGet)
	return router
}

func serveAppend(service logservice.Service, w http.ResponseWriter, r *http.Request) {
	var body struct {
		Records []entry `json:"records"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	entries := make([]logservice.Entry, len(body.Records))
	for i, e := range body.Records {
		entries[i] = logservice.Entry(e)
	}
	first, err := service.Append(r.Context(), mux.Vars(r)["stream"], entries)
	if err != nil {
		serveError(w, err)
		return
	}
	serveJSON(w, map[string]any{"first_offset": first, "count": len(entries)})
}

func serveError(w http.ResponseWriter, err error) {
	switch {
	case errorx.IsOfType(err, logservice.Throttled):
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
	case errorx.HasTrait(err, logservice.NotAppended), errorx.IsOfType(err, logservice.Unreadable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func serveRead(service logservice.Service, w http.ResponseWriter, r *http.Request) {
	number := func(name string) int64 {
		value, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
		return value
	}
	wait := time.Duration(number("wait_ms")) * time.Millisecond
	page, err := service.Read(r.Context(), mux.Vars(r)["stream"], uint64(number("from")), int(number("max")), wait)
	if err != nil {
		serveError(w, err)
		return
	}
	records := make([]record, len(page.Records))
	for i, kept := range page.Records {
		records[i] = record{entry(kept.Entry), kept.Offset, kept.Time.UnixMilli()}
	}
	serveJSON(w, map[string]any{
		"first_offset": page.FirstOffset, "next_offset": page.NextOffset,
		"time_ms": page.Time.UnixMilli(), "records": records,
	})
}

func serveJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
