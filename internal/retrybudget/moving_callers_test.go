package retrybudget_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/retrybudget"
)

// callAt sends 250 requests a second to the nodes in turn; each is retried the given number of times.
func (f *testFleet) callAt(nodes []*node, retries int, duration time.Duration) {
	f.call(nodes, 4*time.Millisecond, duration, func(n *node) {
		for range retries {
			go f.retry(n, 0)
		}
	})
}

// Guards against nodes that spend what ten seconds of requests allow at once, and others that spend in
// the same window what the requests of the same callers allow after these have moved to them.
func TestBoundHoldsWhileCallersMoveBetweenNodes(t *testing.T) {
	restartAll := func(restart func(f *testFleet, n *node)) func(f *testFleet, from, to []*node, full time.Duration) {
		return func(f *testFleet, from, _ []*node, _ time.Duration) {
			for _, node := range from {
				restart(f, node)
			}
		}
	}
	// What happens between the time in which the callers are at one half of the nodes and the time in
	// which they are at the other half.
	moves := map[string]func(f *testFleet, from, to []*node, full time.Duration){
		"callers move":          func(*testFleet, []*node, []*node, time.Duration) {},
		"nodes are killed":      restartAll((*testFleet).start),
		"nodes stop as planned": restartAll((*testFleet).restartAsPlanned),
		"callers move to and fro": func(f *testFleet, from, to []*node, full time.Duration) {
			for range 4 {
				f.callAt(to, 3, full)
				f.callAt(from, 3, full)
			}
		},
	}
	for name, move := range moves {
		for _, nodes := range []int{2, 4, 7, 8, 12, 20} {
			for _, full := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
				t.Run(fmt.Sprint(name, ", ", nodes, " nodes, full for ", full), func(t *testing.T) {
					limits := retrybudget.Limits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
					withFleet(t, nodes, limits, func(f *testFleet) {
						for _, node := range f.nodes {
							node.budget.SetNodes(nodes)
						}
						from, to := f.nodes[:nodes/2], f.nodes[nodes/2:]
						f.callAt(from, 0, limits.Window)
						f.callAt(from, 3, full)
						move(f, from, to, full)
						f.callAt(to, 3, limits.Window)
						time.Sleep(200 * time.Millisecond)
						Expect(f.maxExcess()).To(BeNumerically("<=", 0))
					})
				})
			}
		}
	}
}
