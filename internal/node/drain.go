package node

import (
	"sync"
	"time"
)

// handoverPollInterval is how often a draining node checks whether its roles
// have been handed over.
const handoverPollInterval = 200 * time.Millisecond

// handoverTimeout limits the wait for the handover of roles, which an outage of
// the key-value service can delay. A node that shuts down without a handover
// loses the claim votes that it holds. The limit does not apply to requests in
// flight, since each has its own deadline.
const handoverTimeout = 2 * time.Minute

// drainState is the progress of a planned shutdown.
type drainState struct {
	mutex     sync.Mutex
	draining  bool
	startedAt time.Time
	callbacks []func()
	finished  bool
}

// Draining reports whether a planned shutdown has begun.
func (n *Node) Draining() bool {
	n.drain.mutex.Lock()
	defer n.drain.mutex.Unlock()
	return n.drain.draining
}

// Drain begins a planned shutdown: the node rejects new requests, completes
// those that it accepted, hands its roles over and leaves the membership. Done
// is called once the drain is complete. Drain may be called several times; each
// done is called.
func (n *Node) Drain(done func()) {
	n.drain.mutex.Lock()
	if n.drain.finished {
		n.drain.mutex.Unlock()
		n.config.Clock.AfterFunc(0, done)
		return
	}
	n.drain.callbacks = append(n.drain.callbacks, done)
	alreadyDraining := n.drain.draining
	n.drain.draining = true
	n.drain.startedAt = n.config.Clock.Now()
	n.drain.mutex.Unlock()
	if alreadyDraining {
		return
	}
	n.config.Logger.Info().Str("reason", "planned stop").Msg("draining")
	n.Registry.SetDraining(true)
	n.Gateway.Drain(func() { n.config.Clock.AfterFunc(0, n.awaitHandover) })
}

// awaitHandover polls until all roles are handed over or handoverTimeout has
// passed, and then stops the node.
func (n *Node) awaitHandover() {
	n.drain.mutex.Lock()
	elapsed := n.config.Clock.Now().Sub(n.drain.startedAt)
	n.drain.mutex.Unlock()
	handedOver := n.rolesHandedOver()
	if !handedOver && elapsed < handoverTimeout {
		n.config.Clock.AfterFunc(handoverPollInterval, n.awaitHandover)
		return
	}
	if !handedOver {
		n.config.Logger.Warn().Strs("cells", n.Owners.Owned()).Bool("claims", n.Claims.IsAcceptor()).
			Str("reason", "handover took too long").Msg("leaving without handover")
	}
	n.Stop()
	n.Registry.Stop(n.finishDrain)
}

// rolesHandedOver reports whether the node holds no claims and owns no cells
// that another member could take over. Claims are handed over to other members
// or, if there are none, saved in the key-value service.
func (n *Node) rolesHandedOver() bool {
	if n.Claims.IsAcceptor() {
		return false
	}
	return len(n.Owners.Owned()) == 0 || !n.hasSuccessor()
}

// hasSuccessor reports whether another live member can take over roles.
func (n *Node) hasSuccessor() bool {
	for _, member := range n.Registry.Members() {
		if member.Name != n.config.Self.Name && !member.Draining {
			return true
		}
	}
	return false
}

func (n *Node) finishDrain() {
	n.drain.mutex.Lock()
	n.drain.finished = true
	callbacks := n.drain.callbacks
	n.drain.callbacks = nil
	n.drain.mutex.Unlock()
	n.config.Logger.Info().Str("reason", "planned stop").Msg("drained")
	for _, done := range callbacks {
		done()
	}
}
