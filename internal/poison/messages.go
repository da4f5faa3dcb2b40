package poison

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// Report sends a collector what was running at servers that crashed.
type Report struct {
	Ends []Crash
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
	// Until is the time until which no node runs it. Then one node at a time may run it as a trial,
	// up to TrialsUntil; there are no trials if that is not later.
	Until, TrialsUntil time.Time
	// Rivals were running at the same crashes; this identity is only the likeliest cause among
	// them. Without rivals, nothing else explains the crashes.
	Rivals []Identity
	// ServedBefore: some node had seen the identity served before. Then being alone at a crash is no
	// proof, and only a trial confirms the entry.
	ServedBefore bool
}

// expires returns the time at which the entry is over.
func (e Entry) expires() time.Time {
	if e.TrialsUntil.After(e.Until) {
		return e.TrialsUntil
	}
	return e.Until
}

// TrialTime is how long trials are admitted, from the end of the refusal on.
func (e Entry) TrialTime(now time.Time) time.Duration {
	from := e.Until
	if now.After(from) {
		from = now
	}
	return max(e.TrialsUntil.Sub(from), 0)
}

// provisional reports whether the identity may not be the cause.
func (e Entry) provisional() bool { return len(e.Rivals) > 0 || e.ServedBefore }

// Quarantined sends another node an entry. It contains durations, so that the nodes need no
// common clock.
type Quarantined struct {
	Identity Identity
	Times    int
	Servers  []string
	// Age is the time since the first crash, Remaining that until the entry expires.
	Age, Remaining time.Duration
	Rivals         []Identity
	// RefusedFor is the part of Remaining in which no node runs the request; after it, trials are
	// admitted. Earlier builds send none, and refuse the request for all of the time.
	RefusedFor time.Duration
	// ServedBefore as in Entry. Earlier builds send none.
	ServedBefore bool
}

// Entries is the reply to a Report.
type Entries struct {
	Entries []Quarantined
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
	return Quarantined{
		Identity: e.Identity, Times: e.Times, Servers: e.Servers,
		Age: now.Sub(e.Since), Remaining: e.expires().Sub(now), RefusedFor: max(e.Until.Sub(now), time.Nanosecond), Rivals: e.Rivals,
		ServedBefore: e.ServedBefore,
	}
}

func (q Quarantined) entry(now time.Time) Entry {
	remaining := min(q.Remaining, lastQuarantine)
	refusedFor := min(q.RefusedFor, remaining)
	if q.RefusedFor == 0 {
		refusedFor = remaining
	}
	return Entry{
		Identity: q.Identity, Times: q.Times, Servers: q.Servers,
		Since: now.Add(-q.Age), Until: now.Add(refusedFor), TrialsUntil: now.Add(remaining), Rivals: q.Rivals,
		ServedBefore: q.ServedBefore,
	}
}

// TrialRequest asks the node that grants trials of an identity for one.
type TrialRequest struct {
	Identity Identity
	// Others are the other identities of the request that is to run.
	Others []Identity
	// For is the longest time that the trial takes.
	For time.Duration
	// Trial identifies the trial, also when it ends; 0 from nodes of an earlier build.
	Trial uint64
	// Quarantined are those of the others that are quarantined as well: the request is a trial of
	// them, too. Earlier builds send none, and ask for each.
	Quarantined []Identity
}

// TrialReply is the answer to a TrialRequest. Without Granted, a further request may be granted
// after Wait.
type TrialReply struct {
	Granted bool
	Wait    time.Duration
}

// TrialEnded tells that a trial is over and has decided nothing.
type TrialEnded struct {
	Identity Identity
	// Sent: a server may have run it.
	Sent bool
	// Trial as in TrialRequest.
	Trial uint64
}

func init() {
	peer.RegisterAs("poison.TrialRequest", TrialRequest{})
	peer.RegisterAs("poison.TrialReply", TrialReply{})
	peer.RegisterAs("poison.TrialEnded", TrialEnded{})
	peer.RegisterAs("poison.Report", Report{})
	peer.RegisterAs("poison.Quarantined", Quarantined{})
	peer.RegisterAs("poison.Entries", Entries{})
	peer.RegisterAs("poison.Released", Released{})
}
