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

// Config is what a ClaimSet needs.
type Config struct {
	Clock     clock.Clock
	Random    *rand.Rand
	KeyValues outside.KeyValueService
	Transport peer.Transport
	Members   membership.View
	// Synchronised reports whether Members is more than this node's knowledge
	// of itself; nil: always. Shards are not repaired before.
	Synchronised func() bool
	Logger       zerolog.Logger
	// Shards is the number of shards; the same on all nodes, for ever.
	Shards int
	// Retention is how long a key is remembered after its claim.
	Retention time.Duration
	// Quarantine is how long a shard that lost its votes refuses new keys.
	Quarantine time.Duration
	// MaxKeysPerShard bounds an acceptor's memory.
	MaxKeysPerShard int
	// CallTimeout of one message to an acceptor.
	CallTimeout time.Duration
	// TickPeriod of the check of all configurations.
	TickPeriod time.Duration
}

// Defaults of Config.
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

// ClaimSet is a node's part in all shards: acceptor of some, proposer to all,
// and keeper of their configurations.
type ClaimSet struct {
	config    Config
	acceptors []*acceptor

	// randomMutex guards config.Random.
	randomMutex sync.Mutex

	configurations *configurationCache
	granted        *grantedRounds

	reconfigurationMutex sync.Mutex
	reconfigurations     []reconfigurationState

	// live members as of the newest tick; ticks never overlap.
	live liveMembers

	stopTick func()
}

// New returns a claim set; Start makes it work.
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

// Start begins to follow the configurations and to repair them.
func (s *ClaimSet) Start() {
	s.configurations.start()
	s.stopTick = clock.Repeat(s.config.Clock, s.config.TickPeriod, s.tick)
}

// Stop ends all activity at once. To hand the shards over first, drain the
// member and wait until IsAcceptor reports false.
func (s *ClaimSet) Stop() {
	if s.stopTick != nil {
		s.stopTick()
	}
	s.configurations.stop()
}

// IsAcceptor reports whether this node holds votes of any shard, or may come to
// hold them by a configuration whose commit it has not read.
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

// acceptorAhead reports whether the shard's acceptor here may hold votes that
// the known configuration does not tell of.
func (s *ClaimSet) acceptorAhead(shard int) bool {
	// One that is not known has epoch 0, before all others.
	current, _ := s.configurations.get(shard)
	return s.acceptors[shard].aheadOf(current.Epoch, s.configurations.lastRead())
}

// install refuses proposals while the node is being stopped: one made from an
// older list of members would leave the shard without this acceptor's votes.
func (s *ClaimSet) install(a *acceptor, request InstallRequest) bool {
	return !s.config.Members.Self().Draining && a.install(request, s.config.Clock.Now())
}

// Keys returns the number of keys this node holds votes for.
func (s *ClaimSet) Keys() int {
	total := 0
	for _, acceptor := range s.acceptors {
		total += acceptor.keyCount()
	}
	return total
}

// register connects the acceptors to the transport.
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

// dispatch runs a handler on the acceptor of the shard, if there is such a shard.
func (s *ClaimSet) dispatch(id ConfigurationID, reply func(peer.Message, error), handle func(*acceptor) peer.Message) {
	if id.Shard < 0 || id.Shard >= len(s.acceptors) {
		reply(nil, errNoSuchShard)
		return
	}
	reply(handle(s.acceptors[id.Shard]), nil)
}

// jitter returns a random duration from half to one and a half of the mean.
func (s *ClaimSet) jitter(mean time.Duration) time.Duration {
	s.randomMutex.Lock()
	defer s.randomMutex.Unlock()
	return mean/2 + time.Duration(s.config.Random.Int64N(int64(mean)))
}
