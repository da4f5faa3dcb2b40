package api

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/google/uuid"

	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/telemetry"
)

// notReadyRetryAfter is the Retry-After of requests refused while the node starts.
const notReadyRetryAfter = time.Second

// call is the state of one HTTP request.
type call struct {
	writer    http.ResponseWriter
	request   *http.Request
	id        string
	principal auth.Principal
	// arrived is the time when the headers had been read; deadlines are relative to it.
	arrived time.Time
	// path names the route in metrics and logs; it has none of the callers' values.
	path string
	// committed is true once the headers have been or are about to be sent.
	committed bool
	// draining reports whether the node is shutting down; nil means never.
	draining func() bool
	// reservedBodyBytes is this call's share of API.bodyBytes.
	reservedBodyBytes int64
	outcome           result.Code
}

// refuse completes the call with an error response.
func (c *call) refuse(refusal result.Refusal) {
	c.outcome = refusal.Code
	c.commit()
	writeRefusal(c.writer, refusal, c.id)
}

// answer completes the call with a JSON document.
func (c *call) answer(status int, document any) {
	c.commit()
	writeJSON(c.writer, status, document)
}

// commit is called before the headers are sent. While the node drains, it makes every
// response close its connection: a keep-alive connection that is idle at shutdown would be
// closed while the caller's next request is in transit.
func (c *call) commit() {
	c.committed = true
	if c.draining != nil && c.draining() {
		c.writer.Header().Set("Connection", "close")
	}
}

// handle returns an HTTP handler that calls serve for principals with the role. Role 0
// requires no authentication.
func (a *API) handle(path string, role auth.Role, serve func(*call)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		current := &call{
			writer:  writer,
			request: request,
			id:      newRequestID(request.Header),
			arrived: a.config.Clock.Now(),
			path:    path, draining: a.draining,
		}
		writer.Header().Set(headerRequestID, current.id)
		a.metrics.InFlight.Inc()
		defer a.finish(current)
		defer a.recover(current)
		if refusal := a.authorize(current, role); refusal != nil {
			current.refuse(*refusal)
			return
		}
		serve(current)
	}
}

// authorize checks the size of the headers, the token and the role, and for callers also
// whether the node is ready.
func (a *API) authorize(c *call, role auth.Role) *result.Refusal {
	if size := headerSize(c.request.Header); size > a.config.Limits.HeaderBytes {
		return refuse(result.HeadersTooLarge, "the headers have %d bytes; the limit is %d", size, a.config.Limits.HeaderBytes)
	}
	if role == 0 {
		return nil
	}
	principal, known := a.config.Keyring.Authenticate(c.request.Header.Get("Authorization"))
	if !known {
		return refuse(result.Unauthenticated, "the bearer token is missing or unknown")
	}
	if !principal.Allows(role) {
		return refuse(result.Forbidden, "this call needs the role %s", role)
	}
	c.principal = principal
	if role == auth.RoleCaller {
		return a.refuseUntilReady()
	}
	return nil
}

// draining reports whether the node is shutting down.
func (a *API) draining() bool { return a.config.Drainer != nil && a.config.Drainer.Draining() }

// refuseUntilReady refuses callers until the node has been ready once. Before that it has
// not loaded the table and the servers and would report existing models and pools as
// unknown. A node that drains, or loses the platform's services after it was ready, still
// accepts calls here; whether it can serve them is decided for each request.
func (a *API) refuseUntilReady() *result.Refusal {
	if a.wasReady.Load() || a.config.Ready == nil || a.draining() {
		return nil
	}
	if err := a.config.Ready(); err != nil {
		refusal := result.Refuse(result.NodeNotReady, "the node has just started: %v", err)
		refusal.RetryAfter = notReadyRetryAfter
		return &refusal
	}
	a.wasReady.Store(true)
	return nil
}

// recover converts a panic of a handler to an internal error, so that the process keeps
// running.
func (a *API) recover(c *call) {
	recovered := recover()
	if recovered == nil {
		return
	}
	a.metrics.Panics.Inc()
	a.config.Logger.Error().Str("request", c.id).Interface("fault", recovered).Bytes("stack", debug.Stack()).Msg("handler panicked")
	c.outcome = result.Internal
	if !c.committed {
		refusal := result.Refuse(result.Internal, "a fault inside the node")
		refusal.Ran = result.RanUnknown
		c.refuse(refusal)
	}
}

// finish releases the call's body reservation and records its metrics and log line.
func (a *API) finish(c *call) {
	a.releaseBody(c)
	elapsed := a.config.Clock.Now().Sub(c.arrived)
	a.metrics.InFlight.Dec()
	a.metrics.Requests.WithLabelValues(c.path, c.outcome.Name()).Inc()
	a.metrics.Duration.WithLabelValues(c.path).Observe(elapsed.Seconds())
	if event := a.config.Logger.Debug(); event.Enabled() {
		event.EmbedObject(telemetry.Decision{Request: c.id, Reason: c.outcome.Name()}).
			Str("path", c.path).Str("tenant", c.principal.Tenant).Dur("elapsed", elapsed).Msg("request ended")
	}
}

// newRequestID returns a unique request ID. A valid ID from the caller becomes its prefix:
// callers can find their requests in the logs, but two requests never share an ID.
func newRequestID(header http.Header) string {
	unique := uuid.NewString()
	if given := header.Get(headerRequestID); isRequestID(given) {
		return given + "." + unique
	}
	return unique
}
