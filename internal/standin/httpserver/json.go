package httpserver

import (
	"encoding/json"
	"fmt"
	"net/http"
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

// AbortConnection ends the connection of a handler without an answer. It does not return.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
