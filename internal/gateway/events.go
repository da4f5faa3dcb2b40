package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
)

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of Event.
const (
	EventAccepted EventKind = iota
	EventDispatched
	EventRetried
	EventServed
	EventRefused
)

// Event describes a decision about a request, for metrics and logs.
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
	// Reason is why the attempt failed, for EventRetried.
	Reason string
	// Refusal of a refused request.
	Refusal result.Refusal
	// Elapsed is the time since the request was accepted.
	Elapsed time.Duration
	// Cold: the request waited for a replica to be loaded.
	Cold     bool
	Replayed bool
}

// Metrics receives each event. Observe is called without a lock of the gateway
// held; the event is valid only during the call.
type Metrics interface {
	Observe(event *Event)
}

// event adds an event about the entry, to be reported when the shard is unlocked.
func (e *entry) event(section *criticalSection, kind EventKind) *Event {
	section.events = append(section.events, Event{
		Kind:     kind,
		Request:  e.request.ID,
		Tenant:   e.request.Tenant,
		Name:     e.name(),
		Pool:     e.isPool(),
		Priority: e.request.Priority,
		Revision: e.shard.gateway.config.Table.Revision(),
		Elapsed:  section.now.Sub(e.request.Accepted),
		Cold:     e.cold,
	})
	return &section.events[len(section.events)-1]
}

// report passes an event to the metrics and writes its log line.
func (g *Gateway) report(event *Event) {
	if g.config.Metrics != nil {
		g.config.Metrics.Observe(event)
	}
	switch event.Kind {
	case EventAccepted:
		g.withFields(g.config.Logger.Debug(), event).Msg("request accepted")
	case EventDispatched:
		g.withFields(g.config.Logger.Debug(), event).Msg("request dispatched")
	case EventRetried:
		g.withFields(g.config.Logger.Info(), event).Msg("attempt failed, request goes back to the queue")
	case EventServed:
		g.withFields(g.config.Logger.Info(), event).Bool("cold", event.Cold).Bool("replayed", event.Replayed).Msg("request served")
	case EventRefused:
		g.withFields(g.config.Logger.Info(), event).
			Int("code", int(event.Refusal.Code)).
			Str("ran", event.Refusal.Ran.String()).
			Dur("retry_after", event.Refusal.RetryAfter).
			Msg("request refused")
	}
}

// withFields adds the fields that all log lines about requests have. The zerolog
// event is nil if its level is disabled; then nothing is formatted.
func (g *Gateway) withFields(log *zerolog.Event, event *Event) *zerolog.Event {
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
