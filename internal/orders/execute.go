package orders

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/placement"
)

const (
	// orderTimeout limits the wait for the reply to an order.
	orderTimeout = 400 * time.Millisecond
	// reportTimeout limits the wait for a server's report.
	reportTimeout = 400 * time.Millisecond
	// propagationTime passes between notifying the nodes of an unload and ordering it, so
	// that they stop sending requests for it.
	propagationTime = 8 * time.Millisecond
	// adapterLoadTime is the time from an order to load an adapter until it can be used.
	adapterLoadTime = 18 * time.Millisecond
	// pollPeriod is the time between reports while an order is in progress.
	pollPeriod = 50 * time.Millisecond
	// maxReportAge is how old the state in a report may be.
	maxReportAge = 120 * time.Millisecond
	// An order is waited for up to loadWaitFactor times its expected time, plus
	// orderWaitMargin.
	loadWaitFactor  = 4
	orderWaitMargin = 4 * time.Second
	// suspectTime is how long a server that did not answer is left out of plans.
	suspectTime = 700 * time.Millisecond
	// unconfirmedLoadTime is how long a load whose order got no reply counts as possibly in
	// progress: longer than trying all servers takes, shorter than an overloaded model
	// should wait for a replica. The value is an estimate.
	unconfirmedLoadTime = 2 * time.Second
)

// execute sends one order and waits until it is carried out. The entry is busy
// meanwhile.
func (h *Holder) execute(ctx context.Context, term *Term, target *entry, action placement.Action) {
	defer h.Wake()
	if action.Kind == placement.Unload || action.Kind == placement.UnloadAdapter {
		h.pushChange(target, action.Model)
		clock.Sleep(ctx, propagationTime)
	}
	h.mutex.Lock()
	order := Order{
		Server: target.server, Kind: action.Kind, Model: action.Model, Adapter: action.Adapter,
		Holder: h.config.Name, Token: term.Token, ExpectSequence: target.sequence,
	}
	h.mutex.Unlock()
	reply, sent, err := h.send(ctx, term, order)
	h.countOrder(action, reply, sent, err)
	h.logOrder(order, action, reply, sent, err)
	switch {
	case !sent:
		h.finish(target, nil)
	case err != nil || reply == ReplyConflict || reply == ReplyOtherInstance || reply == ReplyFenced || reply == ReplyInvalid:
		if err != nil && !errors.Is(err, ErrNotSent) {
			h.noteUnconfirmedLoad(target, action)
		}
		// Reads the server's current state. Should the order still arrive late, its
		// expected sequence number no longer matches.
		clock.Sleep(ctx, maxReportAge)
		h.refresh(ctx, target)
	case action.Kind == placement.LoadAdapter || action.Kind == placement.UnloadAdapter:
		h.finishAdapterOrder(ctx, target, action, reply)
	default:
		h.awaitCompletion(ctx, target, action, order.ExpectSequence)
	}
}

// noteUnconfirmedLoad records a load whose order got no reply.
func (h *Holder) noteUnconfirmedLoad(target *entry, action placement.Action) {
	if action.Kind != placement.Load {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	target.unconfirmedLoad, target.unconfirmedUntil = action.Model, time.Now().Add(unconfirmedLoadTime)
}

// send sends the order if the server's rate limit and the term allow it. It
// returns false for sent if it did not send it.
func (h *Holder) send(ctx context.Context, term *Term, order Order) (reply Reply, sent bool, err error) {
	grant, ok := h.awaitCapacity(ctx, order.Server)
	if !ok {
		return 0, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	// The term is checked last, since the wait for capacity may have taken time.
	if !term.beginOrder(order.Server.ID, time.Now()) {
		h.config.Limits.Return(grant)
		return 0, false, nil
	}
	order.MaySend = func() bool { return term.MayOrder(time.Now()) }
	reply, err = h.config.Engines.Order(ctx, order)
	if errors.Is(err, ErrNotSent) {
		term.cancelOrder(order.Server.ID)
	} else {
		term.endOrder(order.Server.ID)
	}
	return reply, true, err
}

func (h *Holder) countOrder(action placement.Action, reply Reply, sent bool, err error) {
	if h.config.OnOrder == nil || !sent {
		return
	}
	result := reply.String()
	if err != nil {
		result = "none"
	}
	h.config.OnOrder(action.Kind.String(), result)
}

func (h *Holder) logOrder(order Order, action placement.Action, reply Reply, sent bool, err error) {
	event := h.config.Logger.Info().Str("server", order.Server.ID).Str("order", action.Kind.String()).
		Str("model", order.Model).Str("adapter", order.Adapter).Str("reason", action.Reason).
		Int64("token", order.Token).Int64("sequence", order.ExpectSequence)
	if action.Kind == placement.Load {
		event = event.Str("source", action.Source.String()).Dur("expected_ms", action.Expected)
	}
	if action.Intent != "" {
		event = event.Str("intent", action.Intent)
	}
	if action.Value > 0 {
		event = event.Float64("value", action.Value).Float64("cost", action.Cost)
	}
	switch {
	case !sent:
		event.Msg("order not sent: the term ended, the server asked to back off, or its rate limit is used up")
	case err != nil:
		event.Err(err).Msg("order without an answer")
	default:
		event.Str("reply", reply.String()).Msg("order")
	}
}

// finishAdapterOrder applies an order for an adapter to the entry without polling for
// reports, since such an order completes within adapterLoadTime.
func (h *Holder) finishAdapterOrder(ctx context.Context, target *entry, action placement.Action, reply Reply) {
	if action.Kind == placement.LoadAdapter && reply == ReplyAccepted {
		clock.Sleep(ctx, adapterLoadTime)
	}
	h.mutex.Lock()
	if reply == ReplyAccepted || action.Kind == placement.UnloadAdapter {
		target.sequence++
	}
	if held := target.models[action.Model]; held != nil && action.Kind == placement.LoadAdapter {
		held.adapters[action.Adapter] = true
		h.servers.markChanged(target)
	}
	target.busy, target.loadingAdapter = false, ""
	h.mutex.Unlock()
	h.pushChange(target, action.Model)
}

// awaitCompletion polls for reports until the order has been carried out or its wait limit
// has passed.
func (h *Holder) awaitCompletion(ctx context.Context, target *entry, action placement.Action, sequence int64) {
	started := time.Now()
	fromStore := action.Kind == placement.Load && action.Source == placement.FromStore
	inProgress := h.storeLoadCount()
	first := pollPeriod
	if action.Kind == placement.Load {
		first = action.Expected + maxReportAge/2
	}
	deadline := started.Add(loadWaitFactor*action.Expected + orderWaitMargin)
	clock.Sleep(ctx, first)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		report, err := h.fetchReport(ctx, target)
		if err == nil && report.Sequence > sequence && !report.Busy {
			if fromStore {
				h.observeStoreLoad(action, time.Since(started)-maxReportAge, inProgress)
			}
			h.finish(target, &report)
			h.recordReason(target, action)
			h.pushChange(target, action.Model)
			return
		}
		if err != nil && h.config.View.Load().Servers[action.Server] == nil {
			break
		}
		clock.Sleep(ctx, pollPeriod)
	}
	h.config.Logger.Warn().Str("server", action.Server).Str("order", action.Kind.String()).Str("model", action.Model).
		Dur("after_ms", time.Since(started)).Msg("order not seen to end")
	h.finish(target, nil)
}

func (h *Holder) storeLoadCount() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.servers.storeLoads(time.Now()).count
}

