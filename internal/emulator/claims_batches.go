package emulator

import (
	"errors"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// Parameters of the batched claims.
const (
	batchPause   = 20 * time.Millisecond
	batchLimit   = 100
	batchTimeout = time.Second
	batchPrefix  = "batched-claims/"
)

// batchedClaims is the alternative that claims are weighed against: a node
// gathers claims for a moment and writes them to the key-value service in one
// transaction, which holds if none of the keys exists.
type batchedClaims struct {
	clock     clock.Clock
	keyValues outside.KeyValueService
	waiting   []batchedClaim
	armed     bool
}

type batchedClaim struct {
	key      string
	attempt  outside.AttemptID
	deadline time.Time
	done     func(claims.Verdict)
}

// claim asks for a key.
func (b *batchedClaims) claim(key claims.Key, attempt outside.AttemptID, deadline time.Time, done func(claims.Verdict)) {
	b.waiting = append(b.waiting, batchedClaim{batchPrefix + key.Tenant + "/" + key.Value, attempt, deadline, done})
	if !b.armed {
		b.armed = true
		b.clock.AfterFunc(batchPause, b.flush)
	}
}

// flush writes what has gathered.
func (b *batchedClaims) flush() {
	b.armed = false
	waiting := b.waiting
	b.waiting = nil
	for batch := range slices.Chunk(waiting, batchLimit) {
		b.write(batch)
	}
}

func (b *batchedClaims) write(batch []batchedClaim) {
	var transaction outside.Transaction
	for _, claim := range batch {
		transaction.Compares = append(transaction.Compares, outside.Compare{Key: claim.key})
		transaction.Operations = append(transaction.Operations, outside.Operation{Key: claim.key, Value: []byte(claim.attempt)})
	}
	b.keyValues.Transact(transaction, batchTimeout, func(result outside.TransactionResult, err error) {
		b.written(batch, result, err)
	})
}

// written ends a batch. A refused write is repeated while the claims' time
// lasts; one of unknown outcome is found to be the own one when it is repeated.
func (b *batchedClaims) written(batch []batchedClaim, result outside.TransactionResult, err error) {
	switch {
	case err == nil && result.Succeeded:
		for _, claim := range batch {
			claim.done(claims.Granted)
		}
	case err == nil:
		b.sort(batch, result.Current)
	default:
		b.again(batch, errors.Is(err, outside.ErrNotApplied))
	}
}

// sort ends the claims whose keys exist and repeats the others.
func (b *batchedClaims) sort(batch []batchedClaim, current []outside.KeyValue) {
	holders := map[string]string{}
	for _, pair := range current {
		holders[pair.Key] = string(pair.Value)
	}
	var free []batchedClaim
	for _, claim := range batch {
		switch holder, taken := holders[claim.key]; {
		case !taken:
			free = append(free, claim)
		case holder == string(claim.attempt):
			claim.done(claims.Granted)
		default:
			claim.done(claims.Denied)
		}
	}
	if len(free) > 0 {
		b.write(free)
	}
}

func (b *batchedClaims) again(batch []batchedClaim, refused bool) {
	now := b.clock.Now()
	var left []batchedClaim
	for _, claim := range batch {
		if now.Before(claim.deadline) {
			left = append(left, claim)
			continue
		}
		claim.done(claims.Unavailable)
	}
	if len(left) == 0 {
		return
	}
	pause := batchPause
	if refused {
		pause *= 5
	}
	b.clock.AfterFunc(pause, func() { b.write(left) })
}
