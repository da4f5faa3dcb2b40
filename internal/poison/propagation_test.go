package poison

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// countedMessages counts the messages that nodes send without waiting for a reply. Beyond a
// limit it drops them, so that a test of endless forwarding ends.
type countedMessages struct {
	mutex       sync.Mutex
	sent, limit int
}

func (c *countedMessages) add() (allowed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent++
	return c.limit == 0 || c.sent <= c.limit
}

func (c *countedMessages) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sent
}

// countedTransport counts what a node sends.
type countedTransport struct {
	peer.Transport
	messages *countedMessages
}

// Send implements peer.Transport.
func (t countedTransport) Send(address string, message peer.Message) {
	if t.messages.add() {
		t.Transport.Send(address, message)
	}
}

// sendFromOutside sends a message to a node, from a node that is not part of the cluster.
func (c *cluster) sendFromOutside(to *node, message peer.Message) {
	c.network.Add("outside").Send(to.address, message)
}

// crossing is an entry and a release that reach different nodes, one shortly after the other.
type crossing struct {
	nodes, entries int
	gap            time.Duration
	release        Released
	// slow is the additional latency of each node's links, times its number.
	slow time.Duration
}

func (x crossing) String() string {
	return fmt.Sprintf("%d nodes, %d entries, %v apart, links slower by %v, %+v", x.nodes, x.entries, x.gap, x.slow, x.release)
}

// play returns the messages that the nodes sent, and those that they sent after the first half.
func (x crossing) play(c *cluster) (sent, late int) {
	c.messages.limit = 100 * x.entries * x.nodes * x.nodes
	for number, n := range c.nodes {
		c.network.SetSlow(n.address, time.Duration(number)*x.slow)
	}
	identities := numbered(0, x.entries)
	for _, identity := range identities {
		c.sendFromOutside(c.nodes[0], Quarantined{
			Identity: identity, Times: 1, Servers: []string{"s1", "s2", "s3"}, Age: time.Second, Remaining: initialQuarantine,
		})
	}
	time.Sleep(x.gap)
	for _, identity := range identities {
		release := x.release
		release.Identity = identity
		c.sendFromOutside(c.nodes[1], release)
	}
	time.Sleep(time.Second)
	half := c.messages.count()
	time.Sleep(time.Second)
	return c.messages.count(), c.messages.count() - half
}

// Guards against an entry and its release that are forwarded without end where they cross between
// nodes: each node that has dropped the entry took it for a new one.
func TestEntryAndReleaseThatCrossAreForwardedOnce(t *testing.T) {
	for _, nodes := range []int{4, 9, 24} {
		for _, entries := range []int{1, 3} {
			for _, slow := range []time.Duration{0, 70 * time.Microsecond} {
				for gap := time.Duration(0); gap <= 6*time.Millisecond; gap += 500 * time.Microsecond {
					x := crossing{nodes: nodes, entries: entries, gap: gap, slow: slow, release: Released{Explained: true}}
					runInCluster(t, nodes, nodes, func(c *cluster) {
						sent, late := x.play(c)
						// Each node sends each entry and each release to all others at most once.
						Expect(sent).To(BeNumerically("<=", 2*entries*nodes*nodes), x.String())
						Expect(late).To(BeZero(), x.String())
						for _, identity := range numbered(0, entries) {
							Expect(c.refusedBy(identity)).To(Or(BeZero(), Equal(nodes)), x.String())
						}
					})
				}
			}
		}
	}
}
