package httpserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// The paths that every stand-in serves beside its protocol.
const (
	FaultsPath = "/standin/faults"
	CountsPath = "/standin/counts"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 20

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error string `json:"error"`
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// WriteError answers with an ErrorBody.
func WriteError(w http.ResponseWriter, status int, format string, args ...any) {
	WriteJSON(w, status, ErrorBody{Error: fmt.Sprintf(format, args...)})
}

// ReadJSON decodes a request's body into target. On a bad body it answers 400
// and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(target); err != nil {
		WriteError(w, http.StatusBadRequest, "body: %v", err)
		return false
	}
	return true
}

// Cut ends the connection of a handler without an answer. It does not return.
func Cut() {
	panic(http.ErrAbortHandler)
}

// Sleep waits for d or until ctx is done and reports whether d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Controls adds the paths that switch faults and read counts. A PUT of faults
// changes the fields that its body names and leaves the others.
func Controls[F, C any](router *mux.Router, faults func() F, setFaults func(F), counts func() C) {
	router.HandleFunc(FaultsPath, func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, faults())
	}).Methods(http.MethodGet)
	router.HandleFunc(FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		changed := faults()
		if !ReadJSON(w, r, &changed) {
			return
		}
		setFaults(changed)
		WriteJSON(w, http.StatusOK, changed)
	}).Methods(http.MethodPut)
	router.HandleFunc(CountsPath, func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, counts())
	}).Methods(http.MethodGet)
}
