package claims

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

var _ = Describe("a planned stop", func() {
	// Guards against a shard whose only acceptor has left: its keys were refused for the
	// whole quarantine.
	It("waits while a configuration that names the node may be committed", func() {
		cluster := newTestCluster(9, 0)
		node := cluster.start("node-0", "zone-0", 1)
		for !cluster.storedConfigurationHas(0, node.member) {
			cluster.loop.RunFor(100 * time.Microsecond)
		}
		_, known := node.set.configurations.get(0)
		Expect(known).To(BeFalse(), "the reply of the commit has arrived already")
		Expect(node.set.IsAcceptor()).To(BeTrue())
	})

	// The same where a peer, which knows of the commit, has asked for a vote.
	It("waits while it votes in a configuration that it has not read", func() {
		cluster := newTestCluster(12, 1)
		node := cluster.nodes["node-0"]
		current, _ := node.set.configurations.get(0)
		committed := ConfigurationID{Shard: 0, Epoch: current.Epoch + 1, Token: "committed"}
		Expect(cluster.install(node, InstallRequest{Configuration: committed, Last: true})).To(Equal(Acknowledgement{OK: true}))
		node.set.acceptors[0].vote(VoteRequest{Configuration: committed, Key: Key{Value: "seat-1"}, Attempt: "a/1"}, node.process.Now())
		Expect(node.set.acceptorAhead(0)).To(BeTrue())
	})

	// Guards against a proposal that is installed at a node which has checked already that
	// it holds nothing.
	It("takes no further configuration", func() {
		cluster := newTestCluster(10, 1)
		node := cluster.nodes["node-0"]
		node.member.Draining = true
		current, _ := node.set.configurations.get(0)
		install := InstallRequest{Configuration: ConfigurationID{Shard: 0, Epoch: current.Epoch + 1, Token: "late"}, Last: true}
		Expect(cluster.install(node, install)).To(Equal(Acknowledgement{OK: false}))
	})

	It("does not wait for a proposal that was given up", func() {
		cluster := newTestCluster(11, 2)
		node := cluster.nodes["node-0"]
		current, _ := node.set.configurations.get(0)
		abandoned := InstallRequest{Configuration: ConfigurationID{Shard: 0, Epoch: current.Epoch + 1, Token: "given-up"}, Last: true}
		Expect(cluster.install(node, abandoned)).To(Equal(Acknowledgement{OK: true}))
		node.member.Draining = true
		cluster.members = []membership.Member{node.member, cluster.nodes["node-1"].member}
		cluster.loop.RunFor(2 * proposalTimeout)
		Expect(node.set.IsAcceptor()).To(BeFalse())
	})

	// Guards against both failures that a rolling restart could bring: a key that runs twice,
	// and a shard that has lost its votes.
	It("loses no votes and runs no key twice, whatever else happens", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { newRollingRestart(t).run(t) })
	})
})

// storedConfigurationHas reports whether the store's record of the shard names the member.
func (c *testCluster) storedConfigurationHas(shard int, member membership.Member) bool {
	record := c.store.Range(configurationKey(shard))
	if len(record.KeyValues) == 0 {
		return false
	}
	configuration, err := decodeConfiguration(record.KeyValues[0].Value)
	return err == nil && configuration.has(member.ID())
}

// install hands a proposal to a node and returns its answer.
func (c *testCluster) install(node *testNode, request InstallRequest) any {
	var answer any
	proposer := c.peers.Transport(simulation.NewProcess(c.loop, "proposer"))
	proposer.Call(node.member.PeerAddress, request, time.Second, func(message peer.Message, _ error) { answer = message })
	c.loop.RunFor(time.Second)
	return answer
}

// rollingRestart starts and stops nodes in order, over and over, while the store and the
// network fail. Nodes learn of each other's state with a delay.
type rollingRestart struct {
	*testCluster
	random     *rand.Rand
	started    int
	claimCount int
	// memberVersion counts the changes of the members.
	memberVersion int
	// maxLag is how late a node's view of the members may be.
	maxLag time.Duration
	// handoverTimedOut: a node left after longestHandover, as a process does that can't hand over.
	handoverTimedOut bool
}

const (
	// maxHandover is how long a stopping node waits at most.
	maxHandover          = 2 * time.Minute
	handoverPollInterval = 200 * time.Millisecond
)

func newRollingRestart(t *rapid.T) *rollingRestart {
	cluster := newTestCluster(rapid.Uint64().Draw(t, "seed"), 0)
	return &rollingRestart{
		testCluster: cluster, random: cluster.loop.Fork(),
		maxLag: rapid.SampledFrom([]time.Duration{time.Millisecond, 3 * time.Second, 10 * time.Second}).Draw(t, "lag"),
	}
}

func (r *rollingRestart) run(t *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(t, "nodes") {
		r.startNext()
	}
	r.loop.RunFor(8 * time.Second)
	for range rapid.IntRange(10, 40).Draw(t, "steps") {
		r.step()
	}
	r.stabilise()
	for key, runs := range r.runs {
		if runs > 1 {
			t.Fatalf("key %v ran %d times", key, runs)
		}
	}
	if !r.handoverTimedOut {
		r.checkNewKeysGranted(t)
	}
}

