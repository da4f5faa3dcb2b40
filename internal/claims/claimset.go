package claims

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/defaults"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// Config configures a ClaimSet. Zero values of the numbers and durations are replaced by the defaults
// below.
type Config struct {
	Clock     clock.Clock
	Random    *rand.Rand
	KeyValues outside.KeyValueService
	Transport peer.Transport
	Members   membership.View
	// Synchronised reports whether Members has been read at least once; before that it contains only
	// this node, and no shard is repaired. Nil: always synchronised.
	Synchronised func() bool
	Logger       zerolog.Logger
	// Shards is the number of shards. It must be the same on all nodes and must never change, since
	// it determines the shard of a key.
	Shards int
	// Retention is how long a key is kept after its first vote.
	Retention time.Duration
	// Quarantine is how long a shard whose votes were lost refuses new keys. After a quarantine as long
	// as Retention, all keys whose votes were lost have expired.
	Quarantine time.Duration
	// MaxKeysPerShard is the maximum number of keys that an acceptor keeps for one shard.
	MaxKeysPerShard int
	// CallTimeout is the time limit of one call to an acceptor.
	CallTimeout time.Duration
	// TickPeriod is the interval between checks of all shards.
	TickPeriod time.Duration
}

// Defaults of the Config fields of the same names.
const (
	DefaultShards          = 16
	DefaultRetention       = 24 * time.Hour
	DefaultQuarantine      = time.Hour
	DefaultMaxKeysPerShard = 200_000
	DefaultCallTimeout     = 500 * time.Millisecond
	DefaultTickPeriod      = time.Second
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.Shards, DefaultShards)
	defaults.Set(&c.Retention, DefaultRetention)
	defaults.Set(&c.Quarantine, DefaultQuarantine)
	defaults.Set(&c.MaxKeysPerShard, DefaultMaxKeysPerShard)
	defaults.Set(&c.CallTimeout, DefaultCallTimeout)
	defaults.Set(&c.TickPeriod, DefaultTickPeriod)
	return c
}

// ClaimSet is a node's part in all shards: it is an acceptor of some, claims keys at the acceptors of
// all, caches the shards' configurations, and reconfigures shards whose acceptors have to be replaced.
type ClaimSet struct {
	config    Config
	acceptors []*acceptor

	// randomMutex guards config.Random.
	randomMutex sync.Mutex

	configurations *configurationCache
	granted        *grantedRounds

	reconfigurationMutex sync.Mutex
	reconfigurations     []reconfigurationState

	// live is the index of the members as of the latest tick. It needs no mutex: ticks never overlap.
	live liveMembers

	stopTick func()
}

// New returns a ClaimSet and registers its message handlers; it takes part in claims after Start.
func New(config Config) *ClaimSet {
	config = config.withDefaults()
	set := &ClaimSet{
		config:           config,
		granted:          newGrantedRounds(),
		reconfigurations: make([]reconfigurationState, config.Shards),
	}
	for range config.Shards {
		set.acceptors = append(set.acceptors, newAcceptor(config.Retention, config.MaxKeysPerShard))
	}
	set.configurations = newConfigurationCache(set, config.Shards)
	set.register()
	return set
}

// Start starts watching the shards' configurations and repairing shards.
func (s *ClaimSet) Start() {
	s.configurations.start()
	s.stopTick = clock.Repeat(s.config.Clock, s.config.TickPeriod, s.tick)
}

// Stop stops the checks and the watch without handing over any shard. To hand the shards over first,
// drain the member and wait until IsAcceptor reports false.
func (s *ClaimSet) Stop() {
	if s.stopTick != nil {
		s.stopTick()
	}
	s.configurations.stop()
}

// IsAcceptor reports whether this node is an acceptor of any shard, or may be one by a configuration
// whose commit it has not read yet.
func (s *ClaimSet) IsAcceptor() bool {
	self := s.config.Members.Self().ID()
	for shard := range s.config.Shards {
		current, cached := s.configurations.get(shard)
		if cached && current.has(self) || s.acceptorAhead(shard) {
			return true
		}
	}
	return false
}

// acceptorAhead reports whether the shard's acceptor on this node may hold votes in a configuration
// newer than the cached one.
func (s *ClaimSet) acceptorAhead(shard int) bool {
	// If none is cached, the epoch is 0, which precedes all others.
	current, _ := s.configurations.get(shard)
	return s.acceptors[shard].aheadOf(current.Epoch, s.configurations.lastRead())
}

// install passes a page of a proposal to the acceptor. It refuses all while the node is draining: a
// proposal made from an older list of members would make this node an acceptor, and the shard would
// lose these votes when the node leaves.
func (s *ClaimSet) install(a *acceptor, request InstallRequest) bool {
	return !s.config.Members.Self().Draining && a.install(request, s.config.Clock.Now())
}

// Keys returns the number of keys that this node holds votes for.
func (s *ClaimSet) Keys() int {
	total := 0
	for _, acceptor := range s.acceptors {
		total += acceptor.keyCount()
	}
	return total
}

// register registers the acceptors' message handlers with the transport.
func (s *ClaimSet) register() {
	transport := s.config.Transport
	transport.Handle(VoteRequest{}, func(_ string, message peer.Message, reply func(peer.Message, error)) {
		request := message.(VoteRequest)
		s.dispatch(request.Configuration, reply, func(a *acceptor) peer.Message {
			return a.vote(request, s.config.Clock.Now())
		})
	})
	transport.Handle(RecordRequest{}, func(_ string, message peer.Message, reply func(peer.Message, error)) {
		request := message.(RecordRequest)
		s.dispatch(request.Configuration, reply, func(a *acceptor) peer.Message {
			return Acknowledgement{OK: a.record(request, s.config.Clock.Now())}
		})
	})
	transport.Handle(ReleaseRequest{}, func(_ string, message peer.Message, reply func(peer.Message, error)) {
		request := message.(ReleaseRequest)
		s.dispatch(request.Configuration, reply, func(a *acceptor) peer.Message {
			return Acknowledgement{OK: a.release(request)}
		})
	})
	transport.Handle(SealRequest{}, func(_ string, message peer.Message, reply func(peer.Message, error)) {
		request := message.(SealRequest)
		s.dispatch(request.Configuration, reply, func(a *acceptor) peer.Message {
			return a.seal(request, s.config.Clock.Now())
		})
	})
	transport.Handle(UnsealRequest{}, func(_ string, message peer.Message, reply func(peer.Message, error)) {
		request := message.(UnsealRequest)
		s.dispatch(request.Configuration, reply, func(a *acceptor) peer.Message {
			a.unseal(request)
			return Acknowledgement{OK: true}
		})
	})
	transport.Handle(InstallRequest{}, func(_ string, message peer.Message, reply func(peer.Message, error)) {
		request := message.(InstallRequest)
		s.dispatch(request.Configuration, reply, func(a *acceptor) peer.Message {
			return Acknowledgement{OK: s.install(a, request)}
		})
	})
}

// dispatch replies with what handle returns for the shard's acceptor, or with errNoSuchShard.
func (s *ClaimSet) dispatch(id ConfigurationID, reply func(peer.Message, error), handle func(*acceptor) peer.Message) {
	if id.Shard < 0 || id.Shard >= len(s.acceptors) {
		reply(nil, errNoSuchShard)
		return
	}
	reply(handle(s.acceptors[id.Shard]), nil)
}

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func (s *ClaimSet) jitter(mean time.Duration) time.Duration {
	s.randomMutex.Lock()
	defer s.randomMutex.Unlock()
	return mean/2 + time.Duration(s.config.Random.Int64N(int64(mean)))
}
