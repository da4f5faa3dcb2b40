package tenants

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
	// rest. In that time a tenant may get its rate twice.
	quorumTime = 500 * time.Millisecond
	// tidyPeriod between removals of tenants that are not known any more.
	tidyPeriod = 10 * time.Second
	// mostAsked nodes are asked for one request.
	mostAsked = 3
)

// QuotaConfig configures a Quota.
type QuotaConfig struct {
	// Window over which a tenant's requests are summed.
	Window time.Duration
	// Directory returns the tenants of the configuration in force; nil without any.
	Directory func() *Directory
	Transport peer.Transport
	// Address of this node, as others are told.
	Address string
	// Counted is called with each verdict; nil: not called.
	Counted func(tenant string, verdict Verdict)
	Logger  zerolog.Logger
}

// Need is what a request takes of its tenant's limit.
type Need struct {
	// Tokens of the request; zero if it tells none.
	Tokens int
	// Rank among the tenant's requests, from 0, the most urgent, to 1.
	Rank float64
}

// Verdict says whether a request is within its tenant's limit.
type Verdict struct {
	Within bool
	// RoomIn is the time until there is room, if it is not.
	RoomIn time.Duration
	// CountedBy is the address of the node that counted for all; empty if this node
	// had to decide alone.
	CountedBy string
	// process of that node which did.
	process int64
}

// Quota keeps tenants within their limits over all nodes. Each tenant's requests are
// counted by one node, which the others ask before they send a request; if that node
// does not answer, the next one in the tenant's order counts. It is safe for
// concurrent use.
type Quota struct {
	config QuotaConfig
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
	// changed wakes Run when the nodes that count change.
	changed chan struct{}
}

// NewQuota returns a quota and registers its messages with the transport.
func NewQuota(config QuotaConfig) *Quota {
	if config.Counted == nil {
		config.Counted = func(string, Verdict) {}
	}
	quota := &Quota{
		config: config, process: time.Now().UnixNano(), keeper: newKeeper(config.Window), alone: newAlone(), heard: newHeard(), silent: map[string]bool{},
		heardAt: map[string]time.Time{}, changed: make(chan struct{}, 1),
	}
	config.Transport.Handle(Ask{}, quota.serveAsk)
	config.Transport.Handle(GiveBack{}, quota.serveGiveBack)
	return quota
}

// SetNodes tells how many nodes there are.
func (q *Quota) SetNodes(nodes int) { q.alone.setNodes(nodes) }

// SetCounters tells which nodes count.
func (q *Quota) SetCounters(told Counters) {
	if !q.counters.set(told) {
		return
	}
	select {
	case q.changed <- struct{}{}:
	default:
	}
	q.config.Logger.Info().Strs("counters", told.Addresses).Int64("token", told.Token).Uint64("version", told.Version).
		Msg("nodes that count quotas changed")
}

// Counters returns the nodes that count, as this node knows.
func (q *Quota) Counters() Counters { return q.counters.get() }

// Run looks after nodes that did not answer until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	tidied := time.Now()
	timer := time.NewTimer(probePeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.changed:
		case <-timer.C:
			timer.Reset(probePeriod)
		}
		for _, address := range q.toProbe(time.Now()) {
			q.probe(address)
		}
		if time.Since(tidied) >= tidyPeriod {
			tidied = time.Now()
			q.forget()
		}
	}
}

// forget drops what belongs to tenants that are gone.
func (q *Quota) forget() {
	directory := q.config.Directory()
	known := func(tenant string) bool { return directory != nil && directory.ByName(tenant) != nil }
	q.keeper.forget(known)
	q.alone.forget(known)
	q.heard.forget(known)
}

// probe looks whether a node answers.
func (q *Quota) probe(address string) {
	q.config.Transport.Call(address, Ask{Silent: q.isSilent(address)}, askTimeout, func(message peer.Message, err error) {
		if err != nil {
			return
		}
		if answer, isAnswer := message.(Answer); isAnswer && !answer.Silent {
			q.noteHeard(address)
		}
		q.setSilent(address, false)
	})
}

// toProbe are the nodes that did not answer and, if this node counts, the others that
// count and were not heard lately.
func (q *Quota) toProbe(now time.Time) []string {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	known := q.counters.get().Addresses
	maps.DeleteFunc(q.silent, func(address string, _ bool) bool { return !slices.Contains(known, address) })
	maps.DeleteFunc(q.heardAt, func(address string, _ time.Time) bool { return !slices.Contains(known, address) })
	counts := slices.Contains(known, q.config.Address)
	var due []string
	for _, address := range known {
		unheard := counts && now.Sub(q.heardAt[address]) >= probePeriod/2
		if address != q.config.Address && (q.silent[address] || unheard) {
			due = append(due, address)
		}
	}
	return due
}

// noteHeard notes that another node asked or answered.
func (q *Quota) noteHeard(address string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.heardAt[address] = time.Now()
}

// mayCount reports whether this node is one of those that count and hears of more than
// half of them: of two parts of a network that is cut, at most one counts.
func (q *Quota) mayCount(now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	known := q.counters.get().Addresses
	heard := 0
	for _, address := range known {
		if address == q.config.Address || now.Sub(q.heardAt[address]) < quorumTime {
			heard++
		}
	}
	return slices.Contains(known, q.config.Address) && 2*heard > len(known)
}

func (q *Quota) setSilent(address string, silent bool) {
	q.mutex.Lock()
	changed := q.silent[address] != silent
	if silent {
		q.silent[address] = true
	} else {
		delete(q.silent, address)
	}
	q.mutex.Unlock()
	if changed {
		q.config.Logger.Info().Str("counter", address).Bool("answers", !silent).Msg("node that counts quotas")
	}
}

func (q *Quota) isSilent(address string) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.silent[address]
}
