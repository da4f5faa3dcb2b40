package tenants

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/peer"
)

const (
	// askTimeout is how long a node that counts may take to answer: some tens of
	// round trips, and below the shortest objective of the users' routes (150 ms).
	askTimeout = 100 * time.Millisecond
	// probePeriod between looks whether a node that did not answer does again.
	probePeriod = 500 * time.Millisecond
	// contactTime is how long a node that counts goes on counting for its own callers
	// without a word from another node: it may be cut off, and another one count.
	contactTime = 2 * probePeriod
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
}

// Quota keeps tenants within their limits over all nodes. Each tenant's requests are
// counted by one node, which the others ask before they send a request; if that node
// does not answer, the next one in the tenant's order counts. It is safe for
// concurrent use.
type Quota struct {
	config   QuotaConfig
	counters counterList
	keeper   *keeper
	alone    *alone
	heard    *heard

	mutex sync.Mutex
	// silent nodes did not answer.
	silent map[string]bool
	// contactAt is when another node last asked or answered.
	contactAt time.Time
}

// NewQuota returns a quota and registers its messages with the transport.
func NewQuota(config QuotaConfig) *Quota {
	if config.Counted == nil {
		config.Counted = func(string, Verdict) {}
	}
	quota := &Quota{
		config: config, keeper: newKeeper(config.Window), alone: newAlone(), heard: newHeard(), silent: map[string]bool{},
	}
	config.Transport.Handle(Ask{}, quota.serveAsk)
	config.Transport.Handle(GiveBack{}, quota.serveGiveBack)
	return quota
}

// SetNodes tells how many nodes there are.
func (q *Quota) SetNodes(nodes int) { q.alone.setNodes(nodes) }

// SetCounters tells which nodes count. Whoever told it is a contact.
func (q *Quota) SetCounters(told Counters) {
	q.noteContact()
	if !q.counters.set(told) {
		return
	}
	q.config.Logger.Info().Strs("counters", told.Addresses).Int64("token", told.Token).Uint64("version", told.Version).
		Msg("nodes that count quotas changed")
}

// Counters returns the nodes that count, as this node knows.
func (q *Quota) Counters() Counters { return q.counters.get() }

// Run looks after nodes that did not answer until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	tidied := time.Now()
	for ctx.Err() == nil {
		clock.Sleep(ctx, probePeriod)
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
	q.config.Transport.Call(address, Ask{}, askTimeout, func(_ peer.Message, err error) {
		if err == nil {
			q.noteContact()
			q.setSilent(address, false)
		}
	})
}

// toProbe are the nodes that did not answer and, if this node counts and has not
// heard of another one for long, another one that counts.
func (q *Quota) toProbe(now time.Time) []string {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	known := q.counters.get().Addresses
	var silent []string
	for address := range q.silent {
		if !slices.Contains(known, address) {
			delete(q.silent, address)
			continue
		}
		silent = append(silent, address)
	}
	if position := slices.Index(known, q.config.Address); position >= 0 && len(silent) == 0 && now.Sub(q.contactAt) >= probePeriod {
		if next := known[(position+1)%len(known)]; next != q.config.Address {
			return []string{next}
		}
	}
	return silent
}

func (q *Quota) noteContact() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.contactAt = time.Now()
}

// isAlone reports whether this node has not heard of another one for long, although
// there are others.
func (q *Quota) isAlone(now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.counters.get().Addresses) > 1 && now.Sub(q.contactAt) >= contactTime
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
