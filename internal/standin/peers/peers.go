// Package peers joins the nodes of a test in memory. Messages take time, so it belongs
// into virtual time (testing/synctest).
package peers

import (
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// delay of a message, one way.
const delay = time.Millisecond

// sendTimeout is how long a message without a reply is on its way at most.
const sendTimeout = time.Second

// Network joins nodes.
type Network struct {
	mutex sync.Mutex
	nodes map[string]*Node
}

// NewNetwork returns a network without nodes.
func NewNetwork() *Network { return &Network{nodes: map[string]*Node{}} }

// Node is one node's transport.
type Node struct {
	network *Network
	address string
	// Handlers and faults are guarded by the network's lock.
	handlers map[reflect.Type]peer.Handler
	cut      bool
	part     int
	// slow is how much longer calls to the node take, each way.
	slow time.Duration
}

var _ peer.Transport = (*Node)(nil)

// Add joins a node; one that had the address before is gone.
func (n *Network) Add(address string) *Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	node := &Node{network: n, address: address, handlers: map[reflect.Type]peer.Handler{}}
	n.nodes[address] = node
	return node
}

// Remove takes a node away. Calls to it fail at once.
func (n *Network) Remove(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.nodes, address)
}

// Addresses of all nodes, in order.
func (n *Network) Addresses() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var all []string
	for address := range n.nodes {
		all = append(all, address)
	}
	slices.Sort(all)
	return all
}

// Living are the nodes that are not cut off.
func (n *Network) Living() []string { return slices.DeleteFunc(n.Addresses(), n.IsCut) }

// SetCut cuts a node off from all others, or ends that.
func (n *Network) SetCut(address string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.nodes[address].cut = cut
}

// IsCut reports whether a node is cut off from all others.
func (n *Network) IsCut(address string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.nodes[address].cut
}

// SetPart puts a node into a part of the network; it reaches the nodes of its part only.
func (n *Network) SetPart(address string, part int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.nodes[address].part = part
}

// SetSlow makes calls to a node, and their replies, take longer. Its own calls don't.
func (n *Network) SetSlow(address string, slow time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.nodes[address].slow = slow
}

// delayTo is how long a message to a node takes, or a reply from it.
func (n *Network) delayTo(address string) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if target := n.nodes[address]; target != nil {
		return delay + target.slow
	}
	return delay
}

// handler returns what handles a message; nil if it does not arrive, and whether that is
// known at once, since nobody has the address.
func (n *Network) handler(from *Node, to string, message peer.Message) (handler peer.Handler, refused bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	target := n.nodes[to]
	switch {
	case n.nodes[from.address] != from || from.cut:
		return nil, false
	case target == nil:
		return nil, true
	case target.cut || from.part != target.part:
		return nil, false
	}
	return target.handlers[reflect.TypeOf(message)], false
}

// Handle implements peer.Transport.
func (n *Node) Handle(prototype peer.Message, handler peer.Handler) {
	n.network.mutex.Lock()
	defer n.network.mutex.Unlock()
	n.handlers[reflect.TypeOf(prototype)] = handler
}

// Send implements peer.Transport.
func (n *Node) Send(address string, message peer.Message) {
	n.Call(address, message, sendTimeout, func(peer.Message, error) {})
}

// Call implements peer.Transport.
func (n *Node) Call(address string, message peer.Message, timeout time.Duration, done func(peer.Message, error)) {
	var once sync.Once
	finish := func(message peer.Message, err error) { once.Do(func() { done(message, err) }) }
	time.AfterFunc(timeout, func() { finish(nil, peer.ErrUnreachable) })
	handler, refused := n.network.handler(n, address, message)
	if refused {
		time.AfterFunc(delay, func() { finish(nil, peer.ErrUnreachable) })
	}
	if handler == nil {
		return
	}
	time.AfterFunc(n.network.delayTo(address), func() {
		handler(n.address, message, func(reply peer.Message, err error) {
			time.AfterFunc(n.network.delayTo(address), func() { finish(reply, err) })
		})
	})
}
