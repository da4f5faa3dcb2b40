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

// readinessPause is when callers may try again at a node that has just started.
const readinessPause = time.Second

// call is one HTTP request on its way through the interface.
type call struct {
	writer    http.ResponseWriter
	request   *http.Request
	id        string
	principal auth.Principal
	// arrived is when the headers had been read; deadlines count from it.
	arrived time.Time
	// path is the interface's path, without what callers put into it.
	path string
	// committed: the status line has been sent.
	committed bool
	// draining tells whether the node is being stopped; nil: never.
	draining func() bool
	// heldBytes were taken from the budget of bodies.
	heldBytes int64
	outcome   result.Code
}

// refuse ends the call with a whole response.
func (c *call) refuse(refusal result.Refusal) {
	c.outcome = refusal.Code
	c.commit()
	writeRefusal(c.writer, refusal, c.id)
}

// answer ends the call with a JSON document.
func (c *call) answer(status int, document any) {
	c.commit()
	writeJSON(c.writer, status, document)
}

// commit is called before the headers are sent. The connections of a node that
// is being stopped are not used again: one that is idle at the end would be
// closed while its next request is on the way.
func (c *call) commit() {
	c.committed = true
	if c.draining != nil && c.draining() {
		c.writer.Header().Set("Connection", "close")
	}
}

// handle turns a function over calls into a handler that needs the role. A
// role of zero lets everyone in.
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
		defer a.end(current)
		defer a.recover(current)
		if refusal := a.admit(current, role); refusal != nil {
			current.refuse(*refusal)
			return
		}
		serve(current)
	}
}

// admit checks the size of the headers and who calls.
func (a *API) admit(c *call, role auth.Role) *result.Refusal {
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

// draining reports whether the node is being stopped.
func (a *API) draining() bool { return a.config.Drainer != nil && a.config.Drainer.Draining() }

// refuseUntilReady turns callers away from a node that has just started: it
// would take their models and pools for unknown. A node that is draining or has
// lost the platform's services later decides by itself.
func (a *API) refuseUntilReady() *result.Refusal {
	if a.known.Load() || a.config.Ready == nil || a.draining() {
		return nil
	}
	if err := a.config.Ready(); err != nil {
		refusal := result.Refuse(result.NodeNotReady, "the node has just started: %v", err)
		refusal.RetryAfter = readinessPause
		return &refusal
	}
	a.known.Store(true)
	return nil
}

// recover answers a panic; the node goes on.
func (a *API) recover(c *call) {
	fault := recover()
	if fault == nil {
		return
	}
	a.metrics.Panics.Inc()
	a.config.Logger.Error().Str("request", c.id).Interface("fault", fault).Bytes("stack", debug.Stack()).Msg("handler failed")
	c.outcome = result.Internal
	if !c.committed {
		refusal := result.Refuse(result.Internal, "a fault inside the node")
		refusal.Ran = result.RanUnknown
		c.refuse(refusal)
	}
}

// end returns what the call held, counts and logs it.
func (a *API) end(c *call) {
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

// newRequestID makes an id that no other request has. A caller's own id
// becomes its start, so that callers find their requests in the logs, but
// can't make two requests be taken for one.
func newRequestID(header http.Header) string {
	unique := uuid.NewString()
	if given := header.Get(headerRequestID); isRequestID(given) {
		return given + "." + unique
	}
	return unique
}
