package httpserver

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// Paths of the control interface, which tests and operators of the stand-ins
// use. It is no part of the platform.
const (
	PathFaults  = "/control/faults"
	PathRecords = "/control/records"
	PathUsage   = "/control/usage"
	PathLeaving = "/control/leaving"
	PathKill    = "/control/kill"
	PathRestart = "/control/restart"
)

// maxRecords are given in one answer.
const maxRecords = 10000

// HandleFaults offers the faults for reading and replacing. A replacement is a
// complete JSON document: a missing field is set to its zero value.
func HandleFaults[Faults any](router *mux.Router, get func() Faults, set func(Faults)) {
	router.HandleFunc(PathFaults, func(writer http.ResponseWriter, _ *http.Request) {
		WriteJSON(writer, http.StatusOK, get())
	}).Methods(http.MethodGet)
	router.HandleFunc(PathFaults, func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		if !ReadJSON(writer, request, MaxControlBytes, &faults) {
			return
		}
		set(faults)
		WriteJSON(writer, http.StatusOK, get())
	}).Methods(http.MethodPost)
}

// HandleRecords offers the events of a log, of one server if that is given, by
// "?after=SEQUENCE&limit=COUNT".
func HandleRecords(router *mux.Router, log *record.Log, server outside.ServerID) {
	router.HandleFunc(PathRecords, func(writer http.ResponseWriter, request *http.Request) {
		after, afterErr := Number(request, "after")
		limit, limitErr := Number(request, "limit")
		if afterErr != nil || limitErr != nil {
			Refuse(writer, http.StatusBadRequest, ReasonMalformed, outside.LoadHint{})
			return
		}
		WriteJSON(writer, http.StatusOK, recordsOf(log, server, after, limit))
	}).Methods(http.MethodGet)
}

func recordsOf(log *record.Log, server outside.ServerID, after, limit uint64) []record.Event {
	if limit == 0 || limit > maxRecords {
		limit = maxRecords
	}
	records := []record.Event{}
	if log == nil {
		return records
	}
	for _, event := range log.After(after, 0) {
		if server != "" && event.Server != server {
			continue
		}
		if uint64(len(records)) == limit {
			break
		}
		records = append(records, event)
	}
	return records
}

// HandleAction offers an action without parameters.
func HandleAction(router *mux.Router, path string, action func()) {
	router.HandleFunc(path, func(writer http.ResponseWriter, _ *http.Request) {
		action()
		writer.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
}

// LeavingRequest is the body of a POST to PathLeaving.
type LeavingRequest struct {
	Leaving bool `json:"leaving"`
}

// HandleLeaving offers to make a server leave or stay.
func HandleLeaving(router *mux.Router, set func(leaving bool)) {
	router.HandleFunc(PathLeaving, func(writer http.ResponseWriter, request *http.Request) {
		wanted := LeavingRequest{}
		if !ReadJSON(writer, request, MaxControlBytes, &wanted) {
			return
		}
		set(wanted.Leaving)
		writer.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
}
