package serverpath

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

const (
	// maxAsked is the number of nodes that are asked for one connection.
	maxAsked = 3
	// askDelay is the time without a reply after which the next node is asked as well (as RFC 8305
	// does with addresses).
	askDelay = 60 * time.Millisecond
	// askTimeout limits the wait for one node.
	askTimeout = 300 * time.Millisecond
	// spreadFrom is the number of connections through each proven node from which others are tried.
	spreadFrom = 4
	// provenTTL is how long a node that opened a connection is preferred.
	provenTTL = 5 * time.Second
	// lastResortPause is the time after which a node is asked again in spite of a pause, if no other can
	// be asked.
	lastResortPause = 250 * time.Millisecond
	// The pauses of a node: after it was busy, after it did not reach a server or did not reply, and after
	// it did not understand the request, as earlier builds don't.
	busyPause, unreachedPause, unsupportedPause = 500 * time.Millisecond, 2 * time.Second, 10 * time.Second
)

// Intermediaries chooses the nodes through which servers are reached. It is safe for concurrent use.
type Intermediaries struct {
	// Transport opens streams to other nodes.
	Transport peer.StreamTransport
	// Nodes returns the addresses of other nodes that may be asked: those that are known to reach the
	// servers, and others.
	Nodes func() (reaching, others []string)
	// OnAnswer is called with the outcome of each request that another node answered; nil: not
	// called.
	OnAnswer func(outcome Outcome)

	mutex sync.Mutex
	nodes map[string]*intermediary
}

// intermediary is what this node knows of another one as an intermediary.
type intermediary struct {
	// open is the number of connections through it.
	open int
	// chosenAt is when it was last chosen to be asked, pausedUntil until when it is asked only if no other
	// node can be, and provenUntil until when it is preferred.
	chosenAt, pausedUntil, provenUntil time.Time
	// unsupportedUntil is until when it is not asked at all, since it did not understand a request.
	unsupportedUntil time.Time
}

// verdict counts the nodes that tried to connect to a server and did not: those to which it refused the
// connection, and those that did not reach it.
type verdict struct{ refused, unreached int }

// answer is one node's answer.
type answer struct {
	node    string
	conn    net.Conn
	outcome Outcome
	err     error
}

// open connects to a server through another node and returns that node's address. It asks a few nodes
// until one is connected.
func (i *Intermediaries) open(ctx context.Context, server string) (net.Conn, string, verdict, error) {
	nodes := i.choose(time.Now())
	if len(nodes) == 0 {
		return nil, "", verdict{}, errNoIntermediary
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(nodes))
	ask := func(node string) {
		go func() { answers <- i.ask(ctx, node, server) }()
	}
	var said verdict
	asked, pending := 1, 1
	ask(nodes[0])
	var refusedBy []string
	timer := time.NewTimer(askDelay)
	defer timer.Stop()
	for {
		select {
		case got := <-answers:
			pending--
			if got.err == nil {
				go closeLate(answers, pending)
				i.distrust(refusedBy)
				return i.track(got.conn, got.node, server), got.node, said, nil
			}
			switch got.outcome {
			case Refused:
				said.refused++
				refusedBy = append(refusedBy, got.node)
			case Unreached:
				said.unreached++
			}
		case <-timer.C:
			timer.Reset(askDelay)
		case <-ctx.Done():
			go closeLate(answers, pending)
			return nil, "", said, ctx.Err()
		}
		switch {
		case asked < len(nodes):
			ask(nodes[asked])
			asked++
			pending++
		case pending == 0:
			return nil, "", said, errors.New("no other node reaches the server")
		}
	}
}

// closeLate closes the connections in the answers that are still to come.
func closeLate(answers <-chan answer, pending int) {
	for range pending {
		if late := <-answers; late.conn != nil {
			_ = late.conn.Close()
		}
	}
}

// ask asks one node, and records what its answer shows.
func (i *Intermediaries) ask(ctx context.Context, node, server string) answer {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, reply, err := i.Transport.OpenStream(limited, node, OpenRequest{Server: server})
	got := answer{node: node, conn: conn, err: err}
	if err == nil {
		opened, understood := reply.(OpenReply)
		got.outcome = opened.Outcome
		if !understood || opened.Outcome != Opened {
			_ = conn.Close()
			got.conn, got.err = nil, errors.New("node "+node+": "+got.outcome.String())
		}
	}
	if ctx.Err() == nil {
		i.record(got)
	}
	return got
}

