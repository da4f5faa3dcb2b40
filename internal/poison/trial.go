package poison

import (
	"context"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

const (
	// trialDelay is the time from which on a provisional entry is tried, after it began to refuse:
	// the rivals of a poison request that are still sent are served within it, which proves the
	// entry without another crash.
	trialDelay = 2 * time.Second
	// trialPause is the time between the end of a trial and the next one. If a server crashed
	// under it, that is known by then: it takes secondProbeDelay, reportBatchDelay and
	// decisionDelay, and the messages between.
	trialPause = time.Second
	// maxTrialTime is the longest time that a request may still have when it is allowed as a trial.
	// If its node crashes, the next trial waits for as long.
	maxTrialTime = time.Minute
	// trialAskTimeout is the timeout of a node's question whether it may try. The request waits
	// for the answer.
	trialAskTimeout = 250 * time.Millisecond
	// askPeriod is the shortest time between two reports of a node that a caller asked for an
	// identity.
	askPeriod = 250 * time.Millisecond
	// askedExtension is for how long a provisional entry stays in force, and open for a trial, after
	// a caller asked. Callers that are told to retry after trialDelay ask more often.
	askedExtension = 4 * time.Second
	// minExtension is the least by which a message prolongs an entry: a smaller difference is the
	// latency of messages, and would be forwarded without end.
	minExtension = time.Second
	// arbiterSettling is how long the collectors must have been the same before one of them
	// allows a trial: the messages of the arbiter before are received by then.
	arbiterSettling = time.Second
)

// TrialRequest asks a collector whether its sender may run a quarantined request once, or reports
// the end of that run.
type TrialRequest struct {
	Identity Identity
	// Wanted: the sender has a request that waits for the answer. Otherwise it only reports that a
	// caller asked.
	Wanted bool
	// Over: the sender's run has ended, or did not take place.
	Over bool
}

// trials ends quarantines that no proof supports. Such an identity runs once, at one node, while
// all others go on refusing it: if a server serves it, it is released; if one crashes under it
// alone, that is the proof.
//
// One collector, the arbiter of the identity, allows this to one node at a time. While callers
// ask, it tells all nodes that a trial may begin, and until when one may be under way at most, so
// that another arbiter waits for as long. A node that has a request then asks for permission.
type trials struct {
	guard *Guard
	// started is when this process started: it may have missed what an arbiter told before.
	started time.Time

	mutex sync.Mutex
	// collectors as last seen, which have been the same since the time.
	collectors []string
	sameSince  time.Time
	// arbitrated is what this node keeps as an arbiter.
	arbitrated map[Identity]*arbitration
	// own are the trials of this node, and those that it has asked for.
	own map[Identity]*ownTrial
	// askedAt are the times at which this node last reported that a caller asked.
	askedAt map[Identity]time.Time
}

// ownTrial is a request of this node that is a trial, or asks to be one.
type ownTrial struct {
	arbiter string
	// answered is closed once granted is known. begun: a caller waits for that, or has waited.
	answered       chan struct{}
	granted, begun bool
}

func newTrials(guard *Guard) *trials {
	now := time.Now()
	return &trials{
		guard: guard, started: now, sameSince: now.Add(-arbiterSettling),
		arbitrated: map[Identity]*arbitration{}, own: map[Identity]*ownTrial{}, askedAt: map[Identity]time.Time{},
	}
}

// admit reports whether a request may be the trial of an entry, and asks the arbiter for
// permission, for which begin waits. Otherwise it reports to the arbiter that a caller asked.
func (t *trials) admit(entry Entry, now time.Time) bool {
	arbiter, _ := t.arbiter(entry.Identity, now)
	if arbiter == "" {
		return false
	}
	request := TrialRequest{Identity: entry.Identity}
	if !entry.trial.isOpen(now) {
		if t.mayReport(entry.Identity, now) {
			t.send(arbiter, request)
		}
		return false
	}
	own := &ownTrial{arbiter: arbiter, answered: make(chan struct{})}
	t.mutex.Lock()
	_, busy := t.own[entry.Identity]
	if !busy {
		t.own[entry.Identity] = own
	}
	t.mutex.Unlock()
	if busy {
		return false
	}
	request.Wanted = true
	if arbiter == t.guard.config.Address {
		t.answer(entry.Identity, own, t.decide(arbiter, request, now))
		return own.granted
	}
	t.guard.config.Transport.Call(arbiter, Report{Trial: &request}, trialAskTimeout, func(message peer.Message, err error) {
		entries, understood := message.(Entries)
		if err != nil {
			t.guard.config.Logger.Debug().Str("node", arbiter).Err(err).Msg("trial of a refused request not answered")
			// The answer that did not arrive may be a permission.
			t.send(arbiter, TrialRequest{Identity: entry.Identity, Over: true})
		}
		t.answer(entry.Identity, own, err == nil && understood && entries.TrialGranted)
	})
	return true
}

// mayReport reports whether this node has not reported within askPeriod that a caller asked.
func (t *trials) mayReport(identity Identity, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if now.Sub(t.askedAt[identity]) < askPeriod {
		return false
	}
	t.askedAt[identity] = now
	return true
}

// send sends a request that needs no answer to an arbiter.
func (t *trials) send(arbiter string, request TrialRequest) {
	if arbiter == t.guard.config.Address {
		t.decide(arbiter, request, time.Now())
		return
	}
	t.guard.config.Transport.Send(arbiter, Report{Trial: &request})
}

// answer records an arbiter's answer.
func (t *trials) answer(identity Identity, own *ownTrial, granted bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	own.granted = granted
	if !granted && t.own[identity] == own {
		delete(t.own, identity)
	}
	close(own.answered)
}

// begin waits for the permission that admit asked for. It gives it back if the caller has left
// or if the request may run for longer than trials may.
func (t *trials) begin(ctx context.Context, identity Identity, bound time.Duration) bool {
	t.mutex.Lock()
	own := t.own[identity]
	if own == nil || own.begun {
		t.mutex.Unlock()
		return false
	}
	own.begun = true
	t.mutex.Unlock()
	select {
	case <-own.answered:
	case <-ctx.Done():
		go func() {
			<-own.answered
			t.ended(identity)
		}()
		return false
	}
	if own.granted && bound > maxTrialTime {
		t.ended(identity)
		return false
	}
	return own.granted
}

// ended reports to the arbiter that this node's trial has ended. Its outcome is reported by other
// means: a release, or the crash of a server.
func (t *trials) ended(identity Identity) {
	t.mutex.Lock()
	own := t.own[identity]
	if own == nil || !own.granted {
		t.mutex.Unlock()
		return
	}
	delete(t.own, identity)
	t.mutex.Unlock()
	t.send(own.arbiter, TrialRequest{Identity: identity, Over: true})
}

// expire drops what is kept of identities that are not quarantined any more.
func (t *trials) expire(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	dropReleased(t, t.arbitrated, now)
	dropReleased(t, t.own, now)
	dropReleased(t, t.askedAt, now)
}

func dropReleased[V any](t *trials, kept map[Identity]V, now time.Time) {
	for identity := range kept {
		if _, quarantined := t.guard.quarantine.Lookup(identity, now); !quarantined {
			delete(kept, identity)
		}
	}
}
