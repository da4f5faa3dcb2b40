package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/platform/standin"
)

// contactTime is the time within which nodes adapt to a partition, and responseTime that in which
// requests are answered then.
const contactTime, responseTime = 3 * time.Second, 2 * time.Second

// serverLinks are the connections of one node to servers, which a test can cut.
type serverLinks struct {
	mutex sync.Mutex
	// refuses and hangs say how new connections fail; without either they are opened.
	refuses, hangs bool
	open           []net.Conn
}

// dial opens a connection to a server unless the path is cut.
func (l *serverLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	l.mutex.Lock()
	refuses, hangs := l.refuses, l.hangs
	l.mutex.Unlock()
	switch {
	case refuses:
		return nil, syscall.ECONNREFUSED
	case hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open = append(l.open, conn)
	return conn, nil
}

// cut closes all connections, and refuses new ones or lets them hang.
func (l *serverLinks) cut(refuses bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refuses, l.hangs = refuses, !refuses
	for _, conn := range l.open {
		_ = conn.Close()
	}
	l.open = nil
}

// heal ends a cut.
func (l *serverLinks) heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refuses, l.hangs = false, false
}

// startWithLinks starts a node whose paths to servers can be cut.
func (d *deployment) startWithLinks(t *testing.T, name string) (url string, links *serverLinks) {
	links = &serverLinks{}
	serverDialSettings.Dial = links.dial
	defer func() { serverDialSettings.Dial = nil }()
	url, _ = d.start(t, name)
	return url, links
}

// Guards against refusing what other nodes can serve: nodes that were partitioned from all servers
// served none of their requests.
func TestNodePartitionedFromAllServersServesThroughOthers(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		t.Run(map[bool]string{false: "connections hang", true: "connections are refused"}[refuses], func(t *testing.T) {
			RegisterTestingT(t)
			d := newDeployment(t)
			d.startThree(t)
			node, links := d.startWithLinks(t, "cut")
			Eventually(func() int { return standin.Post(node, "/s/x", "a") }, "30s").Should(Equal(http.StatusOK))
			links.cut(refuses)
			time.Sleep(contactTime)
			for range 10 {
				Expect(standin.PostWithin(responseTime, node, "/s/x", "a")).To(Equal(http.StatusOK))
				Expect(standin.PostWithin(responseTime, node, "/p/x", "")).To(Equal(http.StatusOK))
			}
		})
	}
}

// Guards against an order holder that keeps its lease while it reaches no server, so that nothing is
// loaded for any node.
func TestOrderHolderPartitionedFromAllServersIsReplaced(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		t.Run(map[bool]string{false: "connections hang", true: "connections are refused"}[refuses], func(t *testing.T) {
			RegisterTestingT(t)
			d := newDeployment(t)
			_, links := d.startWithLinks(t, "holder")
			other, _ := d.start(t, "other")
			Eventually(func() int { return standin.Post(other, "/s/x", "a/a1") }, "30s").Should(Equal(http.StatusOK))
			links.cut(refuses)
			time.Sleep(contactTime)
			Eventually(func() int { return standin.PostWithin(responseTime, other, "/s/x", "a/a2") }, "5s").Should(Equal(http.StatusOK))
		})
	}
}
