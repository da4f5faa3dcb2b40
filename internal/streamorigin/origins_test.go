package streamorigin

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/standin/peers"
)

// testNode is a node with a view of its own.
type testNode struct {
	address string
	view    *fleet.View
	origins *Origins
	stop    context.CancelFunc
	// lateSince is since when the node gets no records; nil if it does.
	lateSince atomic.Pointer[time.Time]
	// log are the node's lines, and basis is that of its last finding.
	log   lockedBuffer
	basis atomic.Pointer[Basis]
	// era of the store that the node read last, if any.
	era      int64
	eraKnown bool
}

// testRecordsAge is the age up to which the records of a testNode are current.
const testRecordsAge = time.Second

// setLate makes the node get no records any more, or ends that.
func (n *testNode) setLate(late bool) {
	if !late {
		n.lateSince.Store(nil)
		return
	}
	now := time.Now()
	n.lateSince.Store(&now)
}

func (n *testNode) isLate() bool { return n.lateSince.Load() != nil }

// recordsAge is the age of the records that the node has.
func (n *testNode) recordsAge() (time.Duration, bool) {
	if since := n.lateSince.Load(); since != nil {
		return time.Since(*since), true
	}
	return 0, true
}

// deployment is nodes that all keep origins for each other.
type deployment struct {
	network *peers.Network
	nodes   map[string]*testNode
	// counters are the nodes that keep origins; nil: all.
	counters atomic.Pointer[[]string]
	// store is nil if versions are not saved.
	store *fakeStore
	ctx   context.Context
}

// counterNodes returns the nodes that keep origins.
func (d *deployment) counterNodes() []string {
	if counters := d.counters.Load(); counters != nil {
		return *counters
	}
	return d.network.Addresses()
}

// start adds a node, or starts one again without its memory.
func (d *deployment) start(address string) *testNode {
	if before := d.nodes[address]; before != nil {
		before.stop()
	}
	node := &testNode{address: address, view: fleet.NewView()}
	config := Config{
		View: node.view, Transport: d.network.Add(address), Address: address, Nodes: d.counterNodes,
		RecordsAge: node.recordsAge, MaxRecordsAge: testRecordsAge, Logger: zerolog.New(&node.log),
		OnFind: func(_ Finding, basis Basis) { node.basis.Store(&basis) },
	}
	if d.store != nil {
		config.Store, config.VersionsKey, config.OriginsPrefix, config.Era = d.store, versionsKey, originsPrefix, d.store.era
	}
	node.origins = New(config)
	if d.store != nil {
		d.store.join(node)
	}
	node.run(d.ctx)
	d.nodes[address] = node
	return node
}

// run runs the node until ctx ends or it is stopped.
func (n *testNode) run(ctx context.Context) {
	ctx, n.stop = context.WithCancel(ctx)
	go n.origins.Run(ctx)
}

// serve makes servers with the versions known to a node.
func (n *testNode) serve(versions ...string) {
	servers := map[string]*fleet.Server{}
	for _, version := range versions {
		servers["s-"+version] = &fleet.Server{ID: "s-" + version, Pool: "p", SoftwareVersion: version}
	}
	n.view.ReplaceServers(servers)
}

// serve makes servers with the versions known to the nodes that get records.
func (d *deployment) serve(versions ...string) {
	for _, node := range d.nodes {
		if !node.isLate() {
			node.serve(versions...)
		}
	}
}

// killAll kills all nodes at once and starts them again after a second, when servers of the versions serve.
func (d *deployment) killAll(versions ...string) {
	for _, node := range d.nodes {
		node.stop()
		d.network.Remove(node.address)
		if d.store != nil {
			d.store.leave(node)
		}
	}
	time.Sleep(time.Second)
	for address := range d.nodes {
		d.start(address).serve(versions...)
	}
}

// inDeployment runs the body in virtual time with nodes a, b, … and servers of the versions.
func inDeployment(t *testing.T, count int, versions []string, body func(d *deployment)) {
	inDeploymentWithStore(t, nil, count, versions, body)
}

