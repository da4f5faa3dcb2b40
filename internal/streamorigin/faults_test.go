package streamorigin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// The nodes of a world that a fault meets.
const (
	lateNode, suspendedNode, cutNode = "b", "c", "d"
)

// world is a deployment whose servers, store and network change.
type world struct {
	*deployment
	// serving are the versions of the servers that exist.
	serving []string
	backup  []outside.KeyValue
	// began are the versions of the streams by request.
	began map[string]string
	// suspended, cut and late are whether the nodes are, and storeAway whether the store is.
	suspended, cut, late, storeAway bool
	counts                          resumptions
}

// resumptions counts what became of resumed streams.
type resumptions struct {
	// known or bound to the only version, and refused with and without a server that could go on.
	known, bound, refused, withoutServer int
	// wrong are resumed at another version.
	wrong []string
}

func (r *resumptions) add(other resumptions) {
	r.known += other.known
	r.bound += other.bound
	r.refused += other.refused
	r.withoutServer += other.withoutServer
	r.wrong = append(r.wrong, other.wrong...)
}

// release is the fault by which a second version comes into service.
const release = "a release begins"

// faults that may come in any order.
var faults = map[string]func(w *world){
	"all nodes are killed": func(w *world) {
		w.killAll(w.serving...)
	},
	"a node is cut off":     func(w *world) { w.cut = true },
	"a node is suspended":   func(w *world) { w.suspended = true },
	"a node's records late": func(w *world) { w.late = true },
	release:                 func(w *world) { w.serving = []string{"v1", "v2"} },
	"the old version leaves": func(w *world) {
		if len(w.serving) > 1 {
			w.serving = []string{"v2"}
		}
	},
	"the store is away": func(w *world) { w.storeAway = true },
	"the store is restored": func(w *world) {
		w.store.restore(w.backup)
		for _, node := range w.nodes {
			if !node.isLate() {
				node.serve("v1")
			}
		}
		time.Sleep(time.Second)
	},
	"all is well again": func(w *world) { w.suspended, w.cut, w.late, w.storeAway = false, false, false, false },
}

// spread brings the faults and the records to the nodes.
func (w *world) spread() {
	w.store.setUnavailable(w.storeAway)
	w.network.SetCut(cutNode, w.cut)
	w.network.SetCut(suspendedNode, w.suspended)
	if w.suspended {
		w.nodes[suspendedNode].stop()
	} else {
		w.nodes[suspendedNode].stop()
		w.nodes[suspendedNode].run(w.ctx)
	}
	for address, node := range w.nodes {
		late := w.storeAway || w.late && address == lateNode || w.cut && address == cutNode || w.suspended && address == suspendedNode
		switch {
		case late && !node.isLate():
			node.setLate(true)
		case !late && node.isLate():
			node.serve(w.serving...)
			w.store.read(node)
			node.setLate(false)
		case !late:
			node.serve(w.serving...)
		}
	}
}

// runs reports whether a node serves callers.
func (w *world) runs(address string) bool { return !w.suspended || address != suspendedNode }

// eligible returns the versions at which a node begins streams: those that it sees, and of these only
// settled ones if there are any.
func (w *world) eligible(node *testNode) []string {
	seen := present(node.view.Load(), "p")
	settled := slices.DeleteFunc(slices.Clone(seen), func(version string) bool {
		return !slices.Contains(node.origins.Settled("p"), version)
	})
	if len(settled) > 0 {
		return settled
	}
	return seen
}

// begin begins a stream at each node and each version that serves.
func (w *world) begin(step int) {
	for address, node := range w.nodes {
		for _, version := range w.eligible(node) {
			if w.runs(address) && slices.Contains(w.serving, version) {
				request := fmt.Sprint(step, address, version)
				node.origins.Begin(request, Origin{Pool: "p", SoftwareVersion: version}, false)
				w.began[request] = version
			}
		}
	}
	time.Sleep(2 * sendPeriod)
}

// resume resumes each stream at each node.
func (w *world) resume(step string) {
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	for address, node := range w.nodes {
		for request, version := range w.began {
			if !w.runs(address) {
				continue
			}
			waiting.Go(func() {
				origin, finding := node.origins.Find(context.Background(), request, "p", false)
				mutex.Lock()
				defer mutex.Unlock()
				w.count(fmt.Sprintf("%s: %s at %s: %s", step, request, address, finding), origin, finding, version)
			})
		}
	}
	waiting.Wait()
}

func (w *world) count(what string, found Origin, finding Finding, version string) {
	switch {
	case finding == Unknown && slices.Contains(w.serving, version):
		w.counts.refused++
	case finding == Unknown:
		w.counts.withoutServer++
	case found.SoftwareVersion != version:
		w.counts.wrong = append(w.counts.wrong, what+" "+found.SoftwareVersion)
	case finding == Known:
		w.counts.known++
	default:
		w.counts.bound++
	}
}

// play lets the faults come in order, each a pause after the one before, and resumes all streams at all
// nodes in between.
func play(t *testing.T, pause time.Duration, order ...string) resumptions {
	t.Helper()
	var counts resumptions
	store := newFakeStore()
	inDeploymentWithStore(t, store, 5, []string{"v1"}, func(d *deployment) {
		time.Sleep(time.Second)
		w := &world{deployment: d, serving: []string{"v1"}, backup: store.all(), began: map[string]string{}}
		w.begin(0)
		for step, fault := range order {
			faults[fault](w)
			w.spread()
			w.resume(fmt.Sprint(order[:step+1]))
			w.begin(step + 1)
			time.Sleep(pause)
			w.resume(fmt.Sprint(order[:step+1], ", later"))
		}
		counts = w.counts
	})
	return counts
}

// orders returns all orders of a number of the names.
func orders(names []string, length int) [][]string {
	if length == 0 {
		return [][]string{nil}
	}
	var all [][]string
	for _, rest := range orders(names, length-1) {
		for _, name := range names {
			if !slices.Contains(rest, name) {
				all = append(all, append(slices.Clone(rest), name))
			}
		}
	}
	return all
}

// Guards against streams of two versions that are joined, whatever fails in which order while a release
// goes on: a resumed stream goes to the version that began it, or is refused.
func TestStreamsAreNotJoinedWhateverFails(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
		var all resumptions
		for _, order := range orders(slices.Sorted(maps.Keys(faults)), 3) {
			if slices.Contains(order, release) {
				all.add(play(t, pause, order...))
			}
		}
		t.Logf("after %v each, resumptions: %d known, %d bound to the only version, %d refused that could have gone on, %d without a server",
			pause, all.known, all.bound, all.refused, all.withoutServer)
		NewWithT(t).Expect(all.wrong).To(BeEmpty())
	}
}

// Guards against refusals while nothing fails and one version serves.
func TestEachResumedStreamGoesOnInCalm(t *testing.T) {
	for _, order := range [][]string{nil, {"all is well again"}, {"all nodes are killed"}, {"all nodes are killed", "all is well again"}} {
		counts := play(t, 3*time.Second, order...)
		g := NewWithT(t)
		g.Expect(counts.wrong).To(BeEmpty())
		g.Expect(counts.refused + counts.withoutServer).To(BeZero())
	}
}
