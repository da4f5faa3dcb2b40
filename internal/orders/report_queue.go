package orders

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/placement"
)

// maxConcurrentReports bounds the concurrent calls to servers for reports. A new holder needs a
// report from each server, and each call takes a connection: 9,640 concurrent calls took all
// of a machine's 4,100 file descriptors, so that neither callers nor nodes could connect to it.
// At 5 ms a call, 32 allow some 6,000 servers a second.
const maxConcurrentReports = 32

// newReportLimiter returns what bounds the calls to servers for reports; zero: no bound.
func newReportLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), maxConcurrentReports)
}

// reportQueue holds the servers still to be asked for reports in a term, in that order, and the
// number of workers that ask them. The holder's lock guards it.
type reportQueue struct {
	servers []*entry
	workers int
}

// requestReports starts to ask the servers for reports, beginning with those that hold awaited
// models. It replaces the queue, including servers not asked yet. It must be called with the
// lock held.
func (h *Holder) requestReports(ctx context.Context, stale []*entry, now time.Time) {
	if len(stale) > maxConcurrentReports {
		stale = awaitedFirst(stale, h.demand.awaitedModels(now))
	}
	h.reports.servers = stale
	for h.reports.workers < maxConcurrentReports && h.reports.workers < len(stale) {
		h.reports.workers++
		go h.runReportWorker(ctx, h.reports)
	}
}

// awaitedFirst returns the servers in a new order: first those that hold one of the models.
func awaitedFirst(servers []*entry, models map[modelKey]bool) []*entry {
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

// runReportWorker asks one server after the other until the queue is empty or the term has
// ended.
func (h *Holder) runReportWorker(ctx context.Context, queue *reportQueue) {
	for {
		next := h.nextToReport(ctx, queue)
		if next == nil {
			return
		}
		if h.reportLimiter.Wait(ctx) != nil {
			h.finish(next, nil)
			continue
		}
		h.refresh(ctx, next)
	}
}

// nextToReport takes the next server to ask from the queue and marks it busy. It returns nil, and
// counts the worker as ended, if there is none or the term has ended.
func (h *Holder) nextToReport(ctx context.Context, queue *reportQueue) *entry {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	for len(queue.servers) > 0 && ctx.Err() == nil {
		next := queue.servers[0]
		queue.servers = queue.servers[1:]
		if next.busy || !next.stale() || h.remainingBackoff(next.server, now) > 0 {
			continue
		}
		next.busy, next.busyUntil = true, now.Add(maxReportAge)
		return next
	}
	queue.workers--
	return nil
}

// holdsAny reports whether the server holds one of the models, as far as known.
func (e *entry) holdsAny(models map[modelKey]bool) bool {
	for name := range e.server.Models {
		if models[modelKey{e.server.Pool, name}] {
			return true
		}
	}
	return false
}

// unreported reports whether only the server's record shows what it holds: it has not reported
// in this term, and no order or call for a report has ended without one.
func (e *entry) unreported() bool { return !e.reported && e.suspectUntil.IsZero() }

// recordedReplicas returns the models that a server's record shows.
func recordedReplicas(server *fleet.Server) map[string]placement.Replica {
	replicas := make(map[string]placement.Replica, len(server.Models))
	for name, held := range server.Recorded() {
		replicas[name] = placement.Replica{Adapters: held.Adapters}
	}
	return replicas
}