// inDeploymentWithStore is inDeployment with a store that keeps the versions.
func inDeploymentWithStore(t *testing.T, store *fakeStore, count int, versions []string, body func(d *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		ctx, cancel := context.WithCancel(context.Background())
		d := &deployment{network: peers.NewNetwork(), nodes: map[string]*testNode{}, store: store, ctx: ctx}
		for number := range count {
			d.start(string(rune('a' + number))).serve(versions...)
		}
		time.Sleep(time.Second)
		body(d)
		cancel()
		synctest.Wait()
	})
}

// A stream that was resumed at another node went on at servers of any software version.
func TestEachNodeKnowsWhereAStreamBegan(t *testing.T) {
	origin := Origin{Pool: "p", SoftwareVersion: "v1"}
	cases := map[string]func(d *deployment){
		"nothing fails":            func(*deployment) {},
		"the node starts again":    func(d *deployment) { d.start("a").serve("v1", "v2") },
		"the node is gone":         func(d *deployment) { d.network.Remove("a") },
		"the node is cut off":      func(d *deployment) { d.network.SetCut("a", true) },
		"nodes see other versions": func(d *deployment) { d.nodes["b"].serve("v2") },
	}
	for name, failure := range cases {
		t.Run(name, func(t *testing.T) {
			inDeployment(t, 5, []string{"v1", "v2"}, func(d *deployment) {
				d.nodes["a"].origins.Begin("r1", origin, false)
				time.Sleep(2 * sendPeriod)
				failure(d)
				for _, address := range []string{"b", "c", "d", "e"} {
					found, finding := d.nodes[address].origins.Find(context.Background(), "r1", "p", false)
					Expect(finding).To(Equal(Known), address)
					Expect(found).To(Equal(origin), address)
				}
			})
		})
	}
}

// A stream that began before the second version appeared was not known to other nodes.
func TestStreamsThatBeganBeforeAChangeOfVersionAreKnown(t *testing.T) {
	inDeployment(t, 4, []string{"v1"}, func(d *deployment) {
		d.nodes["a"].origins.Begin("r1", Origin{Pool: "p", SoftwareVersion: "v1"}, false)
		time.Sleep(5 * time.Second)
		for _, node := range d.nodes {
			node.serve("v2")
		}
		time.Sleep(time.Second)
		d.network.Remove("a")
		found, finding := d.nodes["b"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(Known))
		Expect(found.SoftwareVersion).To(Equal("v1"))
	})
}

// A stream that no node knows was resumed at any version, also by a node that had just started and saw
// only one.
func TestUnknownStreamIsNotResumedWhereVersionsAreMixed(t *testing.T) {
	inDeployment(t, 3, []string{"v1", "v2"}, func(d *deployment) {
		_, finding := d.nodes["a"].origins.Find(context.Background(), "never", "p", false)
		Expect(finding).To(Equal(Unknown))
		d.start("a").serve("v2")
		_, finding = d.nodes["a"].origins.Find(context.Background(), "never", "p", false)
		Expect(finding).To(Equal(Unknown))
	})
}

// Guards against a stream that is continued at another version by a node which was cut off, stood still or
// gets its records late while servers of this version joined: it took the pool for one of one version.
func TestNodeOutOfStepDoesNotGuessTheVersion(t *testing.T) {
	cases := map[string]struct{ cutOff, back bool }{
		"cut off":                     {cutOff: true},
		"back and not caught up":      {cutOff: true, back: true},
		"reachable with late records": {},
	}
	for name, c := range cases {
		for _, version := range []string{"v1", "v2"} {
			t.Run(name+", began at "+version, func(t *testing.T) {
				inDeployment(t, 5, []string{"v1"}, func(d *deployment) {
					time.Sleep(2 * retention)
					d.network.SetCut("e", c.cutOff)
					d.nodes["e"].setLate(true)
					time.Sleep(3 * time.Second)
					d.serve("v1", "v2")
					time.Sleep(time.Second)
					d.nodes["a"].origins.Begin("r1", Origin{Pool: "p", SoftwareVersion: version}, false)
					time.Sleep(2 * sendPeriod)
					if c.back {
						d.network.SetCut("e", false)
					}
					found, finding := d.nodes["e"].origins.Find(context.Background(), "r1", "p", false)
					if c.cutOff && !c.back {
						Expect(finding).To(Equal(Unknown))
						return
					}
					Expect(finding).To(Equal(Known))
					Expect(found.SoftwareVersion).To(Equal(version))
				})
			})
		}
	}
}

