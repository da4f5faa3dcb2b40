package keyvalue

import (
	"errors"
	"fmt"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Refusals. Each matches outside.ErrNotApplied.
var (
	// ErrOutage: the service is switched to refuse everything.
	ErrOutage = refusal("no leader")
	// ErrRateLimited: the operation exceeds the rate limit.
	ErrRateLimited = refusal("too many requests")

	errClosed            = refusal("server stopped")
	errTooManyOperations = refusal("too many operations in txn request")
	errRequestTooLarge   = refusal("request is too large")
	errDuplicateKey      = refusal("duplicate key given in txn request")
	errEmptyKey          = refusal("key is not provided")
	errBadTimeToLive     = refusal("lease time to live must be positive")
)

// errLeaseNotFound matches outside.ErrLeaseNotFound and outside.ErrNotApplied.
var errLeaseNotFound = fmt.Errorf("%w: %w: requested lease not found", outside.ErrNotApplied, outside.ErrLeaseNotFound)

// ErrReplyLost tells a front end to give no reply to an operation that took
// effect. It never reaches a client.
var ErrReplyLost = errors.New("reply lost")

// errWatchGap ends a watch that has missed events.
var errWatchGap = errors.New("watch has missed events")

func refusal(reason string) error {
	return fmt.Errorf("%w: %s", outside.ErrNotApplied, reason)
}
