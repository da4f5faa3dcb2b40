package ratelimit

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/peer"
)

const (
	// takeTimeout bounds the wait for a counter node's reply, in which a caller waits: some tens
	// of round trips.
	takeTimeout = 100 * time.Millisecond
	// probePeriod is the time between probes of other counter nodes.
	probePeriod = 200 * time.Millisecond
	// quorumTimeout is how long a counter node continues to count without contact with more
	// than half of the counter nodes: it may be partitioned with some nodes while the next one
	// counts for the others. In that time a limit may be granted twice.
	quorumTimeout = 500 * time.Millisecond
	// idleTime is how long a limit without requests is kept: many windows, after which no usage
	// remains to be counted. prunePeriod is the time between removals of such limits.
	idleTime    = time.Minute
	prunePeriod = 10 * time.Second
	// quorumWait is how long a counter node waits for replies of the others when a request
	// arrives after a time in which nothing was limited and they sent each other nothing: some
	// round trips. Without the wait, each node decides without a counter node for 0.2 s after a
	// server announced the first limit, and refuses requests.
	quorumWait = 20 * time.Millisecond
	// activeTime is how long a counter node probes the others after a request.
	activeTime = 10 * time.Second
	// maxBallots is how many requests this node sends to all counter nodes at once. The others
	// wait, since a transport limits the calls in progress to one node (32 on the users'
	// platform), and replies take some milliseconds.
	maxBallots = 12
	// maxAsked is how many counter nodes are asked for one request.
	maxAsked = 3
)

// Config configures a Limiter.
type Config struct {
	// ConfiguredLimit returns the limit that this node's configuration has under a name; nil: it
	// has none.
	ConfiguredLimit func(name string) (Limit, bool)
	Transport       peer.Transport
	// Address of this node, as other nodes have it.
	Address string
	// InUse reports whether there are any limits; nil: always. While there are none, counter
	// nodes do not probe each other: with eight of them, each would send 35 messages a second.
	InUse  func() bool
	Logger zerolog.Logger
}

// Limiter enforces limits over all nodes. It is safe for concurrent use.
type Limiter struct {
	config Config
	// process identifies this process of the node: its start in Unix nanoseconds.
	process      int64
	counters     counterList
	meters       *meters
	fallback     *fallback
	remoteCounts *remoteCounts
	votes        *votes

	mutex sync.Mutex
	// unreachable counter nodes did not reply to a call, nor to a probe since.
	unreachable map[string]bool
	// contacts are the last request or reply of each of the other counter nodes. Messages of
	// nodes that do not get the replies of this one in time, and so let another node count, are
	// not contact: when they were, two nodes granted 2.84 million tokens in a window of
	// 1.8 million (virtual time).
	contacts map[string]contact
	// requestedAt is when another node last sent a request, and probedAt when a request last
	// made this node probe the other counter nodes.
	requestedAt, probedAt time.Time
	// ballots holds an element for each request to all counter nodes that is in progress.
	ballots chan struct{}
	// wakeUp wakes Run when the counter nodes changed, or are needed again.
	wakeUp chan struct{}
}

// contact is a message of another counter node.
type contact struct {
	at time.Time
	// list of counter nodes that the other node had.
	list ListVersion
}

// New returns a Limiter and registers its message handlers with the transport.
func New(config Config) *Limiter {
	if config.ConfiguredLimit == nil {
		config.ConfiguredLimit = func(string) (Limit, bool) { return Limit{}, false }
	}
	if config.InUse == nil {
		config.InUse = func() bool { return true }
	}
	limiter := &Limiter{
		config: config, process: time.Now().UnixNano(), meters: newMeters(), fallback: newFallback(), remoteCounts: newRemoteCounts(), votes: newVotes(), unreachable: map[string]bool{},
		contacts: map[string]contact{}, wakeUp: make(chan struct{}, 1), ballots: make(chan struct{}, maxBallots),
	}
	config.Transport.Handle(TakeRequest{}, limiter.serveTake)
	config.Transport.Handle(ReturnMessage{}, limiter.serveReturn)
	return limiter
}

// SetNodes sets the number of nodes that share the limits.
func (l *Limiter) SetNodes(nodes int) { l.fallback.setNodes(nodes) }

// SetCounters sets the counter nodes, unless newer ones were set.
func (l *Limiter) SetCounters(counters Counters) { l.setCounters(counters, "") }

// setCounters is SetCounters with the address of the node that sent the list; empty: a holder or the store.
func (l *Limiter) setCounters(counters Counters, from string) {
	earlier, changed := l.counters.set(counters)
	if !changed {
		return
	}
	l.votes.update(l.counters.get, l.config.Address, time.Now())
	l.announce(earlier)
	l.wake()
	l.config.Logger.Info().Strs("counters", counters.Addresses).Int64("token", counters.Token).Uint64("version", counters.Version).Str("from", from).
		Msg("nodes that count quotas changed")
}

// announce sends the new list to the counter nodes of the earlier one that it replaces: they may not
// receive it from a holder, and would count beside those of the new list.
func (l *Limiter) announce(earlier Counters) {
	if !l.isCounter() {
		return
	}
	counters := l.counters.get().Addresses
	for _, address := range earlier.Addresses {
		if address != l.config.Address && !slices.Contains(counters, address) {
			l.probe(address, func() {})
		}
	}
}

