package weights

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/standin/httpserver"
)

// HTTPFaults are the faults that the control interface switches.
type HTTPFaults struct {
	// SlowDown makes all loads slower by a factor; 0 and 1 are full speed.
	SlowDown float64 `json:"slow_down"`
	Outage   bool    `json:"outage"`
}

// HTTPUsage is what the control interface tells of the store.
type HTTPUsage struct {
	Waiting int                       `json:"waiting"`
	Status  outside.WeightStoreStatus `json:"status"`
}

// NewHandler returns the store's HTTP form. Engines of the same process fetch
// from the store directly.
func NewHandler(store *Store) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(httpapi.PathWeightStatus, func(writer http.ResponseWriter, _ *http.Request) {
		if store.Outage() {
			httpserver.Refuse(writer, http.StatusServiceUnavailable, "outage", outside.LoadHint{})
			return
		}
		httpserver.WriteJSON(writer, http.StatusOK, store.Status())
	}).Methods(http.MethodGet)
	router.HandleFunc(httpserver.PathUsage, func(writer http.ResponseWriter, _ *http.Request) {
		httpserver.WriteJSON(writer, http.StatusOK, HTTPUsage{Waiting: store.Waiting(), Status: store.Status()})
	}).Methods(http.MethodGet)
	httpserver.HandleFaults(router, store.httpFaults, store.setHTTPFaults)
	return router
}

func (s *Store) httpFaults() HTTPFaults {
	return HTTPFaults{SlowDown: s.Status().SlowDown, Outage: s.Outage()}
}

func (s *Store) setHTTPFaults(faults HTTPFaults) {
	s.SetSlowDown(faults.SlowDown)
	s.SetOutage(faults.Outage)
}
