package engine

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/hatchplank/hatchplank/internal/standin/httpserver"
)

// LeavingRequest is the body of a POST to httpserver.PathLeaving.
type LeavingRequest struct {
	// LeavesAt is when the machine is reclaimed; missing: not known.
	LeavesAt time.Time `json:"leaves_at"`
}

func (s *httpServer) addControlRoutes(router *mux.Router) {
	httpserver.HandleFaults(router, s.engine.Faults, s.engine.SetFaults)
	httpserver.HandleRecords(router, s.engine.config.Record, s.engine.Server())
	httpserver.HandleAction(router, httpserver.PathKill, s.engine.Kill)
	httpserver.HandleAction(router, httpserver.PathRestart, func() {
		s.engine.Restart(RestartOptions{KeepDisk: true})
	})
	router.HandleFunc(httpserver.PathUsage, func(writer http.ResponseWriter, _ *http.Request) {
		httpserver.WriteJSON(writer, http.StatusOK, s.engine.Usage())
	}).Methods(http.MethodGet)
	router.HandleFunc(httpserver.PathLeaving, func(writer http.ResponseWriter, request *http.Request) {
		wanted := LeavingRequest{}
		if !httpserver.ReadJSON(writer, request, httpserver.MaxControlBytes, &wanted) {
			return
		}
		s.engine.SetLeaving(wanted.LeavesAt)
		writer.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
}