// record updates what is known of a node by its answer.
func (i *Intermediaries) record(got answer) {
	now := time.Now()
	i.mutex.Lock()
	state := i.state(got.node)
	switch {
	case got.err == nil:
		state.provenUntil = now.Add(provenTTL)
	case got.outcome == Busy:
		state.pausedUntil = now.Add(busyPause)
	case got.outcome == Unreached, errors.Is(got.err, peer.ErrUnreachable):
		state.pausedUntil, state.provenUntil = now.Add(unreachedPause), time.Time{}
	case got.outcome == 0:
		state.unsupportedUntil = now.Add(unsupportedPause)
	}
	i.mutex.Unlock()
	if i.OnAnswer != nil && got.outcome != 0 {
		i.OnAnswer(got.outcome)
	}
}

// distrust pauses the nodes to which a server refused connections that another node reached.
func (i *Intermediaries) distrust(nodes []string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, node := range nodes {
		i.state(node).pausedUntil = time.Now().Add(unreachedPause)
	}
}

// choose returns the nodes to ask, in order: those that opened connections lately, the least used first,
// then those that are known to reach the servers, and then others. If all are paused, it returns one that
// was chosen longest ago.
func (i *Intermediaries) choose(now time.Time) []string {
	reaching, others := i.Nodes()
	nodes := slices.Concat(reaching, others)
	rand.Shuffle(len(nodes), func(a, b int) { nodes[a], nodes[b] = nodes[b], nodes[a] })
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.prune(nodes, now)
	nodes = slices.DeleteFunc(nodes, func(node string) bool { return now.Before(i.state(node).unsupportedUntil) })
	ready := slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return now.Before(i.state(node).pausedUntil) })
	if len(ready) == 0 {
		return i.lastResort(nodes, now)
	}
	slices.SortStableFunc(ready, func(a, b string) int {
		return i.rank(a, slices.Contains(reaching, a), now) - i.rank(b, slices.Contains(reaching, b), now)
	})
	ready = ready[:min(len(ready), maxAsked)]
	for _, node := range ready {
		i.state(node).chosenAt = now
	}
	return ready
}

// lastResort returns the node that was chosen longest ago, unless that was within lastResortPause. The lock
// must be held.
func (i *Intermediaries) lastResort(nodes []string, now time.Time) []string {
	if len(nodes) == 0 {
		return nil
	}
	longest := slices.MinFunc(nodes, func(a, b string) int { return i.state(a).chosenAt.Compare(i.state(b).chosenAt) })
	if now.Sub(i.state(longest).chosenAt) < lastResortPause {
		return nil
	}
	i.state(longest).chosenAt = now
	return []string{longest}
}

// rank orders nodes: the lower, the sooner asked. The lock must be held.
func (i *Intermediaries) rank(node string, reaching bool, now time.Time) int {
	state := i.state(node)
	switch {
	case now.Before(state.provenUntil):
		return state.open
	case reaching:
		return max(state.open, spreadFrom)
	}
	return max(state.open, spreadFrom) + 1
}

// prune forgets nodes that are neither listed nor in use. The lock must be held.
func (i *Intermediaries) prune(listed []string, now time.Time) {
	for node, state := range i.nodes {
		if state.open == 0 && now.After(state.pausedUntil) && now.After(state.unsupportedUntil) && !slices.Contains(listed, node) {
			delete(i.nodes, node)
		}
	}
}

// state returns the state of a node. The lock must be held.
func (i *Intermediaries) state(node string) *intermediary {
	if i.nodes == nil {
		i.nodes = map[string]*intermediary{}
	}
	if i.nodes[node] == nil {
		i.nodes[node] = &intermediary{}
	}
	return i.nodes[node]
}

// track counts a connection through a node until it is closed.
func (i *Intermediaries) track(conn net.Conn, node, server string) net.Conn {
	i.count(node, 1)
	return &trackedConn{
		Conn: conn, closed: sync.OnceFunc(func() { i.count(node, -1) }),
		answers: func() bool { return i.answers(node, server) },
	}
}

// answers reports whether a node answers requests for connections to a server, whether or not it opens
// one.
func (i *Intermediaries) answers(node, server string) bool {
	got := i.ask(context.Background(), node, server)
	if got.conn != nil {
		_ = got.conn.Close()
	}
	return got.outcome != 0
}

func (i *Intermediaries) count(node string, change int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.state(node).open += change
}

// trackedConn is a connection through another node. It calls closed when it is closed, and answers to
// learn whether that node still answers.
type trackedConn struct {
	net.Conn
	closed  func()
	answers func() bool
}

// Read implements net.Conn. The system closes the connections of a node that crashes in order, so an end
// counts as the server's only if the node still answers.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if errors.Is(err, io.EOF) && !c.answers() {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn. It fails over TLS.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	socket, isSyscall := c.Conn.(syscall.Conn)
	if !isSyscall {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}
