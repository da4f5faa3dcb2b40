package api

import (
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/telemetry"
)

// API is the node's HTTP interface.
type API struct {
	config  Config
	metrics *telemetry.Metrics
	// wasReady is set once Config.Ready has succeeded.
	wasReady atomic.Bool
	// bodyBytes is the number of bytes reserved for the bodies of all requests in flight.
	bodyBytes atomic.Int64
}

// New returns the HTTP handler of the caller and administration interfaces.
func New(config Config) http.Handler {
	config.Limits = config.Limits.withDefaults()
	if config.Clock == nil {
		config.Clock = clock.System{}
	}
	metrics := config.Metrics
	if metrics == nil {
		metrics = telemetry.NewMetrics()
	}
	api := &API{config: config, metrics: metrics}
	return api.router()
}

func (a *API) router() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	a.routeCallers(router)
	a.routeAdministration(router)
	unknown := a.handle("unknown", 0, refuseUnknownPath)
	router.NotFoundHandler = unknown
	router.MethodNotAllowedHandler = unknown
	return router
}

func (a *API) routeCallers(router *mux.Router) {
	chat := a.handle(kindChat.path(), auth.RoleCaller, a.serveGeneration(kindChat))
	router.HandleFunc(kindChat.path(), chat).Methods(http.MethodPost)
	completion := a.handle(kindCompletion.path(), auth.RoleCaller, a.serveGeneration(kindCompletion))
	router.HandleFunc(kindCompletion.path(), completion).Methods(http.MethodPost)
	models := a.handle("/v1/models", auth.RoleCaller, a.serveModels)
	router.HandleFunc("/v1/models", models).Methods(http.MethodGet)
	model := a.handle("/v1/models/{name}", auth.RoleCaller, a.serveModel)
	router.HandleFunc("/v1/models/{name:.+}", model).Methods(http.MethodGet)
	passThrough := a.handle("/v1/backends", auth.RoleCaller, a.servePassThrough)
	router.PathPrefix(backEndsPrefix + "{pool}/").HandlerFunc(passThrough)
}

func refuseUnknownPath(c *call) {
	c.refuse(result.Refuse(result.UnknownPath, "there is no %s on this path", c.request.Method))
}
