package engine

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/standin/ctxtime"
	"github.com/ospreyshed/ospreyshed/internal/standin/httpserver"
)

// leavingHeader marks the responses of a leaving engine that reject an attempt.
const leavingHeader = "Ospreyshed-Leaving"

// handler serves an Engine over HTTP.
type handler struct {
	engine *Engine
	// host and port are the engine's own address for the KV transfer parameters.
	host string
	port int
}

// routes returns the handler of all paths.
func (h *handler) routes() http.Handler {
	router := mux.NewRouter()
	httpserver.Controls(router, h.engine.Faults, h.engine.SetFaults, h.engine.Counts)
	router.HandleFunc(kvPath, h.serveKV).Methods(http.MethodPost)
	protocol := router.PathPrefix("/v1").Subrouter()
	protocol.Use(h.abortWhenDown)
	protocol.HandleFunc("/completions", h.serveText).Methods(http.MethodPost)
	protocol.HandleFunc("/chat/completions", h.serveChat).Methods(http.MethodPost)
	protocol.HandleFunc("/requests/{id}/cancel", h.serveCancel).Methods(http.MethodPost)
	protocol.HandleFunc("/incarnations/{vm}/{incarnation}/cancel", h.serveCancelIncarnation).Methods(http.MethodPost)
	if !h.engine.options.HideLoad {
		protocol.HandleFunc("/load", h.serveLoad).Methods(http.MethodGet)
	}
	protocol.HandleFunc("/state", h.serveState).Methods(http.MethodGet)
	protocol.HandleFunc("/orders", h.serveOrder).Methods(http.MethodPost)
	protocol.HandleFunc("/cache/events", h.serveEvents).Methods(http.MethodGet)
	return httpserver.RepeatRequestID(router)
}

func (h *handler) abortWhenDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.engine.Faults().Down {
			httpserver.AbortConnection()
		}
		next.ServeHTTP(w, r)
	})
}

func (h *handler) serveText(w http.ResponseWriter, r *http.Request) { h.serve(w, r, false) }

func (h *handler) serveChat(w http.ResponseWriter, r *http.Request) { h.serve(w, r, true) }

func (h *handler) serve(w http.ResponseWriter, r *http.Request, chat bool) {
	call, err := parseCompletion(r, chat)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	a, err := call.attempt(&h.engine.options)
	if err == nil {
		err = h.engine.admit(a, call.body.Model, call.role)
	}
	if err != nil {
		writeRefusal(w, err)
		return
	}
	if call.role == configuration.RolePrefill {
		h.servePrefill(w, r, call, a)
		return
	}
	h.serveDecode(w, r, call, a)
}

// writeRefusal writes the response to a rejected attempt.
func writeRefusal(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	switch {
	case errorx.IsOfType(err, Leaving):
		w.Header().Set(leavingHeader, strconv.FormatBool(true))
		status = http.StatusServiceUnavailable
	case errorx.IsOfType(err, UnknownModel):
		status = http.StatusNotFound
	case errorx.IsOfType(err, Cancelled):
		status = http.StatusConflict
	case errorx.IsOfType(err, Evicted):
		status = http.StatusGone
	case errorx.IsOfType(err, Busy):
		status = http.StatusTooManyRequests
	}
	httpserver.WriteError(w, status, "%v", err)
}

// writeEnded responds to a call whose attempt ended before its response began. The
// connection is closed unless the attempt was ended by a cancel call.
func (h *handler) writeEnded(w http.ResponseWriter, a *attempt) {
	<-a.ended
	if a.cause != causeCancelled {
		httpserver.AbortConnection()
	}
	httpserver.WriteError(w, http.StatusConflict, "attempt %s was cancelled", a.id)
}

