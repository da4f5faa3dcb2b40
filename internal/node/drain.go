package node

import (
	"sync"
	"time"
)

// handoverPeriod is how often a draining node looks whether its roles are
// handed over.
const handoverPeriod = 200 * time.Millisecond

// handoverLimit bounds the wait for the handover of roles, which an outage of
// the key-value service can hold up: a node that leaves without it takes its
// claims' votes along. Requests are waited for without it, since each has its
// own deadline.
const handoverLimit = 2 * time.Minute

// drainState is the progress of a planned stop.
type drainState struct {
	mutex     sync.Mutex
	draining  bool
	startedAt time.Time
	done      []func()
	finished  bool
}

// Draining reports whether a planned stop has begun.
func (n *Node) Draining() bool {
	n.drain.mutex.Lock()
	defer n.drain.mutex.Unlock()
	return n.drain.draining
}

// Drain begins a planned stop: the node refuses new requests, finishes what it
// accepted, hands its roles over and leaves the members. Done is called when
// that is over; several callers may wait.
func (n *Node) Drain(done func()) {
	n.drain.mutex.Lock()
	if n.drain.finished {
		n.drain.mutex.Unlock()
		n.config.Clock.AfterFunc(0, done)
		return
	}
	n.drain.done = append(n.drain.done, done)
	begun := n.drain.draining
	n.drain.draining = true
	n.drain.startedAt = n.config.Clock.Now()
	n.drain.mutex.Unlock()
	if begun {
		return
	}
	n.config.Logger.Info().Str("reason", "planned stop").Msg("draining")
	n.Registry.SetDraining(true)
	n.Gateway.Drain(func() { n.config.Clock.AfterFunc(0, n.awaitHandover) })
}

// awaitHandover waits until nothing is left to hand over.
func (n *Node) awaitHandover() {
	n.drain.mutex.Lock()
	waited := n.config.Clock.Now().Sub(n.drain.startedAt)
	n.drain.mutex.Unlock()
	handedOver := n.handedOver()
	if !handedOver && waited < handoverLimit {
		n.config.Clock.AfterFunc(handoverPeriod, n.awaitHandover)
		return
	}
	if !handedOver {
		n.config.Logger.Warn().Strs("cells", n.Owners.Owned()).Bool("claims", n.Claims.IsAcceptor()).
			Str("reason", "handover took too long").Msg("leaving without handover")
	}
	n.Stop()
	n.Registry.Stop(n.finishDrain)
}

// handedOver reports whether the node holds no claims, which go to other
// members or, without any, into the key-value service, and no cells that
// another member could take.
func (n *Node) handedOver() bool {
	if n.Claims.IsAcceptor() {
		return false
	}
	return len(n.Owners.Owned()) == 0 || !n.hasSuccessor()
}

// hasSuccessor reports whether another live member takes roles.
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
	waiting := n.drain.done
	n.drain.done = nil
	n.drain.mutex.Unlock()
	n.config.Logger.Info().Str("reason", "planned stop").Msg("drained")
	for _, done := range waiting {
		done()
	}
}
