package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// drainWatch records when servers began to drain, and checks that no node sends to them later than
// Times.Changes after that.
type drainWatch struct {
	deployment *deployment
	drainedAt  map[string]time.Time
	late       []string
}

// drain makes a server drain.
func (w *drainWatch) drain(number int) {
	id := fmt.Sprint("w", number)
	w.deployment.store.put(id, true, "m")
	w.drainedAt[id] = time.Now()
}

// mayReceive reports whether a node sends a request to a server that it has chosen: as the
// forwarder does, it reads an outdated record first.
func mayReceive(node *testNode, id string) bool {
	if node.mirror.Outdated(id) {
		_ = node.mirror.ReadRecord(context.Background(), id)
	}
	server := node.view.Load().Servers[id]
	return server != nil && !server.Draining
}

// check sends from each node that the store serves to each draining server.
func (w *drainWatch) check() {
	for id, at := range w.drainedAt {
		if time.Since(at) <= testTimes.Changes {
			continue
		}
		for number, node := range w.deployment.nodes {
			if !node.source.isUnavailable() && mayReceive(node, id) {
				w.late = append(w.late, fmt.Sprintf("node %d to %s %s after it began to drain", number, id, time.Since(at)))
			}
		}
	}
}

// isUnavailable reports whether the store rejects the node.
func (s *fakeSource) isUnavailable() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.unavailable
}

// run drains a server each 200 ms and checks all nodes, for a time.
func (w *drainWatch) run(first int, period time.Duration) (next int) {
	for end := time.Now().Add(period); time.Now().Before(end); first++ {
		w.drain(first)
		time.Sleep(200 * time.Millisecond)
		w.check()
	}
	return first
}

// setStalled makes the watches of all nodes deliver no changes, or deliver them again.
func (d *deployment) setStalled(stalled bool) {
	for _, node := range d.nodes {
		node.source.setStalled(stalled)
	}
}

// Guards against requests to servers that drain for longer than a change may take: nodes without the
// records of a gap went on with the old ones, while updates without records kept them fresh.
func TestDrainingServersGetNoRequestsWhileRecordsAreMissing(t *testing.T) {
	faults := map[string]func(d *deployment, w *drainWatch, random *rand.Rand){
		"history dropped while watches stall": func(d *deployment, w *drainWatch, random *rand.Rand) {
			d.setStalled(true)
			next := w.run(0, 500*time.Millisecond+time.Duration(random.Int64N(int64(time.Second))))
			d.store.compact()
			d.setStalled(false)
			w.run(next, 4*time.Second)
		},
		"relay crashes and the history is dropped": func(d *deployment, w *drainWatch, random *rand.Rand) {
			next := w.run(0, time.Second)
			d.nodes[0].stop()
			d.network.setPartitioned(addressOf(0), true)
			d.nodes = d.nodes[1:]
			next = w.run(next, time.Duration(random.Int64N(int64(2*time.Second))))
			d.store.compact()
			next = w.run(next, time.Second+time.Duration(random.Int64N(int64(2*time.Second))))
			d.setRelay(1)
			w.run(next, 4*time.Second)
		},
		"node starts while no relay writes snapshots": func(d *deployment, w *drainWatch, random *rand.Rand) {
			d.nodes[0].source.setFault(true, false)
			next := w.run(0, testTimes.Changes+time.Duration(random.Int64N(int64(2*time.Second))))
			d.nodes = append(d.nodes, d.addNodeWith(addressOf(20), func(n *testNode) {
				n.mirror.config.Zone = "z"
				n.source.snapshotTime = 600 * time.Millisecond
			}))
			next = w.run(next, 2*time.Second)
			d.setRelay(1)
			w.run(next, 4*time.Second)
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				withLargeFleet(t, 5, func(d *deployment) {
					time.Sleep(settled)
					w := &drainWatch{deployment: d, drainedAt: map[string]time.Time{}}
					fault(d, w, rand.New(rand.NewPCG(seed, 0)))
					Expect(w.late).To(BeEmpty(), "seed %d", seed)
				})
			}
		})
	}
}

