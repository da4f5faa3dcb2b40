package orders

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/placement"
)

const (
	// orderTimeout is how long an answer to an order is waited for.
	orderTimeout = 400 * time.Millisecond
	// reportTimeout is how long a report is waited for.
	reportTimeout = 400 * time.Millisecond
	// spreadTime is left between telling the nodes that something goes and
	// ordering it.
	spreadTime = 8 * time.Millisecond
	// adapterTime is how long an adapter takes until it is used.
	adapterTime = 18 * time.Millisecond
	// pollPeriod between reports while an order is under way.
	pollPeriod = 50 * time.Millisecond
	// reportLag is how old the state in a report may be.
	reportLag = 120 * time.Millisecond
	// loadPatience times the expected time is waited for a load; orderPatience is
	// added.
	loadPatience  = 4
	orderPatience = 4 * time.Second
	// suspectTime is how long nothing is planned on a server that did not answer.
	suspectTime = 700 * time.Millisecond
	// doubtTime is how long a load that was ordered without an answer counts as one
	// that may come: longer than it takes to try all servers, shorter than a crowded
	// model should wait for a replica. An estimate.
	doubtTime = 2 * time.Second
)

// execute gives one order and follows it to its end. The entry is working
// meanwhile.
func (h *Holder) execute(ctx context.Context, term *Term, target *entry, action placement.Action) {
	defer h.Wake()
	if action.Kind == placement.Unload || action.Kind == placement.UnloadAdapter {
		h.tellChange(target, action.Model)
		clock.Sleep(ctx, spreadTime)
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
		if err != nil {
			h.doubt(target, action)
		}
		// What holds now is read; an order that comes late finds another count.
		clock.Sleep(ctx, reportLag)
		h.refresh(ctx, target)
	case action.Kind == placement.LoadAdapter || action.Kind == placement.UnloadAdapter:
		h.adapterDone(ctx, target, action, reply)
	default:
		h.follow(ctx, target, action, order.ExpectSequence)
	}
}