// SetNoCountersYet is called when the store was read and has no counter nodes: no node has counted
// for another one yet.
func (l *Limiter) SetNoCountersYet() {
	if len(l.counters.get().Addresses) == 0 {
		l.votes.setNoneBefore()
	}
}

// wake makes Run probe the other counter nodes now.
func (l *Limiter) wake() {
	select {
	case l.wakeUp <- struct{}{}:
	default:
	}
}

// noteRequest records a request of another node.
func (l *Limiter) noteRequest(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requestedAt = now
}

// probeForQuorum makes Run probe the other counter nodes, unless it did so less than a
// probePeriod ago, and reports whether it does.
func (l *Limiter) probeForQuorum(now time.Time) bool {
	l.mutex.Lock()
	due := now.Sub(l.probedAt) >= probePeriod
	if due {
		l.probedAt = now
	}
	l.mutex.Unlock()
	if due {
		l.wake()
	}
	return due
}

// Counters returns the newest counter nodes that were set.
func (l *Limiter) Counters() Counters { return l.counters.get() }

// Run probes other counter nodes and drops idle limits until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	pruned, counting := time.Now(), false
	timer := time.NewTimer(probePeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wakeUp:
		case <-timer.C:
			timer.Reset(probePeriod)
		}
		for _, address := range l.toProbe(time.Now()) {
			l.probe(address, func() {})
		}
		if has := l.hasQuorum(time.Now()); has != counting {
			counting = has
			l.config.Logger.Info().Bool("counts", counting).Int64("token", l.counters.list().Token).Uint64("version", l.counters.list().Version).
				Msg("quorum of nodes that count quotas")
		}
		if time.Since(pruned) >= prunePeriod {
			pruned = time.Now()
			l.prune(time.Now())
		}
	}
}

// prune drops limits that were not used for idleTime.
func (l *Limiter) prune(now time.Time) {
	l.meters.prune(now)
	l.fallback.prune(now)
	l.remoteCounts.prune(now)
	l.votes.prune(now)
}

// probe checks whether a node replies, tells it of a newer list of counter nodes and learns of one, and
// then calls done.
func (l *Limiter) probe(address string, done func()) {
	l.config.Transport.Call(address, TakeRequest{Silent: l.isUnreachable(address), List: l.counters.list()}, takeTimeout, func(message peer.Message, err error) {
		defer done()
		if err != nil {
			return
		}
		if reply, isReply := message.(TakeReply); isReply {
			l.noteReply(address, reply)
		}
		l.setUnreachable(address, false)
	})
}

// noteReply records a reply of another node as contact, and applies the list of counter nodes in it.
func (l *Limiter) noteReply(address string, reply TakeReply) {
	l.applyList(address, reply)
	if !reply.Silent {
		l.noteContact(address, reply.List)
	}
}

// applyList applies the list of counter nodes in the reply of another node.
func (l *Limiter) applyList(address string, reply TakeReply) {
	if len(reply.Counters.Addresses) > 0 {
		l.setCounters(reply.Counters, address)
	}
}

// toProbe returns the unreachable counter nodes and, if this node is a counter node and limits
// are in use, the others without recent contact.
func (l *Limiter) toProbe(now time.Time) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	addresses := l.counters.get().Addresses
	maps.DeleteFunc(l.unreachable, func(address string, _ bool) bool { return !slices.Contains(addresses, address) })
	maps.DeleteFunc(l.contacts, func(address string, _ contact) bool { return !slices.Contains(addresses, address) })
	probes := slices.Contains(addresses, l.config.Address) && (now.Sub(l.requestedAt) < activeTime || l.config.InUse())
	var due []string
	for _, address := range addresses {
		noContact := probes && !l.isInContact(address, probePeriod/2, now)
		if address != l.config.Address && (l.unreachable[address] || noContact) {
			due = append(due, address)
		}
	}
	return due
}

// noteContact records a request or reply of another node, which has a list of counter nodes.
func (l *Limiter) noteContact(address string, list ListVersion) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.contacts[address] = contact{at: time.Now(), list: list}
}

// isInContact reports whether another counter node was in contact within the time, with the same list
// of counter nodes as this one. The lock must be held.
func (l *Limiter) isInContact(address string, within time.Duration, now time.Time) bool {
	last, exists := l.contacts[address]
	return exists && now.Sub(last.at) < within && l.counters.confirms(last.list)
}

// hasQuorum reports whether this node is a counter node and has contact with more than half of
// them, which have the same list: of two sides of a network partition at most one counts, and so
// do of two lists the counter nodes of at most one, as each list has more than half of the one before.
func (l *Limiter) hasQuorum(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	addresses := l.counters.get().Addresses
	reachable := 0
	for _, address := range addresses {
		if address == l.config.Address || l.isInContact(address, quorumTimeout, now) {
			reachable++
		}
	}
	return slices.Contains(addresses, l.config.Address) && 2*reachable > len(addresses)
}

// isCounter reports whether this node is a counter node.
func (l *Limiter) isCounter() bool {
	return slices.Contains(l.counters.get().Addresses, l.config.Address)
}

func (l *Limiter) setUnreachable(address string, unreachable bool) {
	l.mutex.Lock()
	changed := l.unreachable[address] != unreachable
	if unreachable {
		l.unreachable[address] = true
	} else {
		delete(l.unreachable, address)
	}
	l.mutex.Unlock()
	if changed {
		l.config.Logger.Info().Str("counter", address).Bool("answers", !unreachable).Msg("node that counts quotas")
	}
}

func (l *Limiter) isUnreachable(address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.unreachable[address]
}
