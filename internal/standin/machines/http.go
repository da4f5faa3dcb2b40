package machines

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/standin/httpserver"
)

// Paths of the list's own control interface.
const (
	PathReclaim = "/control/reclaim"
	PathLiving  = "/control/machines"
)

// ReclaimRequest is the body of a POST to PathReclaim.
type ReclaimRequest struct {
	Server outside.ServerID `json:"server"`
	// Warning is the time until the machine is gone, in milliseconds.
	WarningMilliseconds int64 `json:"warning_milliseconds"`
}

// NewHandler returns the list's HTTP form.
func NewHandler(list *List) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(httpapi.PathMachines, list.serveMachines).Methods(http.MethodGet)
	router.HandleFunc(PathReclaim, list.serveReclaim).Methods(http.MethodPost)
	router.HandleFunc(PathLiving, func(writer http.ResponseWriter, _ *http.Request) {
		httpserver.WriteJSON(writer, http.StatusOK, list.Living())
	}).Methods(http.MethodGet)
	httpserver.HandleFaults(router, list.Faults, list.SetFaults)
	httpserver.HandleRecords(router, list.log, "")
	return router
}

func (l *List) serveMachines(writer http.ResponseWriter, request *http.Request) {
	since, err := httpserver.Number(request, httpapi.QuerySince)
	if err != nil {
		httpserver.Refuse(writer, http.StatusBadRequest, httpserver.ReasonMalformed, outside.LoadHint{})
		return
	}
	listing, err := l.Read(since)
	switch {
	case err != nil:
		httpserver.Refuse(writer, http.StatusServiceUnavailable, "outage", outside.LoadHint{})
	case listing == nil:
		writer.WriteHeader(http.StatusNotModified)
	default:
		httpserver.WriteJSON(writer, http.StatusOK, listing)
	}
}

func (l *List) serveReclaim(writer http.ResponseWriter, request *http.Request) {
	wanted := ReclaimRequest{}
	if !httpserver.ReadJSON(writer, request, httpserver.MaxControlBytes, &wanted) {
		return
	}
	warning := time.Duration(wanted.WarningMilliseconds) * time.Millisecond
	if !l.Reclaim(wanted.Server, warning) {
		httpserver.Refuse(writer, http.StatusNotFound, "unknown_server", outside.LoadHint{})
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
