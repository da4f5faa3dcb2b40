package claims

import (
	"strconv"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// Mean pauses between the rounds of a claim.
const (
	// retryDelay is the pause after a round without a majority.
	retryDelay = 100 * time.Millisecond
	// outcomeRetryDelay is the pause before the holder's outcome is requested again, and before a
	// failed write of an outcome is retried.
	outcomeRetryDelay = 250 * time.Millisecond
)

// grantedRounds maps granted attempts to the rounds that won. The acceptors record an attempt under
// the holder id of that round, which Record and Release must therefore send.
type grantedRounds struct {
	mutex  sync.Mutex
	rounds map[outside.AttemptID]grantedRound
}

type grantedRound struct {
	holder outside.AttemptID
	digest uint64
}

func newGrantedRounds() *grantedRounds {
	return &grantedRounds{rounds: map[outside.AttemptID]grantedRound{}}
}

func (g *grantedRounds) put(attempt outside.AttemptID, round grantedRound) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.rounds[attempt] = round
}

// take removes and returns the winning round of an attempt, and whether there was one.
func (g *grantedRounds) take(attempt outside.AttemptID) (grantedRound, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	round, found := g.rounds[attempt]
	delete(g.rounds, attempt)
	return round, found
}

// claimOperation is one Claim call in progress. It runs rounds until it has a result; each round has
// its own holder id, so that a delayed release of one round never removes a vote of the next.
type claimOperation struct {
	set      *ClaimSet
	key      Key
	shard    int
	attempt  outside.AttemptID
	digest   uint64
	deadline time.Time
	done     func(Result)

	mutex      sync.Mutex
	finished   bool
	round      *claimRound
	roundCount int
	// deadlineResult is the result to report at the deadline: Denied once another holder of the key
	// has been observed, Unavailable before.
	deadlineResult Result
}

// Claim implements Claimer. Rounds are repeated, with random pauses, until one is granted, the key
// turns out to be used for another request, the holder's outcome is found or the deadline passes.
func (s *ClaimSet) Claim(key Key, attempt outside.AttemptID, digest uint64, deadline time.Time, done func(Result)) {
	operation := &claimOperation{
		set: s, key: key, shard: shardOf(key, s.config.Shards), attempt: attempt,
		digest: digest, deadline: deadline, done: done,
		deadlineResult: Result{Verdict: Unavailable},
	}
	remaining := deadline.Sub(s.config.Clock.Now())
	s.config.Clock.AfterFunc(remaining, operation.expire)
	operation.startRound()
}

// expire ends the operation at its deadline, releases the current round's votes and reports
// deadlineResult.
func (o *claimOperation) expire() {
	o.mutex.Lock()
	round := o.round
	result := o.deadlineResult
	if o.finished {
		o.mutex.Unlock()
		return
	}
	o.finished = true
	o.mutex.Unlock()
	o.abandon(round)
	o.done(result)
}

// startRound requests votes from all acceptors of the cached configuration, or tries again after a
// pause if there are none.
func (o *claimOperation) startRound() {
	configuration, cached := o.set.configurations.get(o.shard)
	if !cached || len(configuration.Acceptors) == 0 {
		o.scheduleRound(retryDelay)
		return
	}
	o.mutex.Lock()
	if o.finished {
		o.mutex.Unlock()
		return
	}
	o.roundCount++
	round := &claimRound{
		configuration: configuration,
		holder:        o.attempt + "/" + outside.AttemptID(strconv.Itoa(o.roundCount)),
		heldBy:        map[outside.AttemptID]int{},
	}
	o.round = round
	o.mutex.Unlock()
	request := VoteRequest{Configuration: configuration.id(o.shard), Key: o.key, Attempt: round.holder, Digest: o.digest}
	for _, acceptor := range configuration.Acceptors {
		o.set.config.Transport.Call(acceptor.PeerAddress, request, o.set.config.CallTimeout,
			func(message peer.Message, err error) { o.handleReply(round, message, err) })
	}
}

// scheduleRound starts the next round after a random pause around the delay.
func (o *claimOperation) scheduleRound(delay time.Duration) {
	o.set.config.Clock.AfterFunc(o.set.jitter(delay), o.startRound)
}

// handleReply counts one reply and ends the round once it is decided.
func (o *claimOperation) handleReply(round *claimRound, message peer.Message, err error) {
	o.mutex.Lock()
	if o.finished || round.closed || o.round != round {
		o.mutex.Unlock()
		return
	}
	round.count(message, err)
	decision := round.decide()
	if decision == undecided {
		o.mutex.Unlock()
		return
	}
	round.closed = true
	result, final := o.resolve(round, decision)
	o.finished = final
	o.mutex.Unlock()
	o.finishRound(round, decision, result, final)
}

// resolve returns the operation's result for a round's decision, and whether it is final. If another
// attempt holds the key, the result is final once that attempt's outcome is recorded.
func (o *claimOperation) resolve(round *claimRound, decision roundDecision) (Result, bool) {
	switch decision {
	case won:
		return Result{Verdict: Granted, Holder: o.attempt}, true
	case digestMismatch:
		return Result{Verdict: Conflict}, true
	case heldByOther:
		holder := round.majorityHolder()
		o.deadlineResult = Result{Verdict: Denied, Holder: holder, Outcome: round.outcome}
		return o.deadlineResult, round.outcome != nil
	default:
		return Result{}, false
	}
}

// finishRound reports a final result, or releases the votes of a round that did not win and schedules
// the next one.
func (o *claimOperation) finishRound(round *claimRound, decision roundDecision, result Result, final bool) {
	o.logRound(round, decision)
	if decision == won {
		o.set.granted.put(o.attempt, grantedRound{holder: round.holder, digest: o.digest})
		o.done(result)
		return
	}
	o.abandon(round)
	if final {
		o.done(result)
		return
	}
	delay := retryDelay
	if decision == heldByOther {
		delay = outcomeRetryDelay
	}
	o.scheduleRound(delay)
}

// logRound logs the decision of a round and the holder id under which the acceptors recorded it, so
// that two runs of one key can be traced to their votes.
func (o *claimOperation) logRound(round *claimRound, decision roundDecision) {
	o.set.config.Logger.Debug().Int("shard", o.shard).Uint64("epoch", round.configuration.Epoch).
		Str("attempt", string(o.attempt)).Str("holder", string(round.holder)).
		Str("held_by", string(round.majorityHolder())).Str("reason", decision.String()).
		Msg("claim round ended")
}

// abandon closes a round that was not won and releases its votes.
func (o *claimOperation) abandon(round *claimRound) {
	if round == nil {
		return
	}
	o.mutex.Lock()
	round.closed = true
	o.mutex.Unlock()
	o.set.sendRelease(o.shard, round.configuration, o.key, round.holder)
}

// sendRelease asks all acceptors to release a round's votes, without waiting for replies.
func (s *ClaimSet) sendRelease(shard int, configuration Configuration, key Key, holder outside.AttemptID) {
	request := ReleaseRequest{Configuration: configuration.id(shard), Key: key, Attempt: holder}
	for _, acceptor := range configuration.Acceptors {
		s.config.Transport.Send(acceptor.PeerAddress, request)
	}
}

// Release implements Claimer.
func (s *ClaimSet) Release(key Key, attempt outside.AttemptID) {
	round, found := s.granted.take(attempt)
	if !found {
		return
	}
	shard := shardOf(key, s.config.Shards)
	if configuration, cached := s.configurations.get(shard); cached {
		s.sendRelease(shard, configuration, key, round.holder)
	}
}
