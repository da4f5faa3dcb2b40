package claims

import (
	"fmt"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// Delays and time limits of reconfigurations.
const (
	// rankDelay is how much longer each member waits than the member ranked before it, so that a
	// shard is repaired by one member unless that member fails.
	rankDelay = 3 * time.Second
	// lossGracePeriod is how long too few of a shard's acceptors must have been members before its
	// votes count as lost.
	lossGracePeriod = 60 * time.Second
	// proposalTimeout is how long after its latest step a proposal may still be committed. The node
	// of an acceptor that has been sealed for longer proposes a new configuration.
	proposalTimeout = 5 * time.Second
	// minRetryBackoff and maxRetryBackoff bound the mean pause after a failed reconfiguration, which
	// doubles with each failure.
	minRetryBackoff = time.Second
	maxRetryBackoff = 8 * time.Second
	// reconfigurationTimeout is how long a reconfiguration may run before a new one replaces it.
	reconfigurationTimeout = 15 * time.Second
)

// reconfigurationState tracks this node's reconfigurations of one shard.
type reconfigurationState struct {
	// degradedSince is when the shard was first observed to need a reconfiguration; zero: it needs
	// none.
	degradedSince time.Time
	// unreachableSince is when sealing first failed because too few acceptors were members; zero if
	// it has not.
	unreachableSince time.Time
	running          *reconfiguration
	startedAt        time.Time
	// failures counts the reconfigurations that have ended since degradedSince; the next may start at
	// retryAt.
	failures int
	retryAt  time.Time
}

// tick checks all shards and starts the reconfigurations that are due at this node.
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

// refreshWhileDraining reads the configurations again if this node is draining and has an acceptor
// that may hold votes in a configuration newer than the cached one: only a read can rule that out.
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

// checkShard starts a reconfiguration of the shard if it needs one and no other member should start it
// first. A timed-out seal of this node's own acceptor is repaired without waiting for other members.
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

// needsChange reports whether the desired acceptors differ from the current ones.
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

// repairRank returns this node's position, from 0, in the order in which members repair a shard; -1 if
// it is not among them. Draining members are included only if all members are draining.
func (s *ClaimSet) repairRank(shard int, members []membership.Member) int {
	candidates := withoutDraining(members)
	if len(candidates) == 0 {
		candidates = members
	}
	self := s.config.Members.Self().ID()
	return slices.IndexFunc(rank(shard, candidates), func(m membership.Member) bool { return m.ID() == self })
}

// reconfiguration replaces a shard's acceptors: it reads the stored configuration, seals the old
// acceptors, merges their entries, installs them at the new acceptors and commits the new
// configuration by compare-and-swap. Each step begins after the previous one has ended.
type reconfiguration struct {
	set     *ClaimSet
	shard   int
	desired []membership.Member
	token   string
	// force a new configuration even if its acceptors are the current ones.
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

// start reads the stored configuration. This also checks that the key-value service is available
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
				r.finish("configuration cannot be decoded")
				return
			}
			r.current = configuration
			r.modRevision = result.KeyValues[0].ModRevision
			r.set.configurations.observe(r.shard, configuration)
		}
		r.prepare()
	})
}

// prepare ends the reconfiguration if the stored configuration needs none. Otherwise it collects the
// shard's entries, from the current acceptors or the snapshot; a new shard has none.
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

// finish ends the reconfiguration. A tick after the retry backoff starts another one if the shard
// still needs it.
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

// retryBackoff returns the mean pause after a number of failed reconfigurations.
func retryBackoff(failures int) time.Duration {
	return min(minRetryBackoff<<min(failures, 10), maxRetryBackoff)
}

// commit writes the new configuration by compare-and-swap. If it was certainly not written, the old
// acceptors are unsealed.
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

// readBack reads the stored configuration after a write whose outcome is unknown. The token in it
// identifies the proposal that was committed.
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
			r.finish("configuration cannot be decoded")
			return
		}
		r.set.configurations.observe(r.shard, configuration)
		r.finish("read back")
	})
}

// onCommitted caches the new configuration and ends the reconfiguration.
func (r *reconfiguration) onCommitted() {
	r.set.config.Logger.Info().Int("shard", r.shard).Uint64("epoch", r.next.Epoch).
		Int("acceptors", len(r.next.Acceptors)).Int("keys", len(r.entries)).Msg("claim shard reconfigured")
	r.set.configurations.observe(r.shard, r.next)
	r.finish("committed")
}