// Guards against reads of the store for each request: the records of a node that follows the relay,
// and of one that watches the store itself, are current.
func TestRecordsAreNotReadWhileTheyAreCurrent(t *testing.T) {
	withLargeFleet(t, 3, func(d *deployment) {
		time.Sleep(settled)
		for range 100 {
			for _, node := range d.nodes {
				Expect(mayReceive(node, "w1")).To(BeTrue())
			}
			time.Sleep(100 * time.Millisecond)
		}
		for _, node := range d.nodes {
			Expect(node.source.count("record")).To(BeZero())
		}
	})
}

// Guards against delays of each request at a node that the store rejects: one read fails at most, and
// the node goes on with the records that it has.
func TestNodeThatTheStoreRejectsUsesTheRecordsThatItHas(t *testing.T) {
	withLargeFleet(t, 2, func(d *deployment) {
		time.Sleep(settled)
		node := d.nodes[1]
		d.network.setPartitioned(addressOf(1), true)
		node.source.setFault(true, false)
		time.Sleep(testTimes.Contact)
		for range 100 {
			Expect(mayReceive(node, "w1")).To(BeTrue())
		}
		Expect(node.source.count("record")).To(BeNumerically("<=", 1))
	})
}

// Guards against a record read by itself that hides a later change, or that an earlier one hides
// from the nodes which are told by this one.
func TestRecordReadByItselfDoesNotChangeWhatIsPassedOn(t *testing.T) {
	withLargeFleet(t, 2, func(d *deployment) {
		time.Sleep(settled)
		node := d.nodes[1]
		Expect(node.mirror.ReadRecord(context.Background(), "w1")).To(Succeed())
		d.store.put("w1", true, "m")
		Expect(node.mirror.ReadRecord(context.Background(), "w1")).To(Succeed())
		Expect(node.view.Load().Servers["w1"].Draining).To(BeTrue())
		d.store.remove("w2")
		Expect(node.mirror.ReadRecord(context.Background(), "w2")).To(Succeed())
		Expect(node.view.Load().Servers).NotTo(HaveKey("w2"))
		time.Sleep(settled)
		d.expectEqual()
	})
}

// Guards against an answer of the store that is taken for all changes: with 500 changes in each, a
// relay was ten seconds behind the store while thousands of servers registered, and counted as
// current, so that changes of the configuration and leaving servers were known as late.
func TestAnswerThatLeavesChangesOutConfirmsNothing(t *testing.T) {
	withLargeFleet(t, 3, func(d *deployment) {
		time.Sleep(settled)
		for _, node := range d.nodes {
			node.source.maxChanges = 50
		}
		for number := range 40 * 50 {
			d.store.put(fmt.Sprint("w", number), false, "m", "o")
		}
		w := &drainWatch{deployment: d, drainedAt: map[string]time.Time{}}
		w.drain(1)
		d.store.configure(true)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			w.check()
		}
		Expect(w.late).To(BeEmpty())
		Expect(d.nodes[0].revision()).To(Equal(d.store.configuredAt))
		time.Sleep(settled)
		d.expectEqual()
	})
}

// Guards against a node that uses old records until they are too old although it knows that it lacks
// changes.
func TestRecordsWithKnownGapsAreOutdatedAtOnce(t *testing.T) {
	withLargeFleet(t, 2, func(d *deployment) {
		time.Sleep(settled)
		m := d.nodes[1].mirror
		Expect(m.Outdated("w1")).To(BeFalse())
		m.mutex.Lock()
		m.applySkipped(Update{At: m.revision + 1}, time.Now())
		m.mutex.Unlock()
		Expect(m.Outdated("w1")).To(BeTrue())
		Expect(m.ReadRecord(context.Background(), "w1")).To(Succeed())
		Expect(m.Outdated("w1")).To(BeFalse())
	})
}

// Guards against a state that counts as confirmed by an answer which leaves later changes out.
func TestFullAnswerDoesNotConfirmTheState(t *testing.T) {
	withLargeFleet(t, 1, func(d *deployment) {
		time.Sleep(settled)
		node := d.nodes[0]
		node.stop()
		time.Sleep(testTimes.Contact)
		node.source.maxChanges = 1
		d.store.put("w1", true, "m")
		d.store.put("w2", true, "m")
		confirmed := node.mirror.confirmedAt
		node.mirror.readChanges(context.Background())
		Expect(node.mirror.confirmedAt).To(Equal(confirmed))
		// The relay's own snapshot is another change.
		for range 4 {
			node.mirror.readChanges(context.Background())
		}
		Expect(node.mirror.confirmedAt).To(BeTemporally(">", confirmed))
	})
}
