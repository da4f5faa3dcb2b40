// Package observation holds what nodes observe of servers and tell each other: the load that a
// server reports in its responses, and that its connections are refused. A node alone learns too
// little: with 91 nodes, each sends a server a request every 30 s.
//
// Everything is kept by incarnation of the server, ordered by the time of observation, and expires
// unless it is renewed.
package observation

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

const (
	// LoadLifetime is the age at which a load expires. A server's load changes completely in
	// the time of a request, some seconds.
	LoadLifetime = 3 * time.Second
	// SuspicionLifetime is the age at which an observation that a server is unreachable expires.
	SuspicionLifetime = 2 * time.Second
	// MaxPerMessage is the maximum number of observations in a message.
	MaxPerMessage = 64
	// renewalPeriod is the time after which an unchanged observation that a server is
	// unreachable is sent again. It renews a suspicion before it expires.
	renewalPeriod = SuspicionLifetime / 2
	// answerPause is the time after which another answer of a server that was suspected is sent. It
	// is longer than messages are usually in transit.
	answerPause = 100 * time.Millisecond
	// mistrustTime is how long a node is not believed that a server is unreachable, after
	// another node reached the server that the node had reported. A node that is cut off from
	// live servers would otherwise renew its suspicions with every attempt.
	mistrustTime = 10 * time.Second
	// retention is the time without a new observation after which a server is forgotten. It is
	// longer than any observation is in force.
	retention = mistrustTime
)

// Load is the load that a server reported.
type Load struct {
	// Running and Waiting are the numbers of requests on the server; Slots is how many it runs
	// concurrently.
	Running, Waiting, Slots int
	// Slowdown is the current duration of work on the server as a multiple of usual; 0 if not
	// reported.
	Slowdown float64
}

// Observation is what a node observed of one incarnation of a server, as nodes send it to each
// other.
type Observation struct {
	Server fleet.Incarnation
	// LoadKnown is false if there is no load. LoadAge is the age of Load when the message was
	// sent.
	LoadKnown bool
	Load      Load
	LoadAge   time.Duration
	// Unreachable is true if the latest connection attempt was refused or another incarnation
	// answered. False with ReachAge > 0 means that the server answered.
	Unreachable bool
	ReachAge    time.Duration
}

// reachKnown reports whether the observation says if the server is reachable.
func (o *Observation) reachKnown() bool { return o.Unreachable || o.ReachAge > 0 }

// Rate is the number of requests per second for a model over all nodes.
type Rate struct {
	Pool, Model string
	PerSecond   float64
}

// Suspicion describes the begin or the end of a suspicion, for log lines.
type Suspicion struct {
	Server fleet.Incarnation
	// Begun is true at the begin. Reason is why the suspicion ended.
	Begun  bool
	Reason EndReason
	// ToldBy is the node that told of the observation that began or ended the suspicion; empty
	// if this node made it, or if the suspicion expired.
	ToldBy string
	// Lasted is the time since this node received the suspicion.
	Lasted time.Duration
}

// EndReason is why a suspicion ended.
type EndReason string

// Reasons for the end of a suspicion.
const (
	EndReached     EndReason = "reached"
	EndExpired     EndReason = "expired"
	EndIncarnation EndReason = "new incarnation"
	EndRemoved     EndReason = "record removed"
)