// stabilise ends all faults, lets the stops end and starts one more node.
func (r *rollingRestart) stabilise() {
	r.network.ConditionsOf = func(string, string) simulation.Conditions {
		return simulation.Conditions{Delay: simulation.DefaultDelay}
	}
	r.store.SetFaults(keyvalue.Faults{})
	r.loop.RunFor(maxHandover + 30*time.Second)
	r.startNext()
	r.loop.RunFor(time.Minute)
}

// checkNewKeysGranted claims fresh keys of all shards at the newest node.
func (r *rollingRestart) checkNewKeysGranted(t *rapid.T) {
	newest := r.members[len(r.members)-1].Name
	for value := range 12 {
		fresh := Key{Tenant: "fresh", Value: fmt.Sprint(value)}
		if verdict := r.claimAndWait(newest, fresh, fmt.Sprint("fresh-", value)).Verdict; verdict != Granted {
			t.Fatalf("key %v is refused: verdict %d", fresh, verdict)
		}
	}
}

func (r *rollingRestart) step() {
	switch r.random.IntN(12) {
	case 0, 1:
		r.stopRandom()
	case 2:
		for _, name := range r.liveNames() {
			r.stop(r.nodes[name])
		}
	case 3, 4:
		r.startNext()
	case 5:
		r.store.SetFaults(keyvalue.Faults{Outage: true})
	case 6:
		r.store.SetFaults(keyvalue.Faults{
			LostReplies: r.random.Float64() / 2, Delay: time.Duration(r.random.IntN(1500)) * time.Millisecond,
		})
	case 7:
		r.store.SetFaults(keyvalue.Faults{})
	case 8:
		conditions := simulation.Conditions{
			Delay: time.Millisecond, Jitter: time.Duration(1+r.random.IntN(200)) * time.Millisecond,
			Loss: r.random.Float64() / 5, Late: r.random.Float64() / 2, LateDelay: time.Duration(r.random.IntN(2000)) * time.Millisecond,
		}
		r.network.ConditionsOf = func(string, string) simulation.Conditions { return conditions }
	}
	r.claimRandom()
	r.loop.RunFor(time.Duration(r.random.IntN(4000)) * time.Millisecond)
}

func (r *rollingRestart) startNext() {
	if len(r.nodes) >= 4 {
		return
	}
	r.started++
	node := r.start(fmt.Sprintf("rolling-%d", r.started), fmt.Sprintf("zone-%d", r.started%3), 1)
	node.view = []membership.Member{node.member}
	r.publishMembers()
}

func (r *rollingRestart) stopRandom() {
	names := r.liveNames()
	if len(names) > 0 {
		r.stop(r.nodes[names[r.random.IntN(len(names))]])
	}
}

// stop drains a node, as a process that is told to stop does.
func (r *rollingRestart) stop(node *testNode) {
	if node.member.Draining {
		return
	}
	node.member.Draining = true
	r.members = slices.Clone(r.members)
	index := slices.IndexFunc(r.members, func(m membership.Member) bool { return m.Name == node.member.Name })
	r.members[index].Draining = true
	r.publishMembers()
	startedAt := r.loop.Now()
	var poll func()
	poll = func() {
		waited := r.loop.Now().Sub(startedAt)
		if node.set.IsAcceptor() && waited <= maxHandover {
			node.process.AfterFunc(handoverPollInterval, poll)
			return
		}
		r.handoverTimedOut = r.handoverTimedOut || node.set.IsAcceptor()
		node.process.Kill()
		delete(r.nodes, node.member.Name)
		r.removeMember(node.member.Name)
		r.publishMembers()
	}
	node.process.AfterFunc(handoverPollInterval, poll)
}

// publishMembers tells all nodes the members, each after a delay of its own. A node never goes
// back to an older state.
func (r *rollingRestart) publishMembers() {
	members := r.members
	r.memberVersion++
	version := r.memberVersion
	for _, name := range r.liveNames() {
		node := r.nodes[name]
		lag := time.Duration(r.random.Int64N(int64(r.maxLag)))
		node.process.AfterFunc(lag, func() {
			if version > node.viewVersion {
				node.viewVersion = version
				node.view = members
			}
		})
	}
}

// claimRandom claims a key at up to two nodes; one in five of those that are granted it
// releases it instead of running.
func (r *rollingRestart) claimRandom() {
	key := Key{Tenant: "alpha", Value: fmt.Sprint(r.random.IntN(5))}
	for range r.random.IntN(3) {
		names := r.liveNames()
		if len(names) == 0 {
			return
		}
		node := r.nodes[names[r.random.IntN(len(names))]]
		r.claimCount++
		attempt := outside.AttemptID(fmt.Sprintf("%s-%d", node.member.Name, r.claimCount))
		node.set.Claim(key, attempt, 7, node.process.Now().Add(4*time.Second), func(result Result) {
			switch {
			case result.Verdict != Granted:
			case r.random.IntN(5) == 0:
				node.set.Release(key, attempt)
			default:
				r.runs[key]++
				node.set.Record(key, attempt, Outcome{Status: 200})
			}
		})
	}
}