// Guards against evidence of a node whose records were late, or which stood still, within the retention: a
// version that came and went meanwhile is not known to it.
func TestGapInTheRecordsIsNoEvidence(t *testing.T) {
	inDeployment(t, 1, []string{"v1"}, func(d *deployment) {
		time.Sleep(2 * retention)
		node := d.nodes["a"]
		node.setLate(true)
		time.Sleep(2 * testRecordsAge)
		node.setLate(false)
		time.Sleep(time.Second)
		_, finding := node.origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(Unknown))
		time.Sleep(retention)
		_, finding = node.origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(SoleVersion))
	})
}

// Guards against a process that was suspended and takes its view for one without a gap.
func TestSuspensionIsAGapInTheView(t *testing.T) {
	RegisterTestingT(t)
	var seen versions
	view, now := fleet.NewView(), time.Now()
	for range 4 * retention / time.Second {
		now = now.Add(time.Second)
		seen.observe(view.Load(), &saved{}, true, now)
	}
	Expect(seen.load().covers(now)).To(BeTrue())
	now = now.Add(maxObserveGap + observePeriod)
	Expect(seen.load().covers(now)).To(BeFalse(), "nothing has been observed since the suspension")
	seen.observe(view.Load(), &saved{}, true, now)
	Expect(seen.load().covers(now)).To(BeFalse())
}

// Guards against a stream that goes to a version that joins just then: the pool had one before, which is
// the stream's.
func TestUnknownStreamIsBoundToTheOnlyVersion(t *testing.T) {
	inDeployment(t, 3, []string{"v1"}, func(d *deployment) {
		time.Sleep(2 * retention)
		found, finding := d.nodes["a"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(SoleVersion))
		Expect(found).To(Equal(Origin{Pool: "p", SoftwareVersion: "v1"}))
		d.start("b").serve("v1")
		time.Sleep(time.Second)
		found, finding = d.nodes["b"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(SoleVersion))
		Expect(found).To(Equal(Origin{Pool: "p", SoftwareVersion: "v1"}))
	})
}

// Guards against a silence, or the word of a build that sends no evidence, that counts as knowledge.
func TestSilenceOfOtherNodesIsNoEvidence(t *testing.T) {
	inDeployment(t, 2, []string{"v1"}, func(d *deployment) {
		time.Sleep(2 * retention)
		d.start("b").serve("v1")
		time.Sleep(time.Second)
		d.network.SetCut("a", true)
		_, finding := d.nodes["b"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(Unknown))
		d.network.Add("a").Handle(Lookup{}, func(_ string, _ peer.Message, reply func(peer.Message, error)) { reply(LookupReply{}, nil) })
		_, finding = d.nodes["b"].origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(Unknown))
	})
}

// No origin is sent in a pool of one version, a search there costs one message to each other node and one
// round trip, and a change is over after the retention.
func TestUnknownStreamIsResumedWhereOneVersionServes(t *testing.T) {
	inDeployment(t, 3, []string{"v1"}, func(d *deployment) {
		time.Sleep(retention)
		began := time.Now()
		found := d.nodes["a"].origins.search(context.Background(), keyOf("never"), "p", false)
		Expect(found.finding).To(Equal(SoleVersion))
		Expect(time.Since(began)).To(BeNumerically("<=", 2*time.Millisecond), "one round trip")
		Expect(found.asked).To(Equal(2))
		d.nodes["a"].origins.Begin("r1", Origin{Pool: "p", SoftwareVersion: "v1"}, false)
		time.Sleep(2 * sendPeriod)
		for _, other := range []string{"b", "c"} {
			_, sent := d.nodes[other].origins.table.get(keyOf("r1"))
			Expect(sent).To(BeFalse())
		}
		for _, node := range d.nodes {
			node.serve("v2")
		}
		time.Sleep(time.Second)
		_, finding := d.nodes["a"].origins.Find(context.Background(), "never", "p", false)
		Expect(finding).To(Equal(Unknown))
		time.Sleep(retention + time.Second)
		_, finding = d.nodes["a"].origins.Find(context.Background(), "never", "p", false)
		Expect(finding).To(Equal(SoleVersion))
	})
}

