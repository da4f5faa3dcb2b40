package poison

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// Report sends a collector what was running at servers that crashed.
type Report struct {
	Ends []Crash
	// Trial asks for a trial; nil if the report is of crashes only. Earlier builds ignore it, and
	// grant none.
	Trial *TrialRequest
}

// Entry is an identity that all nodes refuse, with the time until which they do.
type Entry struct {
	Identity Identity
	// Times is how often the identity was quarantined, including this time. Provisional
	// quarantines don't count.
	Times int
	// Servers are the IDs of the incarnations that crashed under it.
	Servers []string
	// Since is the time of the first of these crashes.
	Since time.Time
	Until time.Time
	// Rivals were running at the same crashes; this identity is only the likeliest cause among
	// them. Without rivals, nothing else explains the crashes.
	Rivals []Identity
	// Coincidence: without this identity, more than maxCoincidingCauses others would be needed to
	// explain the crashes. It is refused for the full time, unless a server serves its trial.
	Coincidence bool
	trial       trialState
}

// provisional reports whether another identity may be the cause.
func (e Entry) provisional() bool { return len(e.Rivals) > 0 }

// RetryAfter is the time after which a refused request may be served: a provisional entry is
// tried while its callers ask.
func (e Entry) RetryAfter(now time.Time) time.Duration {
	remaining := e.Until.Sub(now)
	if e.provisional() {
		return min(remaining, trialDelay)
	}
	return remaining
}

// Quarantined sends another node an entry. It contains durations, so that the nodes need no
// common clock.
type Quarantined struct {
	Identity Identity
	Times    int
	Servers  []string
	// Age is the time since the first crash, Remaining that until the quarantine expires.
	Age, Remaining time.Duration
	Rivals         []Identity
	// CoincidenceRivals are the rivals of an entry for the full time, instead of Rivals: earlier
	// builds take such an entry for proved.
	CoincidenceRivals []Identity
	// TrialPhase is that of the entry's trials, and TrialRemaining the time until it ends.
	TrialPhase     int
	TrialRemaining time.Duration
}

// Entries is the reply to a Report.
type Entries struct {
	Entries []Quarantined
	// TrialGranted: the sender of the report may run the identity once.
	TrialGranted bool
}

// Released clears an identity: a server has served it since the first crash of its entry, or
// another request explains its crashes.
type Released struct {
	Identity Identity
	// Age is the time since the served run began.
	Age time.Duration
	// Explained: another request explains the crashes. Then no run was served, and Age is zero.
	Explained bool
	// Ends are the servers that crashed under it. Earlier builds send none: then the release
	// applies to the crashes that the receiver knows.
	Ends []string
}

func (e Entry) message(now time.Time) Quarantined {
	message := Quarantined{
		Identity: e.Identity, Times: e.Times, Servers: e.Servers,
		Age: now.Sub(e.Since), Remaining: e.Until.Sub(now), Rivals: e.Rivals,
	}
	if e.trial.phase > 0 {
		message.TrialPhase, message.TrialRemaining = e.trial.phase, e.trial.until.Sub(now)
	}
	if e.Coincidence {
		message.Rivals, message.CoincidenceRivals = nil, e.Rivals
	}
	return message
}

func (q Quarantined) entry(now time.Time) Entry {
	entry := Entry{
		Identity: q.Identity, Times: q.Times, Servers: q.Servers,
		Since: now.Add(-q.Age), Until: now.Add(min(q.Remaining, maxQuarantine)), Rivals: q.Rivals,
	}
	if len(q.CoincidenceRivals) > 0 {
		entry.Rivals, entry.Coincidence = q.CoincidenceRivals, true
	}
	if q.TrialPhase > 0 {
		entry.trial = trialState{phase: q.TrialPhase, until: now.Add(min(q.TrialRemaining, maxTrialTime+trialPause))}
	}
	return entry
}

func init() {
	peer.RegisterAs("poison.Report", Report{})
	peer.RegisterAs("poison.Quarantined", Quarantined{})
	peer.RegisterAs("poison.Entries", Entries{})
	peer.RegisterAs("poison.Released", Released{})
}
