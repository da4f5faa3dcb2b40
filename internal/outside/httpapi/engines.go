package httpapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Engines implements outside.EngineService.
type Engines struct {
	client *http.Client
	// control uses separate connections, so that orders, state reads and cancellations do
	// not wait behind streams.
	control *http.Client
	lookup  Lookup
	options Options
}

// NewEngines returns a client with its own connection pools.
func NewEngines(lookup Lookup, options Options) *Engines {
	options = options.withDefaults()
	return &Engines{client: newClient(options), control: newClient(options), lookup: lookup, options: options}
}

// Close closes the idle connections.
func (e *Engines) Close() {
	e.client.CloseIdleConnections()
	e.control.CloseIdleConnections()
}

// Order implements outside.EngineService.
func (e *Engines) Order(order outside.Order, timeout time.Duration, done func(outside.OrderResult, error)) {
	go func() {
		result := outside.OrderResult{}
		_, err := e.exchange(order.Server, timeout, http.MethodPost, PathOrders, order, &result)
		if err == nil {
			err = checkState(&result.State)
		}
		if err != nil {
			done(outside.OrderResult{}, err)
			return
		}
		done(result, nil)
	}()
}

// State implements outside.EngineService.
func (e *Engines) State(server outside.ServerID, sinceVersion uint64, timeout time.Duration, done func(*outside.EngineState, error)) {
	go func() {
		state := &outside.EngineState{}
		changed, err := e.exchange(server, timeout, http.MethodGet, PathState+sinceQuery(sinceVersion), nil, state)
		if err == nil {
			err = checkState(state)
		}
		if err != nil || !changed {
			done(nil, err)
			return
		}
		done(state, nil)
	}()
}

var errBadState = errors.New("engine state with an unknown phase or source")

// checkState returns an error if the state contains a phase or source that is out of range.
func checkState(state *outside.EngineState) error {
	for _, replica := range state.Replicas {
		if replica.Phase > outside.ReplicaFailed || replica.Source > outside.SourceRemote {
			return unreachable(errBadState)
		}
		for _, adapter := range replica.Adapters {
			if adapter.Phase > outside.ReplicaFailed {
				return unreachable(errBadState)
			}
		}
	}
	for _, checkpoint := range state.Cached {
		if checkpoint.Source > outside.SourceRemote {
			return unreachable(errBadState)
		}
	}
	return nil
}

// postCancel asks the engine to cancel an attempt. It reports whether the engine found the
// attempt and accepted the request.
func (e *Engines) postCancel(server outside.ServerID, attempt outside.AttemptID) bool {
	address, found := e.lookup(server)
	if !found {
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

func (e *Engines) exchange(server outside.ServerID, timeout time.Duration, method, path string, content, result any) (bool, error) {
	address, found := e.lookup(server)
	if !found {
		return false, outside.ErrServerUnreachable
	}
	return exchangeJSON(e.control, e.options.MaxResponseBytes, timeout, method, "http://"+address+path, content, result)
}
