package keyvalue

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd/wire"
	"github.com/rs/zerolog"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 4 << 20

// server serves a store over HTTP.
type server struct {
	store  *Store
	logger zerolog.Logger
}

// NewServer returns the HTTP interface of a store: etcd v3's JSON form under
// /v3, and the stand-in's own control calls under /control.
func NewServer(store *Store, logger zerolog.Logger) http.Handler {
	server := &server{store: store, logger: logger}
	router := mux.NewRouter()
	router.HandleFunc(wire.PathTransact, server.transact).Methods(http.MethodPost)
	router.HandleFunc(wire.PathRange, server.readRange).Methods(http.MethodPost)
	router.HandleFunc(wire.PathLeaseGrant, server.grantLease).Methods(http.MethodPost)
	router.HandleFunc(wire.PathKeepAlive, server.keepAlive).Methods(http.MethodPost)
	router.HandleFunc(wire.PathLeaseRevoke, server.revokeLease).Methods(http.MethodPost)
	router.HandleFunc(wire.PathKVLeaseRevoke, server.revokeLease).Methods(http.MethodPost)
	router.HandleFunc(wire.PathWatch, server.watch).Methods(http.MethodPost)
	server.routeControl(router)
	return router
}

// perform runs one operation under the faults and returns its result, or
// writes its error. It aborts the connection when the reply is to be lost.
func perform[Result any](s *server, w http.ResponseWriter, r *http.Request, kind Kind, run func() (Result, error)) (Result, bool) {
	type outcome struct {
		result Result
		err    error
	}
	outcomes := make(chan outcome, 1)
	Submit(s.store, kind, run, func(result Result, err error) { outcomes <- outcome{result: result, err: err} })
	var ended outcome
	select {
	case ended = <-outcomes:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if errors.Is(ended.err, ErrReplyLost) {
		panic(http.ErrAbortHandler)
	}
	if ended.err != nil {
		writeError(w, ended.err)
		return ended.result, false
	}
	return ended.result, true
}

// readBody decodes a call's body, or writes an error.
func readBody(w http.ResponseWriter, r *http.Request, request any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(request)
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeStatus(w, http.StatusRequestEntityTooLarge, wire.Error{Code: wire.CodeResourceExhausted, Message: err.Error()})
		return false
	}
	writeStatus(w, http.StatusBadRequest, wire.Error{Code: wire.CodeInvalidArgument, Message: err.Error()})
	return false
}

func writeJSON(w http.ResponseWriter, response any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client is gone.
	_ = json.NewEncoder(w).Encode(response)
}

func writeStatus(w http.ResponseWriter, status int, body wire.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

const messagePrefix = "etcdserver: "

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrOutage):
		writeStatus(w, http.StatusServiceUnavailable, wire.Error{Code: wire.CodeUnavailable, Message: wire.MessageNoLeader})
	case errors.Is(err, errClosed):
		writeStatus(w, http.StatusServiceUnavailable, wire.Error{Code: wire.CodeUnavailable, Message: messagePrefix + "server stopped"})
	case errors.Is(err, ErrRateLimited):
		writeStatus(w, http.StatusTooManyRequests, wire.Error{Code: wire.CodeResourceExhausted, Message: messagePrefix + "too many requests"})
	case errors.Is(err, outside.ErrLeaseNotFound):
		writeStatus(w, http.StatusNotFound, wire.Error{Code: wire.CodeNotFound, Message: messagePrefix + "requested lease not found"})
	default:
		writeStatus(w, http.StatusBadRequest, wire.Error{Code: wire.CodeInvalidArgument, Message: messagePrefix + err.Error()})
	}
}
