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
	// Base is the revision the edit was made on.
	Base table.Revision
	// Tenant whose rows are replaced; the rows of others are kept. Empty: all
	// rows are replaced.
	Tenant string
	// Rows after the edit, of the tenant or of all.
	Rows []table.Row
	// Author is kept in the history.
	Author string
}

// HistoryEntry is one accepted edit.
type HistoryEntry struct {
	Revision table.Revision    `json:"revision"`
	Author   string            `json:"author"`
	Time     time.Time         `json:"time"`
	Changes  []table.RowChange `json:"changes"`
}

// TableConflictError says that the table was changed after an edit's base.
type TableConflictError struct {
	// Current is the newest revision.
	Current table.Revision
	// Conflicts are the values that both changed, differently.
	Conflicts []table.Conflict
	// Mine and Theirs are all changes of either side since the base; empty if
	// the base is no longer known.
	Mine, Theirs []table.RowChange
}

// Error implements error.
func (*TableConflictError) Error() string { return "the table was changed by another edit" }

// TableStore reads and edits the durable table. Done callbacks follow the
// contract of package outside.
type TableStore interface {
	// Snapshot returns the newest table known here.
	Snapshot() *table.Snapshot
	// Propose writes an edit and returns its revision once it is durable.
	// Errors: *TableConflictError, *table.InvalidError, outside.ErrNotApplied,
	// outside.ErrAmbiguous, result.Refusal.
	Propose(edit TableEdit, timeout time.Duration, done func(table.Revision, error))
	// History returns the newest entries first; with a tenant, only changes of
	// its rows.
	History(tenant string, limit int, timeout time.Duration, done func([]HistoryEntry, error))
}

// Drainer stops the node in order.
type Drainer interface {
	// Drain refuses new work, lets what runs finish and hands over the node's
	// roles; the process ends afterwards. Repeated calls change nothing.
	Drain()
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
		a.route(router, http.MethodGet, "/admin/v1/table/force", auth.RoleOperator, a.getForce)
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

// stateDocument is the answer of health, readiness and drain.
type stateDocument struct {
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// getHealth tells that the process serves at all.
func (a *API) getHealth(c *call) { c.answer(http.StatusOK, stateDocument{State: "ok"}) }

// getReadiness tells whether new work should be sent here.
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
	a.config.Logger.Info().Str("request", c.id).Msg("drain asked for by the administration")
	a.config.Drainer.Drain()
	c.answer(http.StatusAccepted, stateDocument{State: "draining"})
}

// reply is what a done callback was called with.
type reply[T any] struct {
	value T
	err   error
}

// errNoReply means that a call outlived both its timeout and the wait for it.
var errNoReply = errors.New("no reply in time")

// await starts an asynchronous call and waits for its done callback.
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

// refusalOfError turns an error of a store into what the operator sees. When
// the outcome of a write is not known, the refusal says so.
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
