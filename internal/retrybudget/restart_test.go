package retrybudget_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/retrybudget"
)

// smallLimits are limits whose even share suffices in a fleet of up to 14 nodes.
var smallLimits = retrybudget.Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// call sends requests to the nodes in turn, one in each interval, and calls then after each.
func (f *testFleet) call(nodes []*node, interval, duration time.Duration, then func(n *node)) {
	end := time.Now().Add(duration)
	for number := 0; time.Now().Before(end); number++ {
		n := nodes[number%len(nodes)]
		f.request(n)
		then(n)
		time.Sleep(interval)
	}
}

// serve sends 100 requests a second to the nodes in turn, none of which is retried.
func (f *testFleet) serve(duration time.Duration) {
	f.call(f.nodes, 10*time.Millisecond, duration, func(*node) {})
}

// fail sends 100 requests a second to the nodes in turn, each of which is retried once.
func (f *testFleet) fail(duration time.Duration) {
	f.call(f.nodes, 10*time.Millisecond, duration, func(n *node) { f.retry(n, 0) })
}

// restartAsPlanned replaces a node's process by one that continues from what it counted.
func (f *testFleet) restartAsPlanned(n *node) {
	usage, complete := n.budget.Close(time.Now())
	f.start(n)
	if complete {
		n.budget.Continue(usage, 0, time.Now())
	}
}

// Guards against nodes that spend the budget once more after each restart, since a process does
// not know what the one before it used.
func TestRestartedNodesStayWithinTheRetryBudget(t *testing.T) {
	for _, fleet := range []struct {
		name  string
		nodes int
	}{{"even shares, 3 nodes", 3}, {"even shares, 8 nodes", 8}, {"fleet's count, 20 nodes", 20}, {"fleet's count, 30 nodes", 30}, {"fleet's count, 91 nodes", 91}} {
		t.Run(fleet.name, func(t *testing.T) {
			largest := -smallLimits.Slack
			rapid.Check(t, func(r *rapid.T) {
				quiet := rapid.IntRange(0, 12).Draw(r, "quiet")
				pauses := rapid.SliceOfN(rapid.IntRange(0, 2000), 1, 16).Draw(r, "pauses")
				planned := rapid.SliceOfN(rapid.Bool(), 16, 16).Draw(r, "planned")
				restarted := rapid.SliceOfN(rapid.IntRange(1, fleet.nodes), 16, 16).Draw(r, "restarted")
				var excess float64
				withFleet(t, fleet.nodes, smallLimits, func(f *testFleet) {
					f.serve(time.Duration(quiet) * time.Second)
					f.fail(time.Second)
					for i, pause := range pauses {
						for _, node := range f.nodes[:restarted[i]] {
							if planned[i] {
								f.restartAsPlanned(node)
							} else {
								f.start(node)
							}
						}
						f.fail(time.Duration(pause) * time.Millisecond)
					}
					f.fail(smallLimits.Window)
					excess = f.maxExcess()
				})
				largest = max(largest, excess)
				if excess > 0 {
					r.Fatalf("%.1f retries more than allowed in a window", excess)
				}
			})
			t.Logf("at most %.1f retries more than allowed in a window", largest)
		})
	}
}

// Guards against a large fleet that starts with the shares of a small one.
func TestNodesUseNoSlackBeforeTheyKnowTheNumberOfNodes(t *testing.T) {
	g := NewWithT(t)
	allowed := 0
	for range largeFleet {
		budget := retrybudget.New(retrybudget.Config{Limits: largeLimits})
		for range 20 {
			if takeRetry(budget, "p", time.Now().Add(largeLimits.Window)) {
				allowed++
			}
		}
	}
	g.Expect(allowed).To(BeNumerically("<=", largeLimits.Slack))
}

// Guards against nodes that keep their shares of the slack while they are cut off, and others that
// share all of it among themselves meanwhile.
func TestNodeThatIsNotToldTheNumberOfNodesGivesItsShareBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		budget := newBudget(smallLimits, 8)
		budget.SetNodes(8)
		time.Sleep(retrybudget.ShareLifetime)
		g.Expect(takeRetry(budget, "p", time.Now())).To(BeTrue())
		time.Sleep(time.Millisecond)
		g.Expect(takeRetry(budget, "p", time.Now())).To(BeFalse())
		budget.SetNodes(8)
		g.Expect(takeRetry(budget, "p", time.Now())).To(BeTrue())
	})
}

// Guards against a process that spends the budget once more because the process before it, of an earlier
// build, did not tell by what its retries were allowed.
func TestRetriesOfAnEarlierBuildCountAgainstTheWholeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		budget := newBudget(smallLimits, 8)
		for range 100 {
			budget.Request("p", time.Now())
		}
		for takeRetry(budget, "p", time.Now()) {
		}
		usage, _ := budget.Close(time.Now())
		earlier := usage["p"]
		earlier.ByRequests, earlier.BySlack = nil, nil
		next := newBudget(smallLimits, 8)
		next.Continue(retrybudget.Usage{"p": earlier}, 0, time.Now())
		g.Expect(earlier.Retries).NotTo(BeEmpty())
		g.Expect(takeRetry(next, "p", time.Now())).To(BeFalse())
	})
}
