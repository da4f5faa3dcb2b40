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
	// askTimeout is how long a node that counts may take to answer: some tens of
	// round trips, and below the shortest objective of the users' routes (150 ms).
	askTimeout = 100 * time.Millisecond
	// probePeriod between looks whether the other nodes that count answer.
	probePeriod = 200 * time.Millisecond
	// quorumTime is how long a node goes on counting that does not hear of more than half
	// of those that count: it may be cut off with others, and the next one count for the
	// rest. In that time a limit may be given twice.
	quorumTime = 500 * time.Millisecond
	// unusedTime after which a limit that nobody asks for is forgotten: many windows, after
	// which nothing of it is left to know. tidyPeriod is between looks for such limits.
	unusedTime = time.Minute
	tidyPeriod = 10 * time.Second
	// lookTime is how long a node that is asked, and has not heard the others that count since
	// nothing was limited, waits for them: some round trips. Without it each node decides alone
	// for 0.2 s after a server named the first limit, and refuses what comes.
	lookTime = 20 * time.Millisecond
	// inUseTime after a question a node goes on to look after the others that count.
	inUseTime = 10 * time.Second
	// mostAsked nodes are asked for one request.
	mostAsked = 3
)

// Config configures a Limiter.
type Config struct {
	// ConfiguredLimit returns the limit that this node's configuration has under a name; nil: none.
	ConfiguredLimit func(name string) (Limit, bool)
	Transport       peer.Transport
	// Address of this node, as others are told.
	Address string
	// InUse reports whether there is anything to limit; nil: always. Without that the nodes
	// that count send each other nothing: 35 messages a second at each of eight otherwise.
	InUse  func() bool
	Logger zerolog.Logger
}

// Limiter keeps limits over all nodes. It is safe for concurrent use.
type Limiter struct {
	config Config
	// process tells the processes of this node apart, in nanoseconds of its clock.
	process  int64
	counters counterList
	keeper   *keeper
	alone    *alone
	heard    *heard

	mutex sync.Mutex
	// silent nodes did not answer.
	silent map[string]bool
	// heardAt is when each of the other nodes that count last asked or answered, but for
	// those that get no answer of this one in time and let another one count: taken for
	// heard, two nodes gave 2.84 million tokens in a window of 1.8 million (virtual time).
	heardAt map[string]time.Time
	// askedAt is when another node asked last, and lookedAt when this one last looked, because
	// of a question, whether the others that count hear it.
	askedAt, lookedAt time.Time
	// changed wakes Run when the nodes that count change, or are needed again.
	changed chan struct{}
}

// New returns a limiter and registers its messages with the transport.
func New(config Config) *Limiter {
	if config.ConfiguredLimit == nil {
		config.ConfiguredLimit = func(string) (Limit, bool) { return Limit{}, false }
	}
	if config.InUse == nil {
		config.InUse = func() bool { return true }
	}
	limiter := &Limiter{
		config: config, process: time.Now().UnixNano(), keeper: newKeeper(), alone: newAlone(), heard: newHeard(), silent: map[string]bool{},
		heardAt: map[string]time.Time{}, changed: make(chan struct{}, 1),
	}
	config.Transport.Handle(TakeRequest{}, limiter.serveAsk)
	config.Transport.Handle(ReturnMessage{}, limiter.serveGiveBack)
	return limiter
}

// SetNodes tells how many nodes there are.
func (l *Limiter) SetNodes(nodes int) { l.alone.setNodes(nodes) }

// SetCounters tells which nodes count.
func (l *Limiter) SetCounters(told Counters) {
	if !l.counters.set(told) {
		return
	}
	l.wake()
	l.config.Logger.Info().Strs("counters", told.Addresses).Int64("token", told.Token).Uint64("version", told.Version).
		Msg("nodes that count quotas changed")
}

// wake makes Run look after the other nodes that count now.
func (l *Limiter) wake() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// noteAsked notes that another node asked for room.
func (l *Limiter) noteAsked(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.askedAt = now
}

// lookAgain asks the other nodes that count whether they hear this one, unless it has done so
// just now, and reports whether it did.
func (l *Limiter) lookAgain(now time.Time) bool {
	l.mutex.Lock()
	due := now.Sub(l.lookedAt) >= probePeriod
	if due {
		l.lookedAt = now
	}
	l.mutex.Unlock()
	if due {
		l.wake()
	}
	return due
}

// Counters returns the nodes that count, as this node knows.
func (l *Limiter) Counters() Counters { return l.counters.get() }

// Run looks after nodes that did not answer until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	tidied := time.Now()
	timer := time.NewTimer(probePeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.changed:
		case <-timer.C:
			timer.Reset(probePeriod)
		}
		for _, address := range l.toProbe(time.Now()) {
			l.probe(address)
		}
		if time.Since(tidied) >= tidyPeriod {
			tidied = time.Now()
			l.forget(time.Now())
		}
	}
}

// forget drops limits that nobody has asked for lately.
func (l *Limiter) forget(now time.Time) {
	l.keeper.forget(now)
	l.alone.forget(now)
	l.heard.forget(now)
}

// probe looks whether a node answers.
func (l *Limiter) probe(address string) {
	l.config.Transport.Call(address, TakeRequest{Silent: l.isSilent(address)}, askTimeout, func(message peer.Message, err error) {
		if err != nil {
			return
		}
		if answer, isAnswer := message.(TakeReply); isAnswer && !answer.Silent {
			l.noteHeard(address)
		}
		l.setSilent(address, false)
	})
}

// toProbe are the nodes that did not answer and, if this node counts, the others that
// count and were not heard lately.
func (l *Limiter) toProbe(now time.Time) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.counters.get().Addresses
	maps.DeleteFunc(l.silent, func(address string, _ bool) bool { return !slices.Contains(known, address) })
	maps.DeleteFunc(l.heardAt, func(address string, _ time.Time) bool { return !slices.Contains(known, address) })
	counts := slices.Contains(known, l.config.Address) && (now.Sub(l.askedAt) < inUseTime || l.config.InUse())
	var due []string
	for _, address := range known {
		unheard := counts && now.Sub(l.heardAt[address]) >= probePeriod/2
		if address != l.config.Address && (l.silent[address] || unheard) {
			due = append(due, address)
		}
	}
	return due
}

// noteHeard notes that another node asked or answered.
func (l *Limiter) noteHeard(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.heardAt[address] = time.Now()
}

// mayCount reports whether this node is one of those that count and hears of more than
// half of them: of two parts of a network that is cut, at most one counts.
func (l *Limiter) mayCount(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.counters.get().Addresses
	heard := 0
	for _, address := range known {
		if address == l.config.Address || now.Sub(l.heardAt[address]) < quorumTime {
			heard++
		}
	}
	return slices.Contains(known, l.config.Address) && 2*heard > len(known)
}

func (l *Limiter) setSilent(address string, silent bool) {
	l.mutex.Lock()
	changed := l.silent[address] != silent
	if silent {
		l.silent[address] = true
	} else {
		delete(l.silent, address)
	}
	l.mutex.Unlock()
	if changed {
		l.config.Logger.Info().Str("counter", address).Bool("answers", !silent).Msg("node that counts quotas")
	}
}

func (l *Limiter) isSilent(address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.silent[address]
}
