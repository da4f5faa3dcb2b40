package claims

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

func TestClaims(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

// testCluster is a simulated cluster: the ClaimSets of its nodes and one simulated key-value service.
type testCluster struct {
	loop    *simulation.Loop
	network *simulation.Network
	peers   *simulation.PeerNetwork
	store   *keyvalue.Store
	server  *simulation.Process
	members []membership.Member
	nodes   map[string]*testNode
	// runs counts granted attempts by key.
	runs map[Key]int
}

type testNode struct {
	process *simulation.Process
	set     *ClaimSet
	member  membership.Member
	cluster *testCluster
	// view is the latest member list that the node has received, and viewVersion its version; nil:
	// the node sees the cluster's members without a delay.
	view        []membership.Member
	viewVersion int
}

func (n *testNode) Self() membership.Member { return n.member }

func (n *testNode) Members() []membership.Member {
	if n.view != nil {
		return n.view
	}
	return n.cluster.members
}

func newTestCluster(seed uint64, nodes int) *testCluster {
	loop := simulation.NewLoop(seed)
	network := simulation.NewNetwork(loop)
	cluster := &testCluster{
		loop: loop, network: network, peers: simulation.NewPeerNetwork(network),
		server: simulation.NewProcess(loop, "kv"), nodes: map[string]*testNode{}, runs: map[Key]int{},
	}
	cluster.store = keyvalue.NewStore(keyvalue.Options{Clock: cluster.server, Random: loop.Fork()})
	for i := range nodes {
		cluster.start(fmt.Sprintf("node-%d", i), fmt.Sprintf("zone-%d", i%3), 1)
	}
	loop.RunFor(30 * time.Second)
	return cluster
}

func (c *testCluster) start(name, zone string, incarnation int) *testNode {
	process := simulation.NewProcess(c.loop, name)
	member := membership.Member{Name: name, Incarnation: fmt.Sprint(incarnation), Zone: zone, PeerAddress: name}
	node := &testNode{process: process, member: member, cluster: c}
	node.set = New(Config{
		Clock: process, Random: rand.New(rand.NewPCG(c.loop.Random().Uint64(), 1)),
		KeyValues: keyvalue.NewSimulated(c.network, c.server, process, c.store),
		Transport: c.peers.Transport(process), Members: node, Logger: zerolog.Nop(),
		Shards: 4, Retention: time.Hour,
	})
	c.nodes[name] = node
	c.members = append(c.members, member)
	node.set.Start()
	return node
}

// kill crashes a node; it is removed from the members after 5 s, the time to detect the crash.
func (c *testCluster) kill(name string) {
	c.nodes[name].process.Kill()
	delete(c.nodes, name)
	c.loop.AfterFunc(5*time.Second, func() { c.removeMember(name) })
}

func (c *testCluster) removeMember(name string) {
	var remaining []membership.Member
	for _, member := range c.members {
		if member.Name != name {
			remaining = append(remaining, member)
		}
	}
	c.members = remaining
}

// claim starts a claim at a node and counts a run if it is granted.
func (c *testCluster) claim(node string, key Key, attempt string, limit time.Duration, done func(Result)) {
	target := c.nodes[node]
	deadline := target.process.Now().Add(limit)
	target.set.Claim(key, outside.AttemptID(attempt), 7, deadline, func(result Result) {
		if result.Verdict == Granted {
			c.runs[key]++
		}
		done(result)
	})
}

// claimAndWait starts a claim with a limit of 5 s, runs the loop for 6 s and returns the result.
func (c *testCluster) claimAndWait(node string, key Key, attempt string) Result {
	var claimed *Result
	c.claim(node, key, attempt, 5*time.Second, func(result Result) { claimed = &result })
	c.loop.RunFor(6 * time.Second)
	Expect(claimed).NotTo(BeNil(), "the claim never ended")
	return *claimed
}
