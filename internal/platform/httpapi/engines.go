package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/hatchplank/hatchplank/internal/platform"
)

// Engines implements platform.EngineService.
type Engines struct {
	client *http.Client
	// control has connections of its own, so that orders and reports do not
	// wait behind streams.
	control *http.Client
	lookup  Lookup
	options Options
}

// NewEngines returns a client with connection pools of its own.
func NewEngines(lookup Lookup, options Options) *Engines {
	options = options.withDefaults()
	return &Engines{client: newClient(options), control: newClient(options), lookup: lookup, options: options}
}

// Close closes the idle connections.
func (e *Engines) Close() {
	e.client.CloseIdleConnections()
	e.control.CloseIdleConnections()
}

// Order implements platform.EngineService.
func (e *Engines) Order(order platform.Order, timeout time.Duration, done func(platform.OrderResult, error)) {
	go func() {
		result := platform.OrderResult{}
		_, err := e.exchange(order.Server, timeout, http.MethodPost, PathOrders, order, &result)
		done(result, err)
	}()
}

// State implements platform.EngineService.
func (e *Engines) State(server platform.ServerID, sinceVersion uint64, timeout time.Duration, done func(*platform.EngineState, error)) {
	go func() {
		state := &platform.EngineState{}
		changed, err := e.exchange(server, timeout, http.MethodGet, PathState+sinceQuery(sinceVersion), nil, state)
		if err != nil || !changed {
			done(nil, err)
			return
		}
		done(state, nil)
	}()
}

// postCancel reports whether the engine knew the attempt and cancels it.
func (e *Engines) postCancel(server platform.ServerID, attempt platform.AttemptID) bool {
	address, known := e.lookup(server)
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.options.CancelTimeout)
	defer cancel()
	request, err := newJSONRequest(ctx, http.MethodPost, "http://"+address+PathCancel, AttemptReference{Attempt: attempt})
	if err != nil {
		return false
	}
	response, err := e.control.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}

func (e *Engines) exchange(server platform.ServerID, timeout time.Duration, method, path string, content, result any) (bool, error) {
	address, known := e.lookup(server)
	if !known {
		return false, platform.ErrServerUnreachable
	}
	return exchangeJSON(e.control, e.options.MaxResponseBytes, timeout, method, "http://"+address+path, content, result)
}
