package backend

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/standin/httpserver"
)

// NewHandler returns the server's HTTP form: the control interface, and every
// other path as a request to be run.
func NewHandler(server *Server) http.Handler {
	router := mux.NewRouter()
	httpserver.HandleFaults(router, server.Faults, server.SetFaults)
	httpserver.HandleRecords(router, server.log, server.ID())
	httpserver.HandleLeaving(router, server.SetLeaving)
	httpserver.HandleAction(router, httpserver.PathKill, server.Kill)
	httpserver.HandleAction(router, httpserver.PathRestart, server.Restart)
	router.HandleFunc(httpserver.PathUsage, func(writer http.ResponseWriter, _ *http.Request) {
		httpserver.WriteJSON(writer, http.StatusOK, server.Status())
	}).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		serveHTTP(server, writer, request)
	})
	return router
}

func serveHTTP(server *Server, writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(httpapi.HeaderAttempt, request.Header.Get(httpapi.HeaderAttempt))
	body, complete := httpserver.ReadBody(writer, request, httpserver.MaxBodyBytes)
	if !complete {
		return
	}
	deadline, err := httpserver.Deadline(request)
	if err != nil {
		httpserver.Refuse(writer, http.StatusBadRequest, httpserver.ReasonMalformed, outside.LoadHint{})
		return
	}
	outcomes := make(chan Outcome, 1)
	abandon, err := server.Serve(outside.BackEndRequest{
		Server:      server.ID(),
		Attempt:     outside.AttemptID(request.Header.Get(httpapi.HeaderAttempt)),
		RequestID:   request.Header.Get(httpapi.HeaderRequest),
		Key:         request.Header.Get(httpapi.HeaderKey),
		Method:      request.Method,
		Path:        request.URL.RequestURI(),
		ContentType: request.Header.Get("Content-Type"),
		Body:        body,
		Deadline:    deadline,
	}, func(outcome Outcome) { outcomes <- outcome })
	if err != nil {
		httpserver.Abort()
	}
	select {
	case outcome := <-outcomes:
		writeOutcome(writer, outcome)
	case <-request.Context().Done():
		abandon()
	}
}

func writeOutcome(writer http.ResponseWriter, outcome Outcome) {
	switch outcome.Kind {
	case OutcomeAnswered:
		writeAnswer(writer, outcome.Response)
	case OutcomeRefused:
		httpserver.Refuse(writer, http.StatusServiceUnavailable, outcome.Reason, outcome.Load)
	default:
		httpserver.Abort()
	}
}

func writeAnswer(writer http.ResponseWriter, response outside.BackEndResponse) {
	header := writer.Header()
	header.Set("Content-Type", response.ContentType)
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	httpapi.SetLoad(header, response.Load)
	writer.WriteHeader(response.Status)
	// An error means that the client is gone.
	_, _ = writer.Write(response.Body)
}
