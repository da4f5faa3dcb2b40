package poison

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

const (
	// trialAskTimeout is the timeout of a TrialRequest.
	trialAskTimeout = 400 * time.Millisecond
	// maxTrialTime is the longest time for which a trial is granted. A node that stops meanwhile
	// holds up the next trial for as long.
	maxTrialTime = 15 * time.Second
	// trialMargin is how much longer than its request a trial is granted: a crash has to be
	// reported and decided on before the next trial.
	trialMargin = 2 * time.Second
	// trialPause is the time before a further trial after one that decided nothing. It doubles up
	// to maxTrialPause.
	trialPause, maxTrialPause = time.Second, time.Minute
	// trialSpacing is the time between the trials of two identities, unless the first is decided
	// earlier. Two at one server would leave open which one crashed it.
	trialSpacing = 2 * time.Second
	// ambiguousTrialDelay is how long requests are preferred, once an identity admits trials, whose
	// other identities can't be the cause of a crash.
	ambiguousTrialDelay = 2 * time.Second
	// trialTurnTime is how long the turn of an identity is kept that had to wait for the trial of another
	// one: longer than the Retry-After of its callers.
	trialTurnTime = 1500 * time.Millisecond
	// maxTrialWait bounds the Retry-After of a request that is refused beside a trial.
	maxTrialWait = time.Second
)

// TrialEvent is what happens to a trial, as a label of metrics.
type TrialEvent string

// The events.
const (
	TrialGranted   TrialEvent = "granted"
	TrialDenied    TrialEvent = "denied"
	TrialServed    TrialEvent = "served"
	TrialCrashed   TrialEvent = "crashed"
	TrialUndecided TrialEvent = "undecided"
)

// Trial is the permission to run a request once, at one server, although it is quarantined. The
// outcome decides: served, it is released; if the server crashes, it is quarantined again.
type Trial struct {
	// id distinguishes the trial from others of the same identities.
	id    uint64
	tried []Identity
	// sendBy is the time by which the request must be sent. A node that is paused, or holds the
	// request for longer, doesn't run it beside the next trial.
	sendBy time.Time
	// reported is set once the outcome is known, or is being found out by a probe of the server.
	reported atomic.Bool
}

// identities returns those on trial; none without a trial.
func (t *Trial) identities() []Identity {
	if t == nil {
		return nil
	}
	return t.tried
}

// Refusal says why a request may not run.
type Refusal struct {
	// Part is the ID of the part of the prompt that is quarantined; empty if the whole request is.
	Part string
	// RetryAfter is the time after which it may run.
	RetryAfter time.Duration
}

// Refused returns the refusal of a request that is quarantined, unless it may be sent as a trial.
func (g *Guard) Refused(request Request) (Refusal, bool) {
	now := time.Now()
	if g.quarantine.isEmpty() || request.Trial != nil && now.Before(request.Trial.sendBy) {
		return Refusal{}, false
	}
	for _, identity := range request.identities() {
		if entry, refused := g.quarantine.Refused(identity, now); refused {
			return Refusal{Part: request.partNamed(identity), RetryAfter: entry.refusedFor(now)}, true
		}
	}
	return Refusal{}, false
}

// trialOf returns the identity that a request is mainly a trial of, its narrowest quarantined one; its
// other identities; and the quarantined ones among these.
func (r Request) trialOf(due []Identity) (identity Identity, others, quarantined []Identity) {
	identity = due[len(due)-1]
	if due[0] == r.Identity {
		identity = r.Identity
	}
	isNarrowest := func(other Identity) bool { return other == identity }
	return identity, slices.DeleteFunc(r.identities(), isNarrowest), slices.DeleteFunc(slices.Clone(due), isNarrowest)
}

// refusedFor is the time until a request may run again, as a trial at the earliest.
func (e Entry) refusedFor(now time.Time) time.Duration { return max(e.Until.Sub(now), maxTrialWait) }