// The wait for nodes that do not answer is limited.
func TestSearchForAnOriginIsLimited(t *testing.T) {
	inDeployment(t, 3, []string{"v1", "v2"}, func(d *deployment) {
		d.network.SetCut("b", true)
		d.network.SetCut("c", true)
		began := time.Now()
		_, finding := d.nodes["a"].origins.Find(context.Background(), "never", "p", false)
		Expect(finding).To(Equal(Unknown))
		Expect(time.Since(began)).To(BeNumerically("<=", askTimeout))
	})
}

// No node names a wrong origin, whatever restarts, cuts and changes of version come between.
func TestOriginsAreNeverConfused(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			RegisterTestingT(t)
			ctx, cancel := context.WithCancel(context.Background())
			d := &deployment{network: peers.NewNetwork(), nodes: map[string]*testNode{}, ctx: ctx}
			addresses := []string{"a", "b", "c", "d"}
			for _, address := range addresses {
				d.start(address).serve("v1")
			}
			time.Sleep(time.Second)
			began := map[string]string{}
			current := "v1"
			for step := range rapid.IntRange(5, 40).Draw(r, "steps") {
				address := rapid.SampledFrom(addresses).Draw(r, "node")
				switch rapid.IntRange(0, 5).Draw(r, "what") {
				case 0, 1:
					request := fmt.Sprint("r", step)
					d.nodes[address].origins.Begin(request, Origin{Pool: "p", SoftwareVersion: current}, false)
					began[request] = current
				case 2:
					d.start(address).serve(current)
				case 3:
					d.network.SetCut(address, !d.network.IsCut(address))
				case 4:
					current = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(r, "version")
					for _, node := range d.nodes {
						node.serve("v1", current)
					}
				case 5:
					time.Sleep(time.Duration(rapid.IntRange(1, 90_000).Draw(r, "pause")) * time.Millisecond)
				}
				for request, version := range began {
					found, finding := d.nodes[address].origins.Find(ctx, request, "p", false)
					if finding == Known {
						Expect(found.SoftwareVersion).To(Equal(version))
					}
				}
			}
			cancel()
			synctest.Wait()
		})
	})
}

// Memory stays bounded, however many streams begin.
func TestTableIsBounded(t *testing.T) {
	RegisterTestingT(t)
	var kept table
	now := time.Now()
	for number := range 3 * maxKept {
		kept.put(keyOf(fmt.Sprint(number)), Origin{Pool: "p"}, now)
	}
	Expect(len(kept.current) + len(kept.previous)).To(BeNumerically("<=", 2*maxKept))
	_, known := kept.get(keyOf(fmt.Sprint(3*maxKept - 1)))
	Expect(known).To(BeTrue())
}

// Guards against a stream of a route to several pools whose origin only the node that began it knows: each
// pool has one version, and another node resumed it in any of them.
func TestOriginsOfARouteToSeveralPoolsAreSharedAndAskedFor(t *testing.T) {
	origin := Origin{Pool: "p", SoftwareVersion: "v1"}
	inDeployment(t, 4, []string{"v1"}, func(d *deployment) {
		time.Sleep(2 * retention)
		d.nodes["a"].origins.Begin("r1", origin, true)
		time.Sleep(2 * sendPeriod)
		d.network.Remove("a")
		for _, address := range []string{"b", "c", "d"} {
			found, finding := d.nodes[address].origins.Find(context.Background(), "r1", "q", true)
			Expect(finding).To(Equal(Known), address)
			Expect(found).To(Equal(origin), address)
		}
	})
}

// Guards against an origin that is dropped before its retention ends, as a new generation begins.
func TestOriginIsKeptForItsRetention(t *testing.T) {
	RegisterTestingT(t)
	var kept table
	now, origin := time.Now(), Origin{Pool: "p"}
	kept.put(keyOf("first"), origin, now)
	kept.put(keyOf("r"), origin, now.Add(retention-time.Millisecond))
	kept.put(keyOf("next generation"), origin, now.Add(retention))
	found, known := kept.get(keyOf("r"))
	Expect(known).To(BeTrue())
	Expect(found).To(Equal(origin))
}