// observeStoreLoad passes the duration of a load from the weight store to the limiter, which
// measures how many loads the store serves at full speed.
func (h *Holder) observeStoreLoad(action placement.Action, took time.Duration, inProgress int) {
	if action.Expected <= 0 {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	before := h.loadLimiter.maxConcurrent
	h.loadLimiter.observe(took.Seconds()/action.Expected.Seconds(), inProgress)
	if h.loadLimiter.maxConcurrent != before {
		h.config.Logger.Info().Int("at_once", h.loadLimiter.maxConcurrent).Int("before", before).Int("under_way", inProgress).
			Dur("took_ms", took).Dur("expected_ms", action.Expected).Msg("loads from the store at once")
	}
}

// recordReason records why a model was loaded.
func (h *Holder) recordReason(target *entry, action placement.Action) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if held := target.models[action.Model]; held != nil && action.Kind == placement.Load {
		held.reason = action.Reason
	}
}

// fetchReport asks a server for a report, within the server's rate limit.
func (h *Holder) fetchReport(ctx context.Context, target *entry) (Report, error) {
	server := h.serverOf(target)
	if _, ok := h.awaitCapacity(ctx, server); !ok {
		return Report{}, errNoCapacity
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return h.config.Engines.Report(ctx, server)
}

// serverOf returns the server of an entry. It changes with the server's record, so it is read
// under the lock.
func (h *Holder) serverOf(target *entry) *fleet.Server {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return target.server
}

// refresh updates an entry by a report from its server.
func (h *Holder) refresh(ctx context.Context, target *entry) {
	defer h.Wake()
	report, err := h.fetchReport(ctx, target)
	if err != nil {
		h.config.Logger.Warn().Str("server", h.serverOf(target).ID).Err(err).Msg("no report")
		h.finish(target, nil)
		return
	}
	if report.Busy {
		// Another order is in progress, for example an earlier holder's; the server is
		// asked again soon.
		h.config.Logger.Info().Str("server", h.serverOf(target).ID).Int64("sequence", report.Sequence).Msg("server is busy")
		h.finish(target, nil)
		return
	}
	h.logReport(target, report)
	h.finish(target, &report)
}

// logReport logs a report that differs from the server's record.
func (h *Holder) logReport(target *entry, report Report) {
	if sameModels(report.Models, h.serverOf(target).Recorded()) {
		return
	}
	h.config.Logger.Info().Str("server", h.serverOf(target).ID).Int64("sequence", report.Sequence).
		Strs("models", slices.Sorted(maps.Keys(report.Models))).Strs("in_memory", slices.Sorted(maps.Keys(report.InMemory))).
		Strs("on_disk", slices.Sorted(maps.Keys(report.OnDisk))).Msg("server reported")
}

// finish marks the order or report of an entry as ended. Without a report the server is
// suspect for suspectTime and is then asked again.
func (h *Holder) finish(target *entry, report *Report) {
	now := time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	target.busy, target.loading, target.unloading, target.loadingAdapter = false, "", "", ""
	if report == nil {
		target.reported = false
		target.suspectUntil = now.Add(suspectTime)
		return
	}
	h.servers.applyReport(target, *report, now)
}
