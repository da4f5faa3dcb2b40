package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
)

// EventKind says what happened to a request.
type EventKind uint8

// The kinds of event.
const (
	EventAccepted EventKind = iota
	EventDispatched
	EventRetried
	EventServed
	EventRefused
)

// Event is a decision about a request, for metrics and logs.
type Event struct {
	Kind    EventKind
	Request string
	Tenant  string
	// Name of the row or pool.
	Name     string
	Pool     bool
	Priority int
	Attempt  outside.AttemptID
	Server   outside.ServerID
	Slot     outside.SlotID
	Revision table.Revision
	// Reason is why an attempt is repeated.
	Reason string
	// Refusal of a refused request.
	Refusal result.Refusal
	// Elapsed since the request was accepted.
	Elapsed time.Duration
	// Cold: the request waited for a replica to be loaded.
	Cold     bool
	Replayed bool
}

// Metrics receives each event, without a lock of the gateway held.
type Metrics interface {
	Observe(event *Event)
}

func (e *entry) event(turn *turn, kind EventKind) *Event {
	turn.events = append(turn.events, Event{
		Kind:     kind,
		Request:  e.request.ID,
		Tenant:   e.request.Tenant,
		Name:     e.name(),
		Pool:     e.isPool(),
		Priority: e.request.Priority,
		Revision: e.shard.gateway.config.Table.Revision(),
		Elapsed:  turn.now.Sub(e.request.Accepted),
		Cold:     e.cold,
	})
	return &turn.events[len(turn.events)-1]
}

func (g *Gateway) report(event *Event) {
	if g.config.Metrics != nil {
		g.config.Metrics.Observe(event)
	}
	switch event.Kind {
	case EventAccepted:
		g.line(g.config.Logger.Debug(), event).Msg("request accepted")
	case EventDispatched:
		g.line(g.config.Logger.Debug(), event).Msg("request dispatched")
	case EventRetried:
		g.line(g.config.Logger.Info(), event).Msg("attempt failed, request goes back to the queue")
	case EventServed:
		g.line(g.config.Logger.Info(), event).Bool("cold", event.Cold).Bool("replayed", event.Replayed).Msg("request served")
	case EventRefused:
		g.line(g.config.Logger.Info(), event).
			Int("code", int(event.Refusal.Code)).
			Str("ran", event.Refusal.Ran.String()).
			Dur("retry_after", event.Refusal.RetryAfter).
			Msg("request refused")
	}
}

// line adds the fields that all decision lines carry. A nil event, of a level
// that is switched off, costs nothing.
func (g *Gateway) line(log *zerolog.Event, event *Event) *zerolog.Event {
	if log == nil {
		return nil
	}
	log.Str("request", event.Request).Str("tenant", event.Tenant).Int64("revision", int64(event.Revision))
	if event.Pool {
		log.Str("pool", event.Name)
	} else {
		log.Str("model", event.Name)
	}
	if event.Attempt != "" {
		log.Str("attempt", string(event.Attempt)).Str("server", string(event.Server)).Int("slot", int(event.Slot))
	}
	if event.Reason != "" {
		log.Str("reason", event.Reason)
	}
	return log.Dur("elapsed", event.Elapsed)
}