// doubt notes a load that was ordered without an answer.
func (h *Holder) doubt(target *entry, action placement.Action) {
	if action.Kind != placement.Load {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	target.doubtful, target.doubtUntil = action.Model, time.Now().Add(doubtTime)
}

// send gives the order if the term still allows it.
func (h *Holder) send(ctx context.Context, term *Term, order Order) (reply Reply, sent bool, err error) {
	grant, may := h.awaitRoom(ctx, order.Server)
	if !may {
		return 0, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	// The term is asked last, since waiting for room may have taken time.
	if !term.begin(order.Server.ID, time.Now()) {
		h.config.Limits.Return(grant)
		return 0, false, nil
	}
	defer term.done(order.Server.ID)
	reply, err = h.config.Engines.Order(ctx, order)
	return reply, true, err
}

func (h *Holder) countOrder(action placement.Action, reply Reply, sent bool, err error) {
	if h.config.OnOrder == nil || !sent {
		return
	}
	word := reply.String()
	if err != nil {
		word = "none"
	}
	h.config.OnOrder(action.Kind.String(), word)
}

func (h *Holder) logOrder(order Order, action placement.Action, reply Reply, sent bool, err error) {
	event := h.config.Logger.Info().Str("server", order.Server.ID).Str("order", action.Kind.String()).
		Str("model", order.Model).Str("adapter", order.Adapter).Str("reason", action.Reason).
		Int64("token", order.Token).Int64("sequence", order.ExpectSequence)
	if action.Kind == placement.Load {
		event = event.Str("source", action.Source.String()).Dur("expected_ms", action.Expected)
	}
	switch {
	case !sent:
		event.Msg("order not sent: the term is over, or the server wants nothing")
	case err != nil:
		event.Err(err).Msg("order without an answer")
	default:
		event.Str("reply", reply.String()).Msg("order")
	}
}

// adapterDone takes over an order about an adapter, which takes no time worth
// asking for.
func (h *Holder) adapterDone(ctx context.Context, target *entry, action placement.Action, reply Reply) {
	if action.Kind == placement.LoadAdapter && reply == ReplyAccepted {
		clock.Sleep(ctx, adapterTime)
	}
	h.mutex.Lock()
	if reply == ReplyAccepted || action.Kind == placement.UnloadAdapter {
		target.sequence++
	}
	if held := target.models[action.Model]; held != nil && action.Kind == placement.LoadAdapter {
		held.adapters[action.Adapter] = true
		h.ledger.changed(target)
	}
	target.working, target.loadingAdapter = false, ""
	h.mutex.Unlock()
	h.tellChange(target, action.Model)
}

// follow asks for reports until the order was carried out.
func (h *Holder) follow(ctx context.Context, target *entry, action placement.Action, sequence int64) {
	started := time.Now()
	fromStore := action.Kind == placement.Load && action.Source == placement.FromStore
	underWay := h.storeLoadCount()
	first := pollPeriod
	if action.Kind == placement.Load {
		first = action.Expected + reportLag/2
	}
	deadline := started.Add(loadPatience*action.Expected + orderPatience)
	clock.Sleep(ctx, first)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		report, err := h.report(ctx, target)
		if err == nil && report.Sequence > sequence && !report.Busy {
			if fromStore {
				h.storeLoadEnded(action, time.Since(started)-reportLag, underWay)
			}
			h.finish(target, &report)
			h.noteReason(target, action)
			h.tellChange(target, action.Model)
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
	return h.ledger.storeLoads(time.Now()).count
}

// storeLoadEnded learns how many loads the store serves at full speed.
func (h *Holder) storeLoadEnded(action placement.Action, took time.Duration, underWay int) {
	if action.Expected <= 0 {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	before := h.ceiling.atOnce
	h.ceiling.ended(took.Seconds()/action.Expected.Seconds(), underWay)
	if h.ceiling.atOnce != before {
		h.config.Logger.Info().Int("at_once", h.ceiling.atOnce).Int("before", before).Int("under_way", underWay).
			Dur("took_ms", took).Dur("expected_ms", action.Expected).Msg("loads from the store at once")
	}
}

// noteReason keeps why a model was loaded.
func (h *Holder) noteReason(target *entry, action placement.Action) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if held := target.models[action.Model]; held != nil && action.Kind == placement.Load {
		held.reason = action.Reason
	}
}

func (h *Holder) report(ctx context.Context, target *entry) (Report, error) {
	server := h.serverOf(target)
	if _, may := h.awaitRoom(ctx, server); !may {
		return Report{}, errQuiet
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return h.config.Engines.Report(ctx, server)
}

// serverOf returns the server of an entry, which changes with its record.
func (h *Holder) serverOf(target *entry) *fleet.Server {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return target.server
}

// refresh reads what a server holds.
func (h *Holder) refresh(ctx context.Context, target *entry) {
	defer h.Wake()
	report, err := h.report(ctx, target)
	if err != nil {
		h.config.Logger.Warn().Str("server", h.serverOf(target).ID).Err(err).Msg("no report")
		h.finish(target, nil)
		return
	}
	if report.Busy {
		// An order of somebody is under way; it is looked at again soon.
		h.config.Logger.Info().Str("server", h.serverOf(target).ID).Int64("sequence", report.Sequence).Msg("server is busy")
		h.finish(target, nil)
		return
	}
	h.logReport(target, report)
	h.finish(target, &report)
}

// logReport tells what a server holds where its record says something else.
func (h *Holder) logReport(target *entry, report Report) {
	if sameModels(report.Models, h.serverOf(target).Recorded()) {
		return
	}
	h.config.Logger.Info().Str("server", h.serverOf(target).ID).Int64("sequence", report.Sequence).
		Strs("models", slices.Sorted(maps.Keys(report.Models))).Strs("in_memory", slices.Sorted(maps.Keys(report.InMemory))).
		Strs("on_disk", slices.Sorted(maps.Keys(report.OnDisk))).Msg("server reported")
}

// finish ends the work on an entry. Without a report the server is suspect for
// a while and then asked again.
func (h *Holder) finish(target *entry, report *Report) {
	now := time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	target.working, target.loading, target.unloading, target.loadingAdapter = false, "", "", ""
	if report == nil {
		target.known = false
		target.suspectUntil = now.Add(suspectTime)
		return
	}
	h.ledger.reported(target, *report, now)
}
