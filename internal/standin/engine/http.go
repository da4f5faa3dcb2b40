package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/standin/httpserver"
)

// maxCacheEvents are given in one answer.
const maxCacheEvents = 1000

// httpServer is an engine's HTTP form.
type httpServer struct {
	engine *Engine

	mutex sync.Mutex
	// cancels holds how to cancel the attempts in progress.
	cancels map[outside.AttemptID]func()
}

// NewHandler returns the engine's HTTP form: the OpenAI interface, orders and
// reports, and the control interface.
func NewHandler(engine *Engine) http.Handler {
	server := &httpServer{engine: engine, cancels: map[outside.AttemptID]func(){}}
	router := mux.NewRouter()
	server.addPlatformRoutes(router)
	server.addControlRoutes(router)
	return router
}

func (s *httpServer) addPlatformRoutes(router *mux.Router) {
	routes := []struct {
		method, path string
		serve        http.HandlerFunc
	}{
		{http.MethodPost, httpapi.PathCompletions, s.serveGenerate},
		{http.MethodPost, httpapi.PathChatCompletions, s.serveGenerate},
		{http.MethodPost, httpapi.PathOrders, s.serveOrder},
		{http.MethodGet, httpapi.PathState, s.serveState},
		{http.MethodPost, httpapi.PathCancel, s.serveCancel},
		{http.MethodGet, httpapi.PathCacheEvents, s.serveCacheEvents},
		{http.MethodPost, httpapi.PathCacheExport, s.serveExport},
		{http.MethodPost, httpapi.PathCacheImport, s.serveImport},
	}
	for _, route := range routes {
		router.Handle(route.path, s.whileResponding(route.serve)).Methods(route.method)
	}
}

// whileResponding breaks the connections to a dead engine and lets those to a
// hanging one wait until their client gives up.
func (s *httpServer) whileResponding(serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case !s.engine.Alive():
			httpserver.Abort()
		case !s.engine.Responding():
			if _, complete := httpserver.ReadBody(writer, request, httpserver.MaxBodyBytes); complete {
				<-request.Context().Done()
			}
		default:
			serve(writer, request)
		}
	})
}

func (s *httpServer) serveOrder(writer http.ResponseWriter, request *http.Request) {
	order := outside.Order{}
	if !httpserver.ReadJSON(writer, request, httpserver.MaxBodyBytes, &order) {
		return
	}
	answer := s.engine.Order(order)
	if answer.Reason == ReasonDown || s.engine.LosesOrderReply() {
		httpserver.Abort()
	}
	httpserver.WriteJSON(writer, http.StatusOK, answer)
}

func (s *httpServer) serveState(writer http.ResponseWriter, request *http.Request) {
	since, err := httpserver.Number(request, httpapi.QuerySince)
	if err != nil {
		refuseMalformed(writer)
		return
	}
	state := s.engine.State(since)
	switch {
	case state != nil:
		httpserver.WriteJSON(writer, http.StatusOK, state)
	case s.engine.Alive():
		writer.WriteHeader(http.StatusNotModified)
	default:
		httpserver.Abort()
	}
}

func (s *httpServer) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	since, err := httpserver.Number(request, httpapi.QuerySince)
	if err != nil {
		refuseMalformed(writer)
		return
	}
	events := s.engine.CacheEvents(since, maxCacheEvents)
	if events == nil {
		events = []CacheEvent{}
	}
	httpserver.WriteJSON(writer, http.StatusOK, events)
}

func (s *httpServer) serveExport(writer http.ResponseWriter, request *http.Request) {
	wanted := httpapi.AttemptReference{}
	if !httpserver.ReadJSON(writer, request, httpserver.MaxControlBytes, &wanted) {
		return
	}
	export, found := s.engine.ExportKV(wanted.Attempt)
	if !found {
		httpserver.Refuse(writer, http.StatusNotFound, ReasonNoSuchAttempt, outside.LoadHint{})
		return
	}
	httpserver.WriteJSON(writer, http.StatusOK, export)
}

// ImportAnswer tells when an imported KV cache will be there.
type ImportAnswer struct {
	ReadyAt time.Time `json:"ready_at"`
}

func (s *httpServer) serveImport(writer http.ResponseWriter, request *http.Request) {
	export := KVExport{}
	if !httpserver.ReadJSON(writer, request, httpserver.MaxControlBytes, &export) {
		return
	}
	readyAt, accepted := s.engine.ImportKV(export)
	if !accepted {
		httpserver.Refuse(writer, http.StatusConflict, ReasonNotLoaded, outside.LoadHint{})
		return
	}
	httpserver.WriteJSON(writer, http.StatusOK, ImportAnswer{ReadyAt: readyAt})
}

// serveCancel cancels an attempt; its own connection tells what came of it.
func (s *httpServer) serveCancel(writer http.ResponseWriter, request *http.Request) {
	wanted := httpapi.AttemptReference{}
	if !httpserver.ReadJSON(writer, request, httpserver.MaxControlBytes, &wanted) {
		return
	}
	s.mutex.Lock()
	cancel, found := s.cancels[wanted.Attempt]
	s.mutex.Unlock()
	if !found {
		httpserver.Refuse(writer, http.StatusNotFound, ReasonNoSuchAttempt, outside.LoadHint{})
		return
	}
	cancel()
	writer.WriteHeader(http.StatusNoContent)
}

func refuseMalformed(writer http.ResponseWriter) {
	httpserver.Refuse(writer, http.StatusBadRequest, httpserver.ReasonMalformed, outside.LoadHint{})
}