func (h *handler) servePrefill(w http.ResponseWriter, r *http.Request, call *completion, a *attempt) {
	result, ok := h.engine.prefill(r.Context(), a)
	if !ok {
		h.writeEnded(w, a)
		return
	}
	if !ctxtime.Sleep(r.Context(), result.responseDelay) {
		httpserver.AbortConnection()
	}
	httpserver.WriteJSON(w, http.StatusOK, h.prefillResponse(call, &result))
}

func (h *handler) serveDecode(w http.ResponseWriter, r *http.Request, call *completion, a *attempt) {
	err := h.engine.importKV(r.Context(), a, call.source())
	if err != nil || !h.engine.join(a) {
		h.writeNotImported(w, a, err)
		return
	}
	s := newStream(h.engine, a, call.chat, w)
	if !s.run(r.Context()) {
		httpserver.AbortConnection()
	}
}

// writeNotImported responds to a decode call whose attempt ended before its stream
// began.
func (h *handler) writeNotImported(w http.ResponseWriter, a *attempt, err error) {
	<-a.ended
	if a.cause == causeRefused {
		writeRefusal(w, err)
		return
	}
	h.writeEnded(w, a)
}

func (h *handler) serveKV(w http.ResponseWriter, r *http.Request) {
	var body kvRequest
	if !httpserver.ReadJSON(w, r, &body) {
		return
	}
	block, err := strconv.ParseUint(mux.Vars(r)["block"], 10, 64)
	if err != nil {
		httpserver.WriteError(w, http.StatusBadRequest, "block: %v", err)
		return
	}
	export, ok := h.engine.export(block, body.PromptHash)
	if !ok {
		httpserver.WriteError(w, http.StatusNotFound, "no KV cache %d for this prompt", block)
		return
	}
	httpserver.WriteJSON(w, http.StatusOK, export)
}

type cancelResponse struct {
	ID         string      `json:"id"`
	State      CancelState `json:"state"`
	HeldPieces int         `json:"held_pieces"`
}

func (h *handler) serveCancel(w http.ResponseWriter, r *http.Request) {
	id, err := engine.ParseAttemptID(mux.Vars(r)["id"])
	if err != nil {
		httpserver.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	state := h.engine.Cancel(id)
	h.abortIfCancelResponseIsLost()
	httpserver.WriteJSON(w, http.StatusOK, cancelResponse{ID: id.String(), State: state})
}

type cancelIncarnationResponse struct {
	Cancelled  int `json:"cancelled"`
	HeldPieces int `json:"held_pieces"`
}

func (h *handler) serveCancelIncarnation(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(mux.Vars(r)["incarnation"], 10, 64)
	if err != nil {
		httpserver.WriteError(w, http.StatusBadRequest, "incarnation: %v", err)
		return
	}
	cancelled := h.engine.CancelIncarnation(mux.Vars(r)["vm"], number)
	h.abortIfCancelResponseIsLost()
	httpserver.WriteJSON(w, http.StatusOK, cancelIncarnationResponse{Cancelled: cancelled})
}

func (h *handler) abortIfCancelResponseIsLost() {
	if h.engine.Faults().LoseCancelAnswers {
		httpserver.AbortConnection()
	}
}

func (h *handler) serveLoad(w http.ResponseWriter, _ *http.Request) {
	httpserver.WriteJSON(w, http.StatusOK, h.engine.Load())
}

func (h *handler) serveState(w http.ResponseWriter, _ *http.Request) {
	httpserver.WriteJSON(w, http.StatusOK, h.engine.State())
}

type orderResponse struct {
	State   OrderState `json:"state"`
	Fencing uint64     `json:"fencing,omitempty"`
}

func (h *handler) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !httpserver.ReadJSON(w, r, &order) {
		return
	}
	state, fencing := h.engine.Order(order)
	if state == OrderStaleFencing {
		httpserver.WriteJSON(w, http.StatusConflict, orderResponse{State: state, Fencing: fencing})
		return
	}
	httpserver.WriteJSON(w, http.StatusOK, orderResponse{State: state})
}