// Admit decides whether a request with this deadline may run. Where it is quarantined and trials
// are due, it returns the trial that it may run as, if the node that grants them agrees. The
// caller must end the trial.
func (g *Guard) Admit(ctx context.Context, request Request, deadline time.Time) (*Trial, *Refusal) {
	if g.quarantine.isEmpty() {
		return nil, nil
	}
	now := time.Now()
	all := request.identities()
	var due []Identity
	for _, identity := range all {
		entry, refused := g.quarantine.Refused(identity, now)
		if refused && now.Before(entry.Until) {
			return nil, &Refusal{Part: request.partNamed(identity), RetryAfter: entry.refusedFor(now)}
		}
		if refused {
			due = append(due, identity)
		}
	}
	if len(due) == 0 {
		return nil, nil
	}
	identity, others, quarantined := request.trialOf(due)
	lasts := min(deadline.Sub(now)+trialMargin, maxTrialTime)
	trial := &Trial{id: rand.Uint64(), tried: due, sendBy: now.Add(lasts - trialMargin)}
	reply := g.askForTrial(ctx, TrialRequest{Identity: identity, Others: others, Quarantined: quarantined, For: lasts, Trial: trial.id})
	if !reply.Granted {
		g.config.OnTrial(TrialDenied)
		return nil, &Refusal{Part: request.partNamed(identity), RetryAfter: max(reply.Wait, minTrialWait)}
	}
	g.config.OnTrial(TrialGranted)
	g.config.Logger.Info().Strs("identities", loggedIdentities(trial.tried)).Msg("trial of a quarantined request granted")
	return trial, nil
}

// minTrialWait is the shortest Retry-After of a request that gets no trial.
const minTrialWait = 100 * time.Millisecond

// EndTrial ends a trial. Unless its outcome was reported, it has decided nothing; sent tells
// whether a server may have run it.
func (g *Guard) EndTrial(trial *Trial, sent bool) {
	if trial == nil || trial.reported.Load() {
		return
	}
	if sent {
		g.config.OnTrial(TrialUndecided)
	}
	for _, identity := range trial.tried {
		ended := TrialEnded{Identity: identity, Sent: sent, Trial: trial.id}
		switch granter := g.trialGranter(); granter {
		case "":
		case g.config.Address:
			g.trials.end(ended, time.Now())
		default:
			g.config.Transport.Send(granter, ended)
		}
	}
}

// trialGranter returns the address of the collector that grants all trials; empty if none is known.
func (g *Guard) trialGranter() string {
	var granter string
	var most uint64
	for _, collector := range g.config.Collectors() {
		if weight := rendezvousWeight(collector, Identity{}); granter == "" || weight > most {
			granter, most = collector, weight
		}
	}
	return granter
}

// askForTrial asks the node that grants trials. Without an answer none is granted.
func (g *Guard) askForTrial(ctx context.Context, ask TrialRequest) TrialReply {
	denied := TrialReply{Wait: maxTrialWait}
	granter := g.trialGranter()
	switch granter {
	case "":
		return denied
	case g.config.Address:
		return g.grantTrial(ask)
	}
	replies := make(chan TrialReply, 1)
	g.config.Transport.Call(granter, ask, trialAskTimeout, func(message peer.Message, err error) {
		reply, ok := message.(TrialReply)
		if err != nil || !ok {
			reply = denied
			g.endUnused(granter, ask)
		}
		replies <- reply
	})
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		go func() {
			if reply := <-replies; reply.Granted {
				g.endUnused(granter, ask)
			}
		}()
		return denied
	}
}

// endUnused ends a trial that may have been granted to a request that will not run.
func (g *Guard) endUnused(granter string, ask TrialRequest) {
	for _, identity := range ask.identities() {
		g.config.Transport.Send(granter, TrialEnded{Identity: identity, Trial: ask.Trial})
	}
}

func (g *Guard) serveTrialRequest(_ string, message peer.Message, reply func(peer.Message, error)) {
	reply(g.grantTrial(message.(TrialRequest)), nil)
}

func (g *Guard) serveTrialEnded(_ string, message peer.Message, reply func(peer.Message, error)) {
	g.trials.end(message.(TrialEnded), time.Now())
	reply(nil, nil)
}

// grantTrial grants a trial unless one is under way. A request whose crash would leave open which of
// its identities was the cause is granted one after ambiguousTrialDelay: there may be no other.
func (g *Guard) grantTrial(ask TrialRequest) TrialReply {
	now := time.Now()
	g.clearServed()
	entry, quarantined := g.quarantine.Lookup(ask.Identity, now)
	early := now.Before(entry.Until.Add(ambiguousTrialDelay))
	if early || !quarantined {
		if g.crashes.IsAmbiguous(ask.Identity, ask.Others, g.quarantine.quarantinedAt(now)) {
			return TrialReply{Wait: maxTrialWait}
		}
	}
	return g.trials.grant(ask, now)
}

