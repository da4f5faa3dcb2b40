package poison

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// Report tells a collector what was under way at servers that ended.
type Report struct {
	Ends []ServerEnd
}

// Entry is an identity that all nodes refuse, and until when.
type Entry struct {
	Identity Identity
	// Times that it was held, with this one.
	Times int
	// Servers that ended under it.
	Servers []string
	// Since is when the first of them did.
	Since time.Time
	Until time.Time
	// Rivals were under way at the same ends, of which this identity is only the likeliest
	// cause. Without any, nothing else explains the ends.
	Rivals []Identity
}

// provisional reports whether another identity may be the cause.
func (e Entry) provisional() bool { return len(e.Rivals) > 0 }

// Quarantined tells another node of an entry, in times that need no common clock.
type Quarantined struct {
	Identity Identity
	Times    int
	Servers  []string
	// Age of the first end, and Remaining time of the hold.
	Age, Remaining time.Duration
	Rivals         []Identity
}

// Entries answers a Report.
type Entries struct {
	Entries []Quarantined
}

// Released clears an identity: a server has served it since the first end of its entry, or
// another request explains its ends.
type Released struct {
	Identity Identity
	// Age of the run that was served, since it began.
	Age time.Duration
	// Explained by another request: nothing was served.
	Explained bool
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
		Since: now.Add(-q.Age), Until: now.Add(min(q.Remaining, longestHold)), Rivals: q.Rivals,
	}
}

func init() {
	peer.RegisterAs("poison.Report", Report{})
	peer.RegisterAs("poison.Quarantined", Quarantined{})
	peer.RegisterAs("poison.Entries", Entries{})
	peer.RegisterAs("poison.Released", Released{})
}
