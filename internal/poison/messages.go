package poison

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// Report tells a node that judges what was under way at servers that ended.
type Report struct {
	Ends []ServerEnd
}

// Verdict is an identity that all nodes refuse, and until when.
type Verdict struct {
	Identity Identity
	// Times that it was condemned, with this one.
	Times int
	// Servers that ended under it.
	Servers []string
	// Since is when the first of them did.
	Since time.Time
	Until time.Time
}

// Condemned tells another node of a verdict, in times that need no common clock.
type Condemned struct {
	Identity Identity
	Times    int
	Servers  []string
	// Age of the first end, and Remaining time of the hold.
	Age, Remaining time.Duration
}

// Verdicts answers a Report.
type Verdicts struct {
	Condemned []Condemned
}

// Released tells another node that an identity is innocent: a server has served it
// since the first end that it is blamed for.
type Released struct {
	Identity Identity
	// Age of the run that was served, since it began.
	Age time.Duration
}

func (v Verdict) message(now time.Time) Condemned {
	return Condemned{Identity: v.Identity, Times: v.Times, Servers: v.Servers, Age: now.Sub(v.Since), Remaining: v.Until.Sub(now)}
}

func (c Condemned) verdict(now time.Time) Verdict {
	return Verdict{
		Identity: c.Identity, Times: c.Times, Servers: c.Servers,
		Since: now.Add(-c.Age), Until: now.Add(min(c.Remaining, longestHold)),
	}
}

func init() {
	peer.Register(Report{})
	peer.Register(Condemned{})
	peer.Register(Verdicts{})
	peer.Register(Released{})
}
