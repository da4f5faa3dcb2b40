package api

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
)

// TableEdit is a conditional write of the table.
type TableEdit struct {
	// Base is the revision that the edit is based on.
	Base table.Revision
	// Tenant whose rows are replaced; rows of other tenants are kept. If it is
	// empty, all rows are replaced.
	Tenant string
	// Rows of the tenant, or of all tenants, after the edit.
	Rows []table.Row
	// Author is recorded in the history.
	Author string
}

// HistoryEntry is one accepted edit.
type HistoryEntry struct {
	Revision table.Revision    `json:"revision"`
	Author   string            `json:"author"`
	Time     time.Time         `json:"time"`
	Changes  []table.RowChange `json:"changes"`
}

// TableConflictError reports that the table has changed since an edit's base.
type TableConflictError struct {
	// Current is the newest revision.
	Current table.Revision
	// Conflicts are the values that both sides changed to different values.
	Conflicts []table.Conflict
	// Mine are the changes of the rejected edit, Theirs those accepted since its
	// base; both are empty if the base is no longer cached.
	Mine, Theirs []table.RowChange
}

// Error implements error.
func (*TableConflictError) Error() string { return "the table was changed by another edit" }

// TableStore reads and edits the durable table. Done callbacks follow the
// contract of package outside.
type TableStore interface {
	// Snapshot returns the newest table that this node has.
	Snapshot() *table.Snapshot
	// Propose writes an edit and returns its revision once it is durable.
	// Errors: *TableConflictError, *table.InvalidError, outside.ErrNotApplied,
	// outside.ErrAmbiguous, result.Refusal.
	Propose(edit TableEdit, timeout time.Duration, done func(table.Revision, error))
	// History returns up to limit entries, newest first. If tenant is not empty,
	// they hold only changes of its rows.
	History(tenant string, limit int, timeout time.Duration, done func([]HistoryEntry, error))
}

// Drainer starts the planned shutdown of the node.
type Drainer interface {
	// Drain makes the node refuse new work, finish requests in progress, hand over
	// its roles, and exit. It is idempotent.
	Drain()
	// Draining reports whether Drain has been called.
	Draining() bool
}

func (a *API) routeAdministration(router *mux.Router) {
	a.routeHealth(router)
	if a.config.TableStore != nil {
		a.route(router, http.MethodGet, "/admin/v1/table", auth.RoleOperator, a.getTable)
		a.route(router, http.MethodPut, "/admin/v1/table", auth.RoleOperator, a.putTable)
		a.route(router, http.MethodGet, "/admin/v1/table/history", auth.RoleOperator, a.getHistory)
	}
	if a.config.Status != nil {
		a.route(router, http.MethodGet, "/admin/v1/table/force", auth.RoleOperator, a.getRevisionStatus)
		a.route(router, http.MethodGet, "/admin/v1/status", auth.RoleOperator, a.getStatus)
	}
	if a.config.Drainer != nil {
		a.route(router, http.MethodPost, "/admin/v1/drain", auth.RoleAdmin, a.postDrain)
	}
}

func (a *API) routeHealth(router *mux.Router) {
	a.route(router, http.MethodGet, "/healthz", 0, a.getHealth)
	a.route(router, http.MethodGet, "/readyz", 0, a.getReadiness)
	if a.config.Gatherer == nil {
		return
	}
	role := auth.RoleAdmin
	if a.config.PublicMetrics {
		role = 0
	}
	metrics := promhttp.HandlerFor(a.config.Gatherer, promhttp.HandlerOpts{})
	a.route(router, http.MethodGet, "/metrics", role, func(c *call) {
		c.commit()
		metrics.ServeHTTP(c.writer, c.request)
	})
}

func (a *API) route(router *mux.Router, method, path string, role auth.Role, serve func(*call)) {
	router.HandleFunc(path, a.handle(path, role, serve)).Methods(method)
}

// stateDocument is the response of the health, readiness and drain endpoints.
type stateDocument struct {
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// getHealth is the liveness check: it succeeds whenever the process serves HTTP.
func (a *API) getHealth(c *call) { c.answer(http.StatusOK, stateDocument{State: "ok"}) }

// getReadiness is the readiness check: it fails while the node starts or drains.
func (a *API) getReadiness(c *call) {
	if a.draining() {
		c.answer(http.StatusServiceUnavailable, stateDocument{State: "draining"})
		return
	}
	if a.config.Ready != nil {
		if err := a.config.Ready(); err != nil {
			c.answer(http.StatusServiceUnavailable, stateDocument{State: "starting", Reason: err.Error()})
			return
		}
	}
	c.answer(http.StatusOK, stateDocument{State: "ready"})
}

func (a *API) postDrain(c *call) {
	a.config.Logger.Info().Str("request", c.id).Msg("drain requested through the administration API")
	a.config.Drainer.Drain()
	c.answer(http.StatusAccepted, stateDocument{State: "draining"})
}

// reply holds the arguments of a done callback.
type reply[T any] struct {
	value T
	err   error
}

// errNoReply means that a done callback was not called within the timeout of await, or
// before the HTTP request was cancelled.
var errNoReply = errors.New("no reply in time")

// await starts an asynchronous call and waits for its done callback. It waits one second
// longer than the call's own timeout, so that the call can still report its error.
func await[T any](ctx context.Context, timeout time.Duration, start func(done func(T, error))) (T, error) {
	replies := make(chan reply[T], 1)
	start(func(value T, err error) { replies <- reply[T]{value, err} })
	ctx, cancel := context.WithTimeout(ctx, timeout+time.Second)
	defer cancel()
	select {
	case answer := <-replies:
		return answer.value, answer.err
	case <-ctx.Done():
		var none T
		return none, errNoReply
	}
}

// refusalOfError converts an error of a table write to a refusal. If it is not known
// whether the write took effect, the refusal says so.
func refusalOfError(err error) result.Refusal {
	var refusal result.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, outside.ErrAmbiguous), errors.Is(err, errNoReply):
		refusal = result.Refuse(result.WriteAmbiguous, "the write may have taken effect; read the history before repeating it")
		refusal.Ran = result.RanUnknown
		return refusal
	case errors.Is(err, outside.ErrNotApplied):
		return result.Refuse(result.StoreUnavailable, "the key-value service did not take the write; nothing was changed")
	default:
		refusal = result.Refuse(result.Internal, "%v", err)
		refusal.Ran = result.RanUnknown
		return refusal
	}
}
