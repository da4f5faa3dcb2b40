package applier

import (
	"errors"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Reasons for which engines reject an order as a whole.
const (
	reasonStaleFence       = "stale_fence"
	reasonOtherIncarnation = "other_incarnation"
)

// sendOrders sends each server the commands that this tick issued. Servers that are not adopted, or
// whose last order has an unknown outcome, are sent an order even without commands.
func (o *Owner) sendOrders(now time.Time) {
	for _, server := range o.servers {
		if server.orderInFlight || now.Before(server.retryAt) {
			continue
		}
		if len(server.commands) > 0 || !server.adopted || server.outcomeUnknown {
			o.sendOrder(now, server)
		}
	}
}

// sendOrder sends the server an order with its commands, if there are any.
func (o *Owner) sendOrder(now time.Time, server *serverEntry) {
	server.sequence++
	order := outside.Order{
		Server: server.id, Fence: o.fence(server), Incarnation: server.incarnation, Commands: server.commands,
	}
	server.commands = nil
	server.orderInFlight = true
	server.generation++
	sequence := server.sequence
	for _, command := range order.Commands {
		o.logger.Info().Str("server", string(server.id)).Str("command", command.Kind.String()).
			Str("model", command.Model).Str("adapter", command.Adapter).Int("slot", int(command.Slot)).
			Str("attempt", string(command.Attempt)).Str("fence", order.Fence.String()).Msg("order sent")
	}
	o.deliver(order, func(result outside.OrderResult, err error) {
		o.orderDone(server, sequence, now, order, result, err)
	})
}

// fence returns the fence of the server's next order.
func (o *Owner) fence(server *serverEntry) outside.Fence {
	if !o.config.Mechanisms.Fence {
		// Engines then accept an order of any owner that has read the newest state.
		return outside.Fence{Epoch: 1, Sequence: server.state.Fence.Sequence + 1}
	}
	return outside.Fence{Epoch: o.epoch, Sequence: server.sequence}
}

// deliver sends an order to the engine. Without the Fence mechanism, an order without commands only
// reads the state.
func (o *Owner) deliver(order outside.Order, done func(outside.OrderResult, error)) {
	if o.config.Mechanisms.Fence || len(order.Commands) > 0 {
		o.config.Engines.Order(order, o.config.Intervals.OrderTimeout, done)
		return
	}
	o.config.Engines.State(order.Server, 0, o.config.Intervals.OrderTimeout, func(state *outside.EngineState, err error) {
		if err != nil || state == nil {
			done(outside.OrderResult{}, err)
			return
		}
		done(outside.OrderResult{Accepted: true, State: *state}, nil)
	})
}

var errNoState = errors.New("engine replied without its state")

// orderDone handles the result of an order.
func (o *Owner) orderDone(server *serverEntry, sequence uint64, sentAt time.Time, order outside.Order, result outside.OrderResult, err error) {
	o.mutex.Lock()
	released := o.orderDoneLocked(server, sequence, sentAt, order, result, err)
	o.mutex.Unlock()
	if released != nil {
		released()
	}
}

// orderDoneLocked handles the result of an order, unless the server or the order was replaced in
// the meantime. The caller must hold the lock, and call released, unless nil, without it.
func (o *Owner) orderDoneLocked(server *serverEntry, sequence uint64, sentAt time.Time, order outside.Order, result outside.OrderResult, err error) (released func()) {
	if o.stopped || o.byID[server.id] != server || server.sequence != sequence || !server.orderInFlight {
		return nil
	}
	server.orderInFlight = false
	if err == nil && result.State.Server == "" {
		err = errNoState
	}
	switch {
	case err != nil:
		server.outcomeUnknown = true
		o.callFailed(server, err)
	case !result.Accepted:
		released = o.orderRefused(server, result)
	default:
		o.orderAccepted(server, sentAt, order, result)
	}
	if !o.stopped {
		o.wakeLocked()
	}
	return released
}

// callFailed records a failed call and backs off. A server that is not in the machine list any more
// either is removed.
func (o *Owner) callFailed(server *serverEntry, err error) {
	server.failures++
	if !server.listed {
		o.removeServer(server)
		return
	}
	pause := o.backoff(o.config.Intervals.RetryMin, o.config.Intervals.RetryMax, server.failures)
	server.retryAt = o.config.Clock.Now().Add(pause)
	if server.failures == unreachableFailures {
		o.markModelsChanged(server)
	}
	o.logger.Warn().Err(err).Str("server", string(server.id)).Int("failures", server.failures).
		Str("reason", "unanswered").Msg("server did not answer")
}

// backoff returns a pause that doubles with each failure, from minPause to maxPause, less a random
// part of up to half of it.
func (o *Owner) backoff(minPause, maxPause time.Duration, failures int) time.Duration {
	pause := minPause << min(failures-1, 16)
	pause = min(pause, maxPause)
	return pause/2 + time.Duration(o.random.Int64N(int64(pause/2)+1))
}

// orderRefused handles an order that the engine rejected as a whole. The caller must hold the lock,
// and call released, unless nil, without it.
func (o *Owner) orderRefused(server *serverEntry, result outside.OrderResult) (released func()) {
	o.logger.Warn().Str("server", string(server.id)).Str("reason", result.Reason).
		Str("fence", result.State.Fence.String()).Msg("order refused")
	if result.Reason == reasonOtherIncarnation {
		o.serverRestarted(server)
		return nil
	}
	if o.superseded(&result.State) {
		return o.stopLocked("superseded")
	}
	// Either a duplicate of an applied order was rejected, or an earlier order whose reply was lost
	// had raised the fence. An order with a higher sequence resolves both.
	if result.State.Fence.Epoch == o.epoch {
		server.sequence = max(server.sequence, result.State.Fence.Sequence)
	}
	server.outcomeUnknown = true
	return nil
}

// superseded reports whether the engine has accepted a higher epoch than this owner's.
func (o *Owner) superseded(state *outside.EngineState) bool {
	return o.config.Mechanisms.Fence && state.Fence.Epoch > o.epoch
}

// serverRestarted discards the state of the server's previous incarnation.
func (o *Owner) serverRestarted(server *serverEntry) {
	o.logger.Warn().Str("server", string(server.id)).Int("replicas", len(server.replicas)).
		Str("reason", "restarted").Msg("server restarted")
	o.markModelsChanged(server)
	server.reset()
	server.contentsUnknown = server.contentsUnknown && o.config.Confirmer == nil
}

// orderAccepted applies the state that came with an accepted order, which also adopts the server if
// it was not adopted.
func (o *Owner) orderAccepted(server *serverEntry, sentAt time.Time, order outside.Order, result outside.OrderResult) {
	if server.incarnation != "" && server.incarnation != result.State.Incarnation {
		o.serverRestarted(server)
	}
	recovered := server.failures >= unreachableFailures
	server.failures = 0
	server.retryAt = time.Time{}
	server.outcomeUnknown = false
	server.contentsUnknown = false
	server.incarnation = result.State.Incarnation
	if !server.adopted {
		server.adopted = true
		server.confirmed = o.config.Confirmer == nil
		o.logger.Info().Str("server", string(server.id)).Int("replicas", len(result.State.Replicas)).
			Str("reason", "adopted").Msg("server adopted")
	}
	o.applyState(server, &result.State, sentAt)
	o.handleRejectedCommands(server, order, result)
	if recovered {
		o.markModelsChanged(server)
	}
}

// handleRejectedCommands logs the commands of an accepted order that the engine rejected, and backs
// off from the loads among them.
func (o *Owner) handleRejectedCommands(server *serverEntry, order outside.Order, result outside.OrderResult) {
	for i, command := range order.Commands {
		if i >= len(result.Outcomes) || result.Outcomes[i].Accepted {
			continue
		}
		o.logger.Warn().Str("server", string(server.id)).Str("command", command.Kind.String()).
			Str("model", command.Model).Str("adapter", command.Adapter).Str("attempt", string(command.Attempt)).
			Str("reason", result.Outcomes[i].Reason).Msg("command refused")
		switch command.Kind {
		case outside.CommandLoadModel:
			o.loadFailed(server, command.Model, command.Attempt)
		case outside.CommandLoadAdapter:
			o.loadFailed(server, command.Adapter, command.Attempt)
		}
	}
}
