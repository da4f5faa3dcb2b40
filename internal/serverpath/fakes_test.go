package serverpath

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// reach is how a node's connections to a server end.
type reach int

const (
	connects reach = iota
	hangs
	refuses
)

// latency of each connection, and dialTimeout of those to servers.
const latency, dialTimeout = time.Millisecond, 300 * time.Millisecond

// network simulates connections between nodes and servers in virtual time.
type network struct {
	mutex sync.Mutex
	nodes map[string]*testNode
	// reaches by node and by server's address; an entry of a server holds for all nodes.
	nodeReaches, serverReaches map[string]reach
	// accepted are the servers' ends of the connections, by address.
	accepted map[string][]net.Conn
}

// testNode is a node with the components under test.
type testNode struct {
	network *network
	name    string
	monitor *Monitor
	dialer  *Dialer
	carrier *Carrier
	// earlier: the node is of an earlier build.
	earlier bool
	// crashed: the node answers nothing.
	crashed bool
	// asked counts the requests of other nodes.
	asked int
}

// newNetwork returns nodes n0 to n<nodes-1> and servers s0 to s<servers-1> of one pool.
func newNetwork(t *testing.T, nodes, servers int) *network {
	n := &network{nodes: map[string]*testNode{}, nodeReaches: map[string]reach{}, serverReaches: map[string]reach{}, accepted: map[string][]net.Conn{}}
	records := map[string]*fleet.Server{}
	for number := range servers {
		id := fmt.Sprint("s", number)
		records[id] = &fleet.Server{ID: id, Pool: "llm", Address: id}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var names []string
	for number := range nodes {
		names = append(names, fmt.Sprint("n", number))
	}
	for _, name := range names {
		view := fleet.NewView()
		view.ReplaceServers(records)
		view.SetConfiguration(&fleet.Configuration{Revision: 1, Pools: map[string]*fleet.Pool{"llm": {Engine: &fleet.Engine{}}}})
		node := &testNode{network: n, name: name}
		node.monitor = NewMonitor(Config{
			View: view, IsOrderHolder: func() bool { return false }, Logger: zerolog.Nop(),
			Probe: func(ctx context.Context, address string) error {
				conn, err := node.direct(ctx, address)
				if err == nil {
					_ = conn.Close()
				}
				return err
			},
		})
		node.dialer = &Dialer{Monitor: node.monitor, Intermediaries: &Intermediaries{Transport: node, Nodes: func() (reaching, others []string) { return nil, otherThan(names, name) }}}
		node.carrier = &Carrier{Monitor: node.monitor, Dial: node.direct, MaxConnections: 10}
		n.nodes[name] = node
		go node.monitor.Run(ctx)
	}
	return n
}

func otherThan(names []string, own string) []string {
	var found []string
	for _, name := range names {
		if name != own {
			found = append(found, name)
		}
	}
	return found
}

// set changes how connections of a node or to a server end.
func (n *network) set(name string, how reach) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.nodes[name] != nil {
		n.nodeReaches[name] = how
	} else {
		n.serverReaches[name] = how
	}
}

// direct connects to a server by the node's own path.
func (t *testNode) direct(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	time.Sleep(latency)
	t.network.mutex.Lock()
	defer t.network.mutex.Unlock()
	how := t.network.nodeReaches[t.name]
	if how == connects {
		how = t.network.serverReaches[address]
	}
	switch how {
	case hangs:
		t.network.mutex.Unlock()
		<-ctx.Done()
		t.network.mutex.Lock()
		return nil, ctx.Err()
	case refuses:
		return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
	}
	near, far := net.Pipe()
	t.network.accepted[address] = append(t.network.accepted[address], far)
	return near, nil
}

// OpenStream implements peer.StreamTransport.
func (t *testNode) OpenStream(ctx context.Context, address string, request peer.Message) (net.Conn, peer.Message, error) {
	time.Sleep(latency)
	t.network.mutex.Lock()
	target := t.network.nodes[address]
	target.asked++
	earlier, crashed := target.earlier, target.crashed
	t.network.mutex.Unlock()
	if crashed {
		return nil, nil, peer.ErrUnreachable
	}
	if earlier {
		return nil, nil, errors.New("no handler for message")
	}
	near, far := net.Pipe()
	replies := make(chan peer.Message, 1)
	go func() {
		defer far.Close()
		target.carrier.Serve(context.Background(), t.name, request, func(reply peer.Message) (net.Conn, error) {
			replies <- reply
			return far, nil
		})
	}()
	select {
	case reply := <-replies:
		return near, reply, nil
	case <-ctx.Done():
		return nil, nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, ctx.Err())
	}
}

// HandleStream implements peer.StreamTransport.
func (*testNode) HandleStream(peer.Message, peer.StreamHandler) {}

// dialed is the result of a dial.
type dialed struct {
	conn     net.Conn
	indirect bool
	err      error
	took     time.Duration
}

// dial connects to a server, and closes the connection at the end of the test.
func (t *testNode) dial(test *testing.T, address string) dialed {
	began := time.Now()
	conn, indirect, err := t.dialer.Dial(context.Background(), address, exchange.DialFunc(t.direct))
	if conn != nil {
		test.Cleanup(func() { _ = conn.Close() })
	}
	return dialed{conn, indirect, err, time.Since(began)}
}

// inVirtualTime runs a test of a network, and closes all connections at its end.
func inVirtualTime(t *testing.T, nodes, servers int, test func(t *testing.T, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		// Runs last: all timers end.
		t.Cleanup(func() { time.Sleep(time.Minute) })
		n := newNetwork(t, nodes, servers)
		t.Cleanup(func() {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			for _, conns := range n.accepted {
				for _, conn := range conns {
					_ = conn.Close()
				}
			}
		})
		test(t, n)
	})
}