// identities returns those that the request is a trial of.
func (r TrialRequest) identities() []Identity {
	return append([]Identity{r.Identity}, r.Quarantined...)
}

// trials are the trials that this node has granted.
type trials struct {
	mutex   sync.Mutex
	granted map[Identity]grantedTrial
	// latest is the identity of the latest one, and spacedUntil the time from which that of another
	// one may follow.
	latest      Identity
	spacedUntil time.Time
	// waiting are the identities that were denied a trial because of another one's.
	waiting map[Identity]waitingTrial
}

// waitingTrial is since when an identity waits for its turn, and when it was last asked for.
type waitingTrial struct{ since, asked time.Time }

// grantedTrial is the latest trial of an identity.
type grantedTrial struct {
	// id as in TrialRequest.
	id uint64
	// until is the time at which the next one may be granted.
	until time.Time
	// undecided is the number of trials in a row that decided nothing.
	undecided int
}

func newTrials() *trials {
	return &trials{granted: map[Identity]grantedTrial{}, waiting: map[Identity]waitingTrial{}}
}

// grant grants a trial if the latest one is over.
func (t *trials) grant(ask TrialRequest, now time.Time) TrialReply {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := ask.identities()
	left := t.ownWait(all, now)
	if left > 0 {
		return TrialReply{Wait: min(left, maxTrialWait)}
	}
	if !slices.Contains(all, t.latest) {
		left = t.spacedUntil.Sub(now)
	}
	if left > 0 || t.isBehindAnother(ask.Identity, now) {
		t.await(ask.Identity, now)
		return TrialReply{Wait: min(max(left, minTrialWait), maxTrialWait)}
	}
	delete(t.waiting, ask.Identity)
	t.latest, t.spacedUntil = ask.Identity, now.Add(trialSpacing)
	for _, identity := range all {
		latest := t.granted[identity]
		latest.id, latest.until = ask.Trial, now.Add(min(max(ask.For, trialMargin), maxTrialTime))
		t.granted[identity] = latest
	}
	for len(t.granted) > maxEntries {
		dropEarliest(t.granted, func(granted grantedTrial) time.Time { return granted.until })
	}
	return TrialReply{Granted: true}
}

// ownWait is the time until the latest trials of the identities are over. The lock must be held.
func (t *trials) ownWait(identities []Identity, now time.Time) time.Duration {
	left := time.Duration(0)
	for _, identity := range identities {
		left = max(left, t.granted[identity].until.Sub(now))
	}
	return left
}

// await records that an identity waits for its turn. The lock must be held.
func (t *trials) await(identity Identity, now time.Time) {
	waiting, known := t.waiting[identity]
	if !known {
		waiting.since = now
	}
	waiting.asked = now
	t.waiting[identity] = waiting
	for len(t.waiting) > maxEntries {
		dropEarliest(t.waiting, func(waiting waitingTrial) time.Time { return waiting.asked })
	}
}

// isBehindAnother reports whether another identity has waited for longer, and will be asked for again.
// The lock must be held.
func (t *trials) isBehindAnother(identity Identity, now time.Time) bool {
	maps.DeleteFunc(t.waiting, func(_ Identity, waiting waitingTrial) bool { return now.Sub(waiting.asked) > trialTurnTime })
	own, known := t.waiting[identity]
	for other, waiting := range t.waiting {
		if other == identity || known && !waiting.since.Before(own.since) {
			continue
		}
		if t.ownWait([]Identity{other}, now) <= 0 {
			return true
		}
	}
	return false
}

// end ends a trial that decided nothing, unless a later one has followed. The next one may follow at once if no server ran it.
func (t *trials) end(ended TrialEnded, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	latest, granted := t.granted[ended.Identity]
	if !granted || latest.id != ended.Trial {
		return
	}
	latest.until = now
	t.endSpacing(ended.Identity)
	if ended.Sent {
		latest.until = now.Add(min(trialPause<<min(latest.undecided, 6), maxTrialPause))
		latest.undecided++
	}
	t.granted[ended.Identity] = latest
}

// forget drops the trials of an identity that is decided on.
func (t *trials) forget(identity Identity) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.granted, identity)
	delete(t.waiting, identity)
	t.endSpacing(identity)
}

// endSpacing lets the trial of another identity follow at once. The lock must be held.
func (t *trials) endSpacing(identity Identity) {
	if t.latest == identity {
		t.spacedUntil = time.Time{}
	}
}
