package httpserver

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 64 << 20

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
}

// WriteJSON writes a response with a JSON body.
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

// WriteError writes a response with an ErrorBody.
func WriteError(w http.ResponseWriter, status int, format string, args ...any) {
	WriteJSON(w, status, ErrorBody{Error: fmt.Sprintf(format, args...)})
}

// ReadJSON decodes a request's body into target. If the body is malformed, it
// responds with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(target); err != nil {
		WriteError(w, http.StatusBadRequest, "body: %v", err)
		return false
	}
	return true
}

// AbortConnection closes the connection of a handler without completing
// the response. It panics, so it does not return.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
