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
	// One address for each target: adding an address again drops what it is about to send.
	c.network.Add("outside-"+to.address).Send(to.address, message)
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

// earlierBuild adds a node to the network that forwards each entry and each release which changes
// what it knows, and remembers no release.
func (c *cluster) earlierBuild(address string, others []*node) {
	transport := countedTransport{c.network.Add(address), c.messages}
	var mutex sync.Mutex
	quarantined := map[Identity]bool{}
	change := func(identity Identity, quarantine bool) (changed bool) {
		mutex.Lock()
		defer mutex.Unlock()
		changed = quarantined[identity] != quarantine
		quarantined[identity] = quarantine
		return changed
	}
	forward := func(message peer.Message) {
		for _, other := range others {
			transport.Send(other.address, message)
		}
	}
	transport.Handle(Quarantined{}, func(_ string, message peer.Message, reply func(peer.Message, error)) {
		if change(message.(Quarantined).Identity, true) {
			forward(message)
		}
		reply(nil, nil)
	})
	transport.Handle(Released{}, func(_ string, message peer.Message, reply func(peer.Message, error)) {
		released := message.(Released)
		if change(released.Identity, false) {
			forward(Released{Identity: released.Identity, Age: released.Age, Explained: released.Explained})
		}
		reply(nil, nil)
	})
}

// The same for each form of a release, whichever arrives first, beside a node of an earlier build,
// and twice.
func TestEntryAndReleaseHaveOneResultInAnyOrder(t *testing.T) {
	ends := []string{"s1", "s2", "s3"}
	releases := map[string]Released{
		"explained":                   {Explained: true, Ends: ends},
		"explained, by an earlier":    {Explained: true},
		"served":                      {Ends: ends},
		"served, by an earlier build": {},
	}
	for name, release := range releases {
		for _, beside := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", earlier build: ", beside), func(t *testing.T) {
				for gap := -3 * time.Millisecond; gap <= 6*time.Millisecond; gap += 500 * time.Microsecond {
					runInCluster(t, 4, 4, func(c *cluster) {
						c.messages.limit = 10_000
						if beside {
							c.earlierBuild("node-old", c.nodes)
							c.collectors = append(c.collectors, "node-old")
						}
						identity := numbered(0, 1)[0]
						entry := Quarantined{Identity: identity, Times: 1, Servers: ends, Age: time.Second, Remaining: initialQuarantine}
						release.Identity = identity
						for range 2 {
							time.AfterFunc(max(-gap, 0), func() { c.sendFromOutside(c.nodes[0], entry) })
							time.AfterFunc(max(gap, 0), func() { c.sendFromOutside(c.nodes[1], release) })
							time.Sleep(time.Second)
						}
						Expect(c.messages.count()).To(BeNumerically("<=", 4*5*5), "%v apart", gap)
						if len(release.Ends) > 0 {
							Expect(c.refusedBy(identity)).To(BeZero(), "%v apart", gap)
						}
					})
				}
			})
		}
	}
}

// Guards against a release that also clears crashes which its sender did not know of: an entry for
// later crashes stays in force.
func TestReleaseLeavesLaterCrashes(t *testing.T) {
	runInCluster(t, 4, 4, func(c *cluster) {
		identity := numbered(0, 1)[0]
		later := Quarantined{Identity: identity, Times: 1, Servers: []string{"s3", "s4", "s5", "s6"}, Remaining: initialQuarantine}
		c.sendFromOutside(c.nodes[0], later)
		time.Sleep(time.Second)
		c.sendFromOutside(c.nodes[1], Released{Identity: identity, Explained: true, Ends: []string{"s1", "s2", "s3"}})
		time.Sleep(time.Second)
		Expect(c.refusedBy(identity)).To(Equal(4))
	})
}
