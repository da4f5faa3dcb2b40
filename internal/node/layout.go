package node

import (
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// layoutKey holds the digest of the cell layout in force in the key-value
// service. Two nodes with different layouts would allot the same replicas twice,
// so a node whose layout has another digest owns no cells.
const layoutKey = "layout"

// layoutRetryDelay is the delay before the layout is read again.
const layoutRetryDelay = 500 * time.Millisecond

// ErrLayoutMismatch means that this node's cell layout differs from the one that
// the running nodes use.
var ErrLayoutMismatch = errors.New("the cells in the settings differ from those in force")

// ownershipGate starts cell ownership at most once, and not after the node has
// stopped.
type ownershipGate struct {
	owners *membership.OwnershipManager

	mutex            sync.Mutex
	running, stopped bool
}

func (c *ownershipGate) start() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.running || c.stopped {
		return
	}
	c.running = true
	c.owners.Start()
}

func (c *ownershipGate) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopped = true
	if c.running {
		c.owners.Stop()
	}
}

func (c *ownershipGate) isRunning() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.running
}

// confirmLayout checks that this node has the cell layout in force, and then
// calls confirmed. The first node of a new deployment records its own layout as
// the one in force. While the key-value service is unavailable, it retries.
func (n *Node) confirmLayout(confirmed func()) {
	n.config.KeyValues.Range(layoutKey, n.config.Settings.Platform.Timeout, func(result outside.RangeResult, err error) {
		if err != nil {
			n.retryConfirmLayout(confirmed)
			return
		}
		for _, pair := range result.KeyValues {
			if pair.Key == layoutKey {
				n.compareLayout(string(pair.Value), confirmed)
				return
			}
		}
		n.recordLayout(confirmed)
	})
}

func (n *Node) retryConfirmLayout(confirmed func()) {
	n.config.Clock.AfterFunc(layoutRetryDelay, func() {
		if !n.stopped.Load() {
			n.confirmLayout(confirmed)
		}
	})
}

// compareLayout calls confirmed if the digest in force is that of this node's
// layout, and otherwise reports ErrLayoutMismatch as a fatal error.
func (n *Node) compareLayout(inForce string, confirmed func()) {
	ownDigest := n.Layout.Digest()
	if inForce == ownDigest {
		confirmed()
		return
	}
	err := eris.Wrapf(ErrLayoutMismatch, "digest %s here, %s in force", ownDigest, inForce)
	n.config.Logger.Error().Err(err).Str("reason", "other layout").Msg("node owns no cells")
	if n.config.OnFatalError != nil {
		n.config.OnFatalError(err)
	}
}

// recordLayout records this node's layout as the one in force unless another
// node has recorded one before. The layout is read again in any case, which also
// covers a write whose reply was lost.
func (n *Node) recordLayout(confirmed func()) {
	transaction := outside.Transaction{
		Compares:   []outside.Compare{{Key: layoutKey}},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: layoutKey, Value: []byte(n.Layout.Digest())}},
	}
	n.config.KeyValues.Transact(transaction, n.config.Settings.Platform.Timeout, func(outside.TransactionResult, error) {
		n.retryConfirmLayout(confirmed)
	})
}
