package vmlist

import (
	"net/http"

	"github.com/gorilla/mux"

	platform "github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
	"github.com/ospreyshed/ospreyshed/internal/standin/httpserver"
)

// vmPath is the control path to set or remove a VM. The list shows the change
// after the lag.
const vmPath = "/standin/vms/{name}"

type listResponse struct {
	TimeMS int64         `json:"time_ms"`
	VMs    []platform.VM `json:"vms"`
}

// Handler serves the list over HTTP.
func (r *Registry) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/vms", r.serveList).Methods(http.MethodGet)
	router.HandleFunc(vmPath, r.serveSet).Methods(http.MethodPut)
	router.HandleFunc(vmPath, r.serveRemove).Methods(http.MethodDelete)
	httpserver.Controls(router, r.Faults, r.SetFaults, r.Counts)
	return router
}

func (r *Registry) serveList(w http.ResponseWriter, request *http.Request) {
	list, err := r.List(request.Context())
	if err != nil {
		httpserver.WriteError(w, http.StatusServiceUnavailable, "%v", err)
		return
	}
	httpserver.WriteJSON(w, http.StatusOK, listResponse{TimeMS: list.Time.UnixMilli(), VMs: list.VMs})
}

func (r *Registry) serveSet(w http.ResponseWriter, request *http.Request) {
	var vm platform.VM
	if !httpserver.ReadJSON(w, request, &vm) {
		return
	}
	vm.Name = mux.Vars(request)["name"]
	r.Set(vm)
	httpserver.WriteJSON(w, http.StatusOK, vm)
}

func (r *Registry) serveRemove(w http.ResponseWriter, request *http.Request) {
	r.Remove(mux.Vars(request)["name"])
	w.WriteHeader(http.StatusNoContent)
}

// Server serves a Registry on a port.
type Server struct {
	*Registry
	http *httpserver.Server
}

// Start serves a new Registry on address, an IP address and port; port 0 picks a
// free one.
func Start(address string, options Options) (*Server, error) {
	registry := New(options)
	server, err := httpserver.Start(address, registry.Handler())
	if err != nil {
		return nil, err
	}
	return &Server{Registry: registry, http: server}, nil
}

// Addr returns the listen address, an IP address and port.
func (s *Server) Addr() string { return s.http.Addr() }

// Close stops the server.
func (s *Server) Close() error { return s.http.Close() }
