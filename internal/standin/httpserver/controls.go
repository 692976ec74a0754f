package httpserver

import (
	"net/http"

	"github.com/gorilla/mux"
)

// Paths that every stand-in serves in addition to its protocol.
const (
	FaultsPath = "/standin/faults"
	CountsPath = "/standin/counts"
)

// Controls registers the handlers that get and set faults and get counts. A PUT
// of faults changes only the fields that are present in its body.
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
