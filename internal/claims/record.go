package claims

import (
	"sync"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// Record implements Claimer.
func (s *ClaimSet) Record(key Key, attempt outside.AttemptID, outcome Outcome) {
	round, found := s.granted.take(attempt)
	if !found {
		return
	}
	if len(outcome.Body) > MaxOutcomeBytes {
		outcome.Body = nil
		outcome.Truncated = true
	}
	record := &recordOperation{
		set: s, shard: shardOf(key, s.config.Shards),
		request: RecordRequest{Key: key, Attempt: round.holder, Digest: round.digest, Outcome: outcome},
	}
	record.start()
}

// MaxOutcomeBytes is the maximum length of a recorded body; longer bodies are dropped.
const MaxOutcomeBytes = 16 << 10

// maxRecordTries is the maximum number of tries to store an outcome.
const maxRecordTries = 20

// recordOperation stores an outcome at a majority of the shard's acceptors. Each try uses the newest
// cached configuration.
type recordOperation struct {
	set     *ClaimSet
	shard   int
	request RecordRequest
	tries   int
}

func (r *recordOperation) start() {
	r.tries++
	configuration, cached := r.set.configurations.get(r.shard)
	if !cached || len(configuration.Acceptors) == 0 {
		r.scheduleRetry()
		return
	}
	request := r.request
	request.Configuration = configuration.id(r.shard)
	tally := &recordTally{operation: r, needed: configuration.writeQuorum(), expected: len(configuration.Acceptors)}
	for _, acceptor := range configuration.Acceptors {
		r.send(acceptor, request, tally)
	}
}

func (r *recordOperation) send(acceptor membership.Member, request RecordRequest, tally *recordTally) {
	r.set.config.Transport.Call(acceptor.PeerAddress, request, r.set.config.CallTimeout,
		func(message peer.Message, err error) {
			acknowledgement, ok := message.(Acknowledgement)
			tally.count(err == nil && ok && acknowledgement.OK)
		})
}

// scheduleRetry tries again after a pause, up to maxRecordTries times in all.
func (r *recordOperation) scheduleRetry() {
	if r.tries >= maxRecordTries {
		r.set.config.Logger.Warn().Int("shard", r.shard).Str("attempt", string(r.request.Attempt)).
			Str("reason", "no majority").Msg("outcome not recorded")
		return
	}
	r.set.config.Clock.AfterFunc(r.set.jitter(outcomeRetryDelay), r.start)
}

// recordTally counts the replies to one try.
type recordTally struct {
	operation *recordOperation
	needed    int
	expected  int

	mutex    sync.Mutex
	replies  int
	accepted int
}

// count counts one reply and schedules a retry once all have arrived and too few accepted.
func (t *recordTally) count(accepted bool) {
	t.mutex.Lock()
	t.replies++
	if accepted {
		t.accepted++
	}
	failed := t.replies == t.expected && t.accepted < t.needed
	t.mutex.Unlock()
	if failed {
		t.operation.scheduleRetry()
	}
}
