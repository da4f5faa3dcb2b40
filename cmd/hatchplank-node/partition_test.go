package main

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/platform/standin"
)

// responseTime is how long callers wait for an answer.
const responseTime = 2 * time.Second

// linkState is how new connections to a server end.
type linkState int

const (
	connects linkState = iota
	linkHangs
	linkRefuses
)

// serverLinks are the connections of one node to servers, which a test can cut.
type serverLinks struct {
	mutex sync.Mutex
	// state of the links to all servers, and to single ones, by address.
	state  linkState
	single map[string]linkState
	open   map[net.Conn]string
}

func newServerLinks() *serverLinks {
	return &serverLinks{single: map[string]linkState{}, open: map[net.Conn]string{}}
}

// dial opens a connection to a server unless the path is cut.
func (l *serverLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	l.mutex.Lock()
	state := max(l.state, l.single[address])
	l.mutex.Unlock()
	switch state {
	case linkRefuses:
		return nil, syscall.ECONNREFUSED
	case linkHangs:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[conn] = address
	return conn, nil
}

// cut closes the connections to the servers at the addresses, to all without any, and makes new ones end
// in the given state.
func (l *serverLinks) cut(state linkState, addresses ...string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(addresses) == 0 {
		l.state = state
	}
	for _, address := range addresses {
		l.single[address] = state
	}
	for conn, address := range l.open {
		if len(addresses) == 0 || slices.Contains(addresses, address) {
			_ = conn.Close()
			delete(l.open, conn)
		}
	}
}

// count returns the number of connections that were opened since the last cut of all.
func (l *serverLinks) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.open)
}

// heal ends all cuts.
func (l *serverLinks) heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state = connects
	clear(l.single)
}

// startWithLinks starts a node whose paths to servers can be cut.
func (d *deployment) startWithLinks(t *testing.T, name string) (url string, links *serverLinks) {
	links = newServerLinks()
	url, _ = d.startOn(t, name, links)
	return url, links
}

// startOn starts a node with the links.
func (d *deployment) startOn(t *testing.T, name string, links *serverLinks) (url string, stop func()) {
	serverDialSettings.Dial = links.dial
	defer func() { serverDialSettings.Dial = nil }()
	return d.start(t, name)
}

// linkVariants are the ways in which connections fail in a partition.
var linkVariants = map[string]linkState{"connections hang": linkHangs, "connections are refused": linkRefuses}

// Guards against refusing what other nodes can serve: nodes that were partitioned from all servers
// served none of their requests.
func TestNodePartitionedFromAllServersServesThroughOthers(t *testing.T) {
	for name, state := range linkVariants {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			d := newDeployment(t)
			d.startThree(t)
			node, links := d.startWithLinks(t, "cut")
			Eventually(func() int { return standin.Post(node, "/s/x", "a") }, "30s").Should(Equal(http.StatusOK))
			links.cut(state)
			for _, request := range []struct{ path, model string }{{"/s/x", "a"}, {"/p/x", ""}} {
				Eventually(func() int { return standin.PostWithin(responseTime, node, request.path, request.model) }, "30s").Should(Equal(http.StatusOK))
				for range 10 {
					Expect(standin.Post(node, request.path, request.model)).To(Equal(http.StatusOK))
				}
			}
			links.heal()
			Eventually(links.count, "30s").Should(BeNumerically(">", 0), "probes restore the path")
		})
	}
}

// Guards against an order holder that keeps its lease while it reaches no server, so that nothing is
// loaded for any node.
func TestOrderHolderPartitionedFromAllServersIsReplaced(t *testing.T) {
	for name, state := range linkVariants {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			d := newDeployment(t)
			_, links := d.startWithLinks(t, "holder")
			other, _ := d.start(t, "other")
			Eventually(func() int { return standin.Post(other, "/s/x", "a/a1") }, "30s").Should(Equal(http.StatusOK))
			links.cut(state)
			Eventually(func() int { return standin.PostWithin(responseTime, other, "/s/x", "a/a2") }, "30s").Should(Equal(http.StatusOK))
		})
	}
}

// Guards against an order holder that keeps its lease while it reaches no server, since each other node
// has lost a path as well: one to a server without models, another to a part of those with models.
func TestOrderHolderIsReplacedWhereEachNodeHasLostAPath(t *testing.T) {
	for name, state := range linkVariants {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			d := newDeployment(t)
			_, holderLinks := d.startWithLinks(t, "holder")
			other, otherLinks := d.startWithLinks(t, "other")
			third, thirdLinks := d.startWithLinks(t, "third")
			Eventually(func() int { return standin.Post(other, "/s/x", "a/a1") }, "30s").Should(Equal(http.StatusOK))
			modelServer, plainServer := d.addresses[0], d.addresses[len(d.addresses)-1]
			otherLinks.cut(state, plainServer)
			thirdLinks.cut(state, modelServer)
			for _, lost := range []struct{ node, path, model string }{{other, "/p/x", ""}, {third, "/s/x", "a"}} {
				for range 5 {
					Eventually(func() int { return standin.PostWithin(responseTime, lost.node, lost.path, lost.model) }, "30s").Should(Equal(http.StatusOK))
				}
			}
			holderLinks.cut(state)
			Eventually(func() int { return standin.PostWithin(responseTime, other, "/s/x", "a/a2") }, "30s").Should(Equal(http.StatusOK))
		})
	}
}
