package applier

import (
	"errors"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Reasons of orders that were not accepted, as engines name them.
const (
	reasonStaleFence       = "stale_fence"
	reasonOtherIncarnation = "other_incarnation"
)

// sendOrders sends to each server what this tick decided, and adopts or
// settles servers where that is due.
func (o *Owner) sendOrders(now time.Time) {
	for _, server := range o.servers {
		if server.outstanding || now.Before(server.retryAt) {
			continue
		}
		if len(server.commands) > 0 || !server.adopted || server.unknown {
			o.sendOrder(now, server)
		}
	}
}

// sendOrder sends the server's commands, or an empty order.
func (o *Owner) sendOrder(now time.Time, server *serverEntry) {
	server.sequence++
	order := outside.Order{
		Server: server.id, Fence: o.fence(server), Incarnation: server.incarnation, Commands: server.commands,
	}
	server.commands = nil
	server.outstanding = true
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

func (o *Owner) fence(server *serverEntry) outside.Fence {
	if !o.config.Mechanisms.Fence {
		// Any owner's order passes that saw the newest state.
		return outside.Fence{Epoch: 1, Sequence: server.state.Fence.Sequence + 1}
	}
	return outside.Fence{Epoch: o.epoch, Sequence: server.sequence}
}

// deliver hands an order to the engine. Without the Fence mechanism an order
// without commands only reads the state.
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

var errNoState = errors.New("reply without state")

func (o *Owner) orderDone(server *serverEntry, sequence uint64, sentAt time.Time, order outside.Order, result outside.OrderResult, err error) {
	o.mutex.Lock()
	released := o.orderDoneLocked(server, sequence, sentAt, order, result, err)
	o.mutex.Unlock()
	if released != nil {
		released()
	}
}

func (o *Owner) orderDoneLocked(server *serverEntry, sequence uint64, sentAt time.Time, order outside.Order, result outside.OrderResult, err error) (released func()) {
	if o.ended || o.byID[server.id] != server || server.sequence != sequence || !server.outstanding {
		return nil
	}
	server.outstanding = false
	if err == nil && result.State.Server == "" {
		err = errNoState
	}
	switch {
	case err != nil:
		server.unknown = true
		o.failed(server, err)
	case !result.Accepted:
		released = o.refused(server, result)
	default:
		o.accepted(server, sentAt, order, result)
	}
	if !o.ended {
		o.wakeLocked()
	}
	return released
}

// failed notes a call without answer. A server that is also no longer listed
// is gone.
func (o *Owner) failed(server *serverEntry, err error) {
	server.failures++
	if !server.listed {
		o.removeServer(server)
		return
	}
	pause := o.backoff(o.config.Intervals.RetryMin, o.config.Intervals.RetryMax, server.failures)
	server.retryAt = o.config.Clock.Now().Add(pause)
	if server.failures == unreachableFailures {
		o.changedServer(server)
	}
	o.logger.Warn().Err(err).Str("server", string(server.id)).Int("failures", server.failures).
		Str("reason", "unanswered").Msg("server did not answer")
}

// backoff doubles with each failure and is jittered by up to a half.
func (o *Owner) backoff(shortest, longest time.Duration, failures int) time.Duration {
	pause := shortest << min(failures-1, 16)
	pause = min(pause, longest)
	return pause/2 + time.Duration(o.random.Int64N(int64(pause/2)+1))
}

func (o *Owner) refused(server *serverEntry, result outside.OrderResult) (released func()) {
	o.logger.Warn().Str("server", string(server.id)).Str("reason", result.Reason).
		Str("fence", result.State.Fence.String()).Msg("order refused")
	if result.Reason == reasonOtherIncarnation {
		o.restarted(server)
		return nil
	}
	if o.superseded(&result.State) {
		return o.endLocked("superseded")
	}
	// A copy of an order that was applied, or a fence from before a reply was
	// lost: a higher sequence settles it.
	if result.State.Fence.Epoch == o.epoch {
		server.sequence = max(server.sequence, result.State.Fence.Sequence)
	}
	server.unknown = true
	return nil
}

// superseded reports whether an engine has seen a higher epoch.
func (o *Owner) superseded(state *outside.EngineState) bool {
	return o.config.Mechanisms.Fence && state.Fence.Epoch > o.epoch
}

// restarted drops what a dead incarnation held.
func (o *Owner) restarted(server *serverEntry) {
	o.logger.Warn().Str("server", string(server.id)).Int("replicas", len(server.replicas)).
		Str("reason", "restarted").Msg("server restarted")
	o.changedServer(server)
	server.forget()
	server.mayHold = server.mayHold && o.config.Confirmer == nil
}

func (o *Owner) accepted(server *serverEntry, sentAt time.Time, order outside.Order, result outside.OrderResult) {
	if server.incarnation != "" && server.incarnation != result.State.Incarnation {
		o.restarted(server)
	}
	recovered := server.failures >= unreachableFailures
	server.failures = 0
	server.retryAt = time.Time{}
	server.unknown = false
	server.mayHold = false
	server.incarnation = result.State.Incarnation
	if !server.adopted {
		server.adopted = true
		server.confirmed = o.config.Confirmer == nil
		o.logger.Info().Str("server", string(server.id)).Int("replicas", len(result.State.Replicas)).
			Str("reason", "adopted").Msg("server adopted")
	}
	o.takeState(server, &result.State, sentAt)
	o.noteOutcomes(server, order, result)
	if recovered {
		o.changedServer(server)
	}
}

// noteOutcomes puts refused loads under a backoff.
func (o *Owner) noteOutcomes(server *serverEntry, order outside.Order, result outside.OrderResult) {
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
