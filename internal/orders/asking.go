package orders

import (
	"context"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/placement"
)

// askAtOnce is how many servers are asked for reports at once. A new holder has to hear
// each server once, and each question takes a connection: 9,640 at once took all of a
// machine's 4,100 descriptors, so that neither callers nor nodes reached it any more. At
// 5 ms a question it is 6,000 servers a second.
const askAtOnce = 32

// asking is the order in which servers are asked for reports in a term. The holder's lock
// guards it.
type asking struct {
	queue   []*entry
	workers int
}

// ask begins to ask the servers, those first that hold what is waited for. It must be
// called with the lock held; those that were not asked before are forgotten.
func (h *Holder) ask(ctx context.Context, stale []*entry, now time.Time) {
	if len(stale) > askAtOnce {
		stale = waitedFirst(stale, h.demand.waited(now))
	}
	h.asking.queue = stale
	for h.asking.workers < askAtOnce && h.asking.workers < len(stale) {
		h.asking.workers++
		go h.askAll(ctx, h.asking)
	}
}

// waitedFirst returns the servers with those first that hold one of the models.
func waitedFirst(servers []*entry, models map[comingKey]bool) []*entry {
	ordered := make([]*entry, 0, len(servers))
	var others []*entry
	for _, server := range servers {
		if server.holdsAny(models) {
			ordered = append(ordered, server)
		} else {
			others = append(others, server)
		}
	}
	return append(ordered, others...)
}

// askAll asks one server after the other until none is left to ask, or the term is over.
func (h *Holder) askAll(ctx context.Context, term *asking) {
	for {
		next := h.nextAsked(ctx, term)
		if next == nil {
			return
		}
		h.refresh(ctx, next)
	}
}

func (h *Holder) nextAsked(ctx context.Context, term *asking) *entry {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	for len(term.queue) > 0 && ctx.Err() == nil {
		next := term.queue[0]
		term.queue = term.queue[1:]
		if next.working || !next.stale() || h.backoffLeft(next.server, now) > 0 {
			continue
		}
		next.working, next.busyUntil = true, now.Add(reportLag)
		return next
	}
	term.workers--
	return nil
}

// holdsAny reports whether the server holds one of the models, as far as known.
func (e *entry) holdsAny(models map[comingKey]bool) bool {
	for name := range e.server.Models {
		if models[comingKey{e.server.Pool, name}] {
			return true
		}
	}
	return false
}

// unasked: nothing but the server's record tells what it holds.
func (e *entry) unasked() bool { return !e.known && e.suspectUntil.IsZero() }

// recordedReplicas are the models that a server's record shows.
func recordedReplicas(server *fleet.Server) map[string]placement.Replica {
	replicas := make(map[string]placement.Replica, len(server.Models))
	for name, held := range server.Recorded() {
		replicas[name] = placement.Replica{Adapters: held.Adapters}
	}
	return replicas
}
