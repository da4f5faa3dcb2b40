package poison

import (
	"slices"
	"time"
)

// arbitration is what an arbiter keeps of one identity: the node that it allowed a trial last,
// what it told the others of it, and when the next trial may begin.
type arbitration struct {
	node   string
	trial  trialState
	nextAt time.Time
}

// isBusy reports whether a trial may be under way, or its outcome unknown: one that this arbiter
// allowed, or a later one that another arbiter told of.
func (a *arbitration) isBusy(known trialState, now time.Time) bool {
	if a.trial.phase > 0 && a.trial.phase >= known.phase {
		return now.Before(a.nextAt)
	}
	return known.isUnderWay(now)
}

// arbiter returns the collector that decides about an identity's trials, and since when the
// collectors have been the same; it is empty if there is none. All nodes that know the same
// collectors find the same one, without a message.
func (t *trials) arbiter(identity Identity, now time.Time) (arbiter string, since time.Time) {
	collectors := slices.Sorted(slices.Values(t.guard.config.Collectors()))
	t.mutex.Lock()
	if t.collectors != nil && !slices.Equal(collectors, t.collectors) {
		t.sameSince = now
	}
	if len(collectors) > 0 {
		t.collectors = collectors
	}
	since = t.sameSince
	t.mutex.Unlock()
	highest := uint64(0)
	for _, address := range collectors {
		if weight := rendezvousWeight(address, identity); arbiter == "" || weight > highest {
			arbiter, highest = address, weight
		}
	}
	return arbiter, since
}

// decide handles a node's request, as the arbiter, and reports whether the node may begin a trial.
func (t *trials) decide(node string, request TrialRequest, now time.Time) (granted bool) {
	arbiter, since := t.arbiter(request.Identity, now)
	entry, refusesFrom, found := t.guard.quarantine.lookupWithStart(request.Identity, now)
	if !found || !entry.provisional() || arbiter != t.guard.config.Address {
		return false
	}
	// A process that started after the first crash may have missed a trial that another arbiter
	// allowed.
	mayHaveMissed := t.started.After(entry.Since) && now.Sub(t.started) < maxTrialTime+trialPause
	isDue := !now.Before(refusesFrom.Add(trialDelay)) && now.Sub(since) >= arbiterSettling && !mayHaveMissed
	t.mutex.Lock()
	state := t.arbitrated[request.Identity]
	if state == nil {
		state = &arbitration{}
		t.arbitrated[request.Identity] = state
	}
	switch {
	case request.Over:
		if state.node == node {
			state.node, state.nextAt = "", now.Add(trialPause)
		}
		t.mutex.Unlock()
		return false
	case !isDue || state.isBusy(entry.trial, now):
	case request.Wanted:
		granted = true
		// A decision at the same time may not have reached the entry yet.
		entry.trial = entry.trial.merged(state.trial).begun(now.Add(maxTrialTime + trialPause))
		state.node, state.trial, state.nextAt = node, entry.trial, entry.trial.until
	default:
		entry.trial = entry.trial.opened(now.Add(askedExtension))
	}
	t.mutex.Unlock()
	t.prolong(entry, refusesFrom.Add(initialQuarantine), now)
	if granted {
		t.guard.config.Logger.Info().Str("identity", request.Identity.Text()).Str("trying", node).Int("crashes", len(entry.Servers)).Msg("refused request is tried by one node")
	}
	return granted
}

// prolong keeps an entry in force while its callers ask and its trial may be under way, at all
// nodes, at most until the limit: a node at which it had ended would run the request as well.
func (t *trials) prolong(entry Entry, limit, now time.Time) {
	until := now.Add(askedExtension)
	if entry.trial.isUnderWay(now) {
		until = entry.trial.until.Add(askedExtension)
	}
	if until.After(entry.Until) && until.Before(limit) {
		entry.Until = until
	}
	if t.guard.applyEntry(entry, "its trial", 0) {
		t.guard.broadcast(entry.message(now), true)
	}
}
