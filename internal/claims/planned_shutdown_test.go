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

var _ = Describe("a planned shutdown", func() {
	// A node that shut down between the commit of a configuration and its reply was the shard's only
	// acceptor: the votes were lost and the shard's keys refused for the whole quarantine.
	It("waits while a configuration that names the node may be committed", func() {
		cluster := newTestCluster(9, 0)
		node := cluster.start("node-0", "zone-0", 1)
		for !cluster.storedConfigurationHas(0, node.member) {
			cluster.loop.RunFor(100 * time.Microsecond)
		}
		_, cached := node.set.configurations.get(0)
		Expect(cached).To(BeFalse(), "the reply of the commit has arrived already")
		Expect(node.set.IsAcceptor()).To(BeTrue())
	})

	// The same failure where the node's acceptor was activated by the vote request of a peer that had
	// read the commit.
	It("waits while it votes in a configuration that it has not read", func() {
		cluster := newTestCluster(12, 1)
		node := cluster.nodes["node-0"]
		current, _ := node.set.configurations.get(0)
		committed := ConfigurationID{Shard: 0, Epoch: current.Epoch + 1, Token: "committed"}
		Expect(cluster.install(node, InstallRequest{Configuration: committed, Last: true})).To(Equal(Acknowledgement{OK: true}))
		node.set.acceptors[0].vote(VoteRequest{Configuration: committed, Key: Key{Value: "seat-1"}, Attempt: "a/1"}, node.process.Now())
		Expect(node.set.acceptorAhead(0)).To(BeTrue())
	})

	// A proposal must not be installed at a node that has already checked that it holds no votes and
	// is about to leave.
	It("accepts no further configuration", func() {
		cluster := newTestCluster(10, 1)
		node := cluster.nodes["node-0"]
		node.member.Draining = true
		current, _ := node.set.configurations.get(0)
		install := InstallRequest{Configuration: ConfigurationID{Shard: 0, Epoch: current.Epoch + 1, Token: "late"}, Last: true}
		Expect(cluster.install(node, install)).To(Equal(Acknowledgement{OK: false}))
	})

	It("does not wait for an abandoned proposal", func() {
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

	// A rolling restart must neither run a key twice nor lose a shard's votes.
	It("loses no votes and runs no key twice under random faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { newRollingRestart(t).run(t) })
	})
})

// storedConfigurationHas reports whether the member is an acceptor in the shard's stored configuration.
func (c *testCluster) storedConfigurationHas(shard int, member membership.Member) bool {
	record := c.store.Range(configurationKey(shard))
	if len(record.KeyValues) == 0 {
		return false
	}
	configuration, err := decodeConfiguration(record.KeyValues[0].Value)
	return err == nil && configuration.has(member.ID())
}

// install sends a proposal to a node and returns its reply.
func (c *testCluster) install(node *testNode, request InstallRequest) any {
	var answer any
	proposer := c.peers.Transport(simulation.NewProcess(c.loop, "proposer"))
	proposer.Call(node.member.PeerAddress, request, time.Second, func(message peer.Message, _ error) { answer = message })
	c.loop.RunFor(time.Second)
	return answer
}

// rollingRestart starts nodes and shuts them down in order, repeatedly, while the store and the network
// fail. Nodes observe changes of the members with a delay.
type rollingRestart struct {
	*testCluster
	random     *rand.Rand
	started    int
	claimCount int
	// memberVersion is the number of member lists published.
	memberVersion int
	// maxLag bounds the delay of a node's view of the members.
	maxLag time.Duration
	// handoverTimedOut: a node left after maxHandover with votes, as a process does that cannot hand
	// over.
	handoverTimedOut bool
}

const (
	// maxHandover is how long a node that shuts down waits for its handover.
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

// run performs random steps, ends all faults and checks that no key ran twice. Unless a node left with
// votes, it also checks that no shard has lost its votes.
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

// stabilise ends all faults, waits until all shutdowns have finished and starts one more node.
func (r *rollingRestart) stabilise() {
	r.network.ConditionsOf = func(string, string) simulation.Conditions {
		return simulation.Conditions{Delay: simulation.DefaultDelay}
	}
	r.store.SetFaults(keyvalue.Faults{})
	r.loop.RunFor(maxHandover + 30*time.Second)
	r.startNext()
	r.loop.RunFor(time.Minute)
}

// checkNewKeysGranted claims 12 new keys, spread over the shards, at the newest node.
func (r *rollingRestart) checkNewKeysGranted(t *rapid.T) {
	newest := r.members[len(r.members)-1].Name
	for value := range 12 {
		fresh := Key{Tenant: "fresh", Value: fmt.Sprint(value)}
		if verdict := r.claimAndWait(newest, fresh, fmt.Sprint("fresh-", value)).Verdict; verdict != Granted {
			t.Fatalf("key %v is refused: verdict %d", fresh, verdict)
		}
	}
}

// step shuts down or starts nodes, or starts or ends a fault, then claims a key.
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

// startNext starts a node unless there are four.
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

// stop drains a node, then kills it once it is no acceptor any more or maxHandover has passed, as a
// planned shutdown of a process does.
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

// publishMembers sends the members to all nodes, each with its own random delay. A node ignores a list
// older than its latest one.
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

// claimRandom claims a random key at up to two nodes. One in five granted claims is released instead of
// being run and recorded.
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
