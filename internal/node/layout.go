package node

import (
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// layoutKey holds the digest of the division into cells in the key-value
// service. Two nodes with different divisions would grant the same replicas
// twice, so a node whose digest is another owns nothing.
const layoutKey = "layout"

// layoutRetry is the pause before the key-value service is asked again.
const layoutRetry = 500 * time.Millisecond

// ErrLayoutMismatch means that the running nodes divide servers into other cells.
var ErrLayoutMismatch = errors.New("the cells in the settings differ from those in force")

// confirmedOwners starts the ownership of cells once, unless the node has
// stopped before.
type confirmedOwners struct {
	owners *membership.OwnershipManager

	mutex            sync.Mutex
	running, stopped bool
}

func (c *confirmedOwners) start() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.running || c.stopped {
		return
	}
	c.running = true
	c.owners.Start()
}

func (c *confirmedOwners) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopped = true
	if c.running {
		c.owners.Stop()
	}
}

func (c *confirmedOwners) isRunning() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.running
}

// confirmLayout makes sure that this node divides servers and models as all
// others do, and then calls confirmed. The first node of a new deployment sets
// what is in force. Without the key-value service it waits.
func (n *Node) confirmLayout(confirmed func()) {
	n.config.KeyValues.Range(layoutKey, n.config.Settings.Platform.Timeout, func(result outside.RangeResult, err error) {
		if err != nil {
			n.confirmLayoutLater(confirmed)
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

func (n *Node) confirmLayoutLater(confirmed func()) {
	n.config.Clock.AfterFunc(layoutRetry, func() {
		if !n.stopped.Load() {
			n.confirmLayout(confirmed)
		}
	})
}

func (n *Node) compareLayout(inForce string, confirmed func()) {
	own := n.Layout.Digest()
	if inForce == own {
		confirmed()
		return
	}
	err := eris.Wrapf(ErrLayoutMismatch, "digest %s here, %s in force", own, inForce)
	n.config.Logger.Error().Err(err).Str("reason", "other layout").Msg("node owns no cells")
	if n.config.OnFatalError != nil {
		n.config.OnFatalError(err)
	}
}

// recordLayout sets the layout in force unless another node is quicker; either
// way it is read again, which also settles a write whose reply was lost.
func (n *Node) recordLayout(confirmed func()) {
	transaction := outside.Transaction{
		Compares:   []outside.Compare{{Key: layoutKey}},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: layoutKey, Value: []byte(n.Layout.Digest())}},
	}
	n.config.KeyValues.Transact(transaction, n.config.Settings.Platform.Timeout, func(outside.TransactionResult, error) {
		n.confirmLayoutLater(confirmed)
	})
}
