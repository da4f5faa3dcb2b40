package claims

import (
	"fmt"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// Times of reconfiguration.
const (
	// rankDelay is how much later each next member in rank acts, so that a
	// shard is repaired by one member unless that one fails.
	rankDelay = 3 * time.Second
	// lossGracePeriod is how long a shard's votes must be out of reach before they
	// count as lost.
	lossGracePeriod = 60 * time.Second
	// proposalTimeout is how long after a proposal's newest step it counts as
	// one that may be committed. An acceptor sealed for longer asks for a new
	// configuration.
	proposalTimeout = 5 * time.Second
	// minRetryBackoff and maxRetry bound the pause after a failed try, which doubles.
	minRetryBackoff = time.Second
	maxRetryBackoff = 8 * time.Second
	// reconfigurationTimeout lets a stuck try be begun anew.
	reconfigurationTimeout = 15 * time.Second
)

// reconfigurationState is this node's view of a shard's need of repair.
type reconfigurationState struct {
	// degradedSince is when the need was first seen; zero: none.
	degradedSince time.Time
	// unreachableSince is when sealing first failed for want of acceptors.
	unreachableSince time.Time
	running          *reconfiguration
	startedAt        time.Time
	// failures since the need was first seen, and when to try again.
	failures int
	retryAt  time.Time
}

// tick checks each shard and repairs it if that is this node's turn.
func (s *ClaimSet) tick() {
	if !s.configurations.isLoaded() || !s.membersSynchronised() {
		return
	}
	s.refreshWhileDraining()
	now := s.config.Clock.Now()
	s.live.update(s.config.Members.Members())
	for shard := range s.config.Shards {
		s.checkShard(shard, &s.live, now)
	}
}

// refreshWhileDraining reads the configurations while only that can tell a
// draining node whether it holds votes.
func (s *ClaimSet) refreshWhileDraining() {
	if !s.config.Members.Self().Draining {
		return
	}
	for shard := range s.config.Shards {
		if s.acceptorAhead(shard) {
			s.configurations.refresh()
			return
		}
	}
}

func (s *ClaimSet) membersSynchronised() bool {
	return s.config.Synchronised == nil || s.config.Synchronised()
}

func (s *ClaimSet) checkShard(shard int, live *liveMembers, now time.Time) {
	current, _ := s.configurations.get(shard)
	s.reconfigurationMutex.Lock()
	defer s.reconfigurationMutex.Unlock()
	state := &s.reconfigurations[shard]
	sealTimedOut := s.acceptors[shard].sealTimedOut(current.id(shard), proposalTimeout, now)
	if !sealTimedOut && live.retainsAcceptors(current) {
		*state = reconfigurationState{}
		return
	}
	if state.degradedSince.IsZero() {
		state.degradedSince = now
	}
	repairRank := s.repairRank(shard, live.members)
	if !sealTimedOut && (repairRank < 0 || now.Sub(state.degradedSince) < time.Duration(repairRank)*rankDelay) {
		return
	}
	if now.Before(state.retryAt) {
		return
	}
	if state.running != nil && now.Sub(state.startedAt) < reconfigurationTimeout {
		return
	}
	state.running = s.newReconfiguration(shard, chooseAcceptors(shard, current.Acceptors, live.members))
	state.running.force = sealTimedOut
	state.startedAt = now
	state.running.start()
}

// needsChange reports whether the acceptors should be replaced.
func needsChange(current Configuration, desired []membership.Member) bool {
	if len(current.Acceptors) != len(desired) {
		return true
	}
	for _, member := range desired {
		if !current.has(member.ID()) {
			return true
		}
	}
	return false
}

// repairRank is this node's place in the order in which members repair a shard;
// draining members come in only when there are no others.
func (s *ClaimSet) repairRank(shard int, members []membership.Member) int {
	candidates := withoutDraining(members)
	if len(candidates) == 0 {
		candidates = members
	}
	self := s.config.Members.Self().ID()
	return slices.IndexFunc(rank(shard, candidates), func(m membership.Member) bool { return m.ID() == self })
}

// reconfiguration replaces a shard's acceptors: read the record, seal the old
// acceptors, merge their entries, install them at the new ones, commit by
// compare-and-swap. Each step begins when the one before has ended.
type reconfiguration struct {
	set     *ClaimSet
	shard   int
	desired []membership.Member
	token   string
	// force the configuration even if its acceptors stay the same.
	force bool

	current     Configuration
	modRevision int64
	next        Configuration
	entries     []KeyRecord
}

func (s *ClaimSet) newReconfiguration(shard int, desired []membership.Member) *reconfiguration {
	s.randomMutex.Lock()
	token := fmt.Sprintf("%016x", s.config.Random.Uint64())
	s.randomMutex.Unlock()
	return &reconfiguration{set: s, shard: shard, desired: desired, token: token}
}

// start reads the record, which also proves that the key-value service answers
// before any acceptor is sealed.
func (r *reconfiguration) start() {
	r.set.config.KeyValues.Range(configurationKey(r.shard), keyValueTimeout, func(result outside.RangeResult, err error) {
		if err != nil {
			r.finish("key-value service unavailable")
			return
		}
		if len(result.KeyValues) > 0 {
			configuration, err := decodeConfiguration(result.KeyValues[0].Value)
			if err != nil {
				r.finish("record can't be read")
				return
			}
			r.current = configuration
			r.modRevision = result.KeyValues[0].ModRevision
			r.set.configurations.observe(r.shard, configuration)
		}
		r.prepare()
	})
}

func (r *reconfiguration) prepare() {
	r.desired = chooseAcceptors(r.shard, r.current.Acceptors, r.set.config.Members.Members())
	if r.modRevision != 0 && !r.force && !needsChange(r.current, r.desired) {
		r.finish("no change needed")
		return
	}
	r.next = Configuration{Epoch: r.current.Epoch + 1, Token: r.token, Acceptors: r.desired}
	switch {
	case r.modRevision == 0:
		r.installAll()
	case len(r.current.Acceptors) == 0:
		r.readSnapshot()
	default:
		r.sealAll()
	}
}

// finish lets the next tick try again if there is still need.
func (r *reconfiguration) finish(reason string) {
	r.set.reconfigurationMutex.Lock()
	state := &r.set.reconfigurations[r.shard]
	if state.running == r {
		state.running = nil
		state.retryAt = r.set.config.Clock.Now().Add(r.set.jitter(retryBackoff(state.failures)))
		state.failures++
	}
	r.set.reconfigurationMutex.Unlock()
	r.set.config.Logger.Debug().Int("shard", r.shard).Uint64("epoch", r.next.Epoch).
		Str("reason", reason).Msg("claim shard reconfiguration ended")
}

// retryBackoff is the mean pause after a number of failed tries.
func retryBackoff(failures int) time.Duration {
	return min(minRetryBackoff<<min(failures, 10), maxRetryBackoff)
}

// commit writes the new configuration by compare-and-swap.
func (r *reconfiguration) commit() {
	key := configurationKey(r.shard)
	transaction := outside.Transaction{
		Compares:   []outside.Compare{{Key: key, ModRevision: r.modRevision}},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: key, Value: encodeConfiguration(r.next)}},
	}
	r.set.config.KeyValues.Transact(transaction, keyValueTimeout, func(result outside.TransactionResult, err error) {
		switch {
		case err == nil && result.Succeeded:
			r.onCommitted()
		case err == nil, isNotApplied(err):
			r.unsealAll()
			r.finish("not committed")
		default:
			r.readBack()
		}
	})
}

// readBack settles a write whose reply was lost, by its token.
func (r *reconfiguration) readBack() {
	key := configurationKey(r.shard)
	r.set.config.KeyValues.Range(key, keyValueTimeout, func(result outside.RangeResult, err error) {
		if err != nil {
			r.set.config.Clock.AfterFunc(r.set.jitter(minReadBackoff), r.readBack)
			return
		}
		if len(result.KeyValues) == 0 {
			r.finish("not committed")
			return
		}
		configuration, err := decodeConfiguration(result.KeyValues[0].Value)
		if err != nil {
			r.finish("record can't be read")
			return
		}
		r.set.configurations.observe(r.shard, configuration)
		r.finish("read back")
	})
}

func (r *reconfiguration) onCommitted() {
	r.set.config.Logger.Info().Int("shard", r.shard).Uint64("epoch", r.next.Epoch).
		Int("acceptors", len(r.next.Acceptors)).Int("keys", len(r.entries)).Msg("claim shard reconfigured")
	r.set.configurations.observe(r.shard, r.next)
	r.finish("committed")
}
