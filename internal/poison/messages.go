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
	Until time.Time
	// Rivals were running at the same crashes; this identity is only the likeliest cause among
	// them. Without rivals, nothing else explains the crashes.
	Rivals []Identity
}

// provisional reports whether another identity may be the cause.
func (e Entry) provisional() bool { return len(e.Rivals) > 0 }

// Quarantined sends another node an entry. It contains durations, so that the nodes need no
// common clock.
type Quarantined struct {
	Identity Identity
	Times    int
	Servers  []string
	// Age is the time since the first crash, Remaining that until the quarantine expires.
	Age, Remaining time.Duration
	Rivals         []Identity
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
		Age: now.Sub(e.Since), Remaining: e.Until.Sub(now), Rivals: e.Rivals,
	}
}

func (q Quarantined) entry(now time.Time) Entry {
	return Entry{
		Identity: q.Identity, Times: q.Times, Servers: q.Servers,
		Since: now.Add(-q.Age), Until: now.Add(min(q.Remaining, maxQuarantine)), Rivals: q.Rivals,
	}
}

func init() {
	peer.RegisterAs("poison.Report", Report{})
	peer.RegisterAs("poison.Quarantined", Quarantined{})
	peer.RegisterAs("poison.Entries", Entries{})
	peer.RegisterAs("poison.Released", Released{})
}
