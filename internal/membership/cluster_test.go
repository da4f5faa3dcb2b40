package membership_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Membership")
}

// cluster is a set of simulated nodes that share one key-value service.
type cluster struct {
	loop    *simulation.Loop
	network *simulation.Network
	server  *simulation.Process
	store   *keyvalue.Store
	peers   *simulation.PeerNetwork
	cells   []string
	nodes   map[string]*node
	// heartbeat selects the HeartbeatDetector for the nodes instead of the
	// LeaseDetector.
	heartbeat bool
	// zoneOf returns a node's zone by its name.
	zoneOf func(name string) string
}

// node is one incarnation of a node. It is the CellRunner of its OwnershipManager
// and records the calls.
type node struct {
	process  *simulation.Process
	registry *membership.Registry
	owners   *membership.OwnershipManager
	meter    *membership.Meter
	owned    map[string]uint64
	// releaseDelay is how long the runner takes to release a cell.
	releaseDelay time.Duration
	// violations lists calls that break the contract of CellRunner.
	violations []string
}

func newCluster(seed uint64, cells int) *cluster {
	loop := simulation.NewLoop(seed)
	network := simulation.NewNetwork(loop)
	c := &cluster{
		loop: loop, network: network, peers: simulation.NewPeerNetwork(network), nodes: map[string]*node{},
		zoneOf: func(string) string { return "zone" },
	}
	c.server = simulation.NewProcess(loop, "kv")
	c.store = keyvalue.NewStore(keyvalue.Options{
		Clock: c.server, Random: loop.Fork(), RecordPrefixes: []string{membership.CellPrefix, membership.HeartbeatPrefix},
	})
	for i := range cells {
		c.cells = append(c.cells, fmt.Sprintf("cell-%d", i))
	}
	return c
}

// start starts a new incarnation of the named node; a previous one is killed.
func (c *cluster) start(name string) *node {
	if previous := c.nodes[name]; previous != nil {
		previous.process.Kill()
	}
	n := &node{process: simulation.NewProcess(c.loop, name), owned: map[string]uint64{}, releaseDelay: 200 * time.Millisecond}
	c.nodes[name] = n
	n.meter = membership.NewMeter(keyvalue.NewSimulated(c.network, c.server, n.process, c.store))
	self := membership.Member{
		Name: name, Incarnation: fmt.Sprintf("%d", c.loop.Executed()), Zone: c.zoneOf(name), PeerAddress: name,
	}
	n.registry = membership.NewRegistry(self, c.detector(n))
	n.owners = membership.NewOwnershipManager(self, c.cells, n.meter, n.process, c.loop.Fork(), n, membership.DefaultOwnershipOptions(), zerolog.Nop())
	n.registry.Subscribe(n.owners.SetMembers)
	n.registry.Start()
	n.owners.Start()
	return n
}

func (c *cluster) detector(n *node) membership.Detector {
	if c.heartbeat {
		options := membership.DefaultHeartbeatOptions(time.Second)
		return membership.NewHeartbeatDetector(n.meter, c.peers.Transport(n.process), n.process, c.loop.Fork(), options, zerolog.Nop())
	}
	return membership.NewLeaseDetector(n.meter, n.process, c.loop.Fork(), membership.DefaultLeaseOptions(), zerolog.Nop())
}

func (n *node) Acquired(cell string, epoch uint64) {
	if held, owned := n.owned[cell]; owned {
		n.violations = append(n.violations, fmt.Sprintf("acquired %s at %d while held at %d", cell, epoch, held))
	}
	n.owned[cell] = epoch
}

func (n *node) Lost(cell string) {
	if _, owned := n.owned[cell]; !owned {
		n.violations = append(n.violations, "lost unowned "+cell)
	}
	delete(n.owned, cell)
}

func (n *node) Release(cell string, released func()) {
	if _, owned := n.owned[cell]; !owned {
		n.violations = append(n.violations, "asked to release unowned "+cell)
	}
	n.process.AfterFunc(n.releaseDelay, released)
}

// ownersOf lists the live nodes whose runner has acquired the cell.
func (c *cluster) ownersOf(cell string) []string {
	var names []string
	for name, n := range c.nodes {
		if _, owned := n.owned[cell]; owned && !n.process.Killed() {
			names = append(names, name)
		}
	}
	return names
}

// expectOneOwnerPerCell checks that each cell has one owner, and that all live nodes
// report it.
func (c *cluster) expectOneOwnerPerCell() {
	GinkgoHelper()
	for _, cell := range c.cells {
		names := c.ownersOf(cell)
		Expect(names).To(HaveLen(1), cell)
		owner := c.nodes[names[0]]
		for name, n := range c.nodes {
			if n.process.Killed() {
				continue
			}
			known, found := n.owners.OwnerOf(cell)
			Expect(found).To(BeTrue())
			Expect(known.Member.Name).To(Equal(names[0]), "owner of %s at %s", cell, name)
			Expect(known.Epoch).To(Equal(owner.owned[cell]))
			Expect(known.Vacant).To(BeFalse())
		}
	}
	c.expectNoViolations()
}

func (c *cluster) expectNoViolations() {
	GinkgoHelper()
	for name, n := range c.nodes {
		Expect(n.violations).To(BeEmpty(), name)
	}
}

// expectMembers checks the member names at every live node.
func (c *cluster) expectMembers(names ...string) {
	GinkgoHelper()
	for _, n := range c.nodes {
		if !n.process.Killed() {
			Expect(n.memberNames()).To(Equal(names), n.process.Name)
		}
	}
}

func (n *node) memberNames() []string {
	var names []string
	for _, member := range n.registry.Members() {
		names = append(names, member.Name)
	}
	return names
}
