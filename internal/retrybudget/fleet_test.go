package retrybudget_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // fixes the seed
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/retrybudget"
)

// The tests run in virtual time (testing/synctest), which needs plain test functions.

// used is what the fleet grants of the slack while all nodes reach the same counter nodes.
const used = 149

// Guards against refusals at the nodes that a crash hits while the slack of the others is unused.
func TestNodeWithABurstOfFailuresGetsWhatOthersLeave(t *testing.T) {
	withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
		Expect(f.burst(f.nodes[3], 100)).To(Equal(100))
		Expect(f.burst(f.nodes[80], 100)).To(Equal(used - 100))
		time.Sleep(11 * time.Second)
		Expect(f.burst(f.nodes[50], 100)).To(Equal(100), "the slack of the next window")
		Expect(f.maxExcess()).To(BeNumerically("<=", 0))
	})
}

// Guards against a fleet that sends more retries than allowed while counter nodes are killed, cut
// off, slow, replaced by new processes or by other nodes, and while some nodes don't know of it.
func TestBoundHoldsUnderRandomFaultsOfCounterNodes(t *testing.T) {
	granted, largest := 0, -largeLimits.Slack
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 6), 4, 10).Draw(r, "steps")
		targets := rapid.SliceOfN(rapid.IntRange(0, largeFleet-1), 10, 10).Draw(r, "targets")
		var excess float64
		withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
			for i, step := range steps {
				counters := f.counters.Addresses
				target := counters[targets[i]%len(counters)]
				f.fault(step, target)
				f.load(f.nodes, 20*time.Millisecond, time.Second)
			}
			excess = f.maxExcess()
			largest = max(largest, excess)
			granted += f.decisions[retrybudget.ByFleet]
		})
		if excess > 0 {
			r.Fatalf("%.1f retries more than allowed in a window", excess)
		}
	})
	t.Logf("%d retries granted by the fleet, at most %.1f more than allowed in a window", granted, largest)
	NewWithT(t).Expect(granted).To(BeNumerically(">", 5000), "the fleet grants retries under these faults")
}

// Guards against more retries than allowed because each node reaches other counter nodes, and so
// no counter node sees all of what was granted.
func TestBoundHoldsWhicheverCounterNodesAreReached(t *testing.T) {
	withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
		for i, node := range f.nodes {
			counters := f.counters.Addresses
			node.transport.blocked = []string{counters[i%8], counters[(i+1+i/8%7)%8]}
		}
		f.load(f.nodes, 10*time.Millisecond, 25*time.Second)
		Expect(f.maxExcess()).To(BeNumerically("<=", 0))
		Expect(f.decisions[retrybudget.ByFleet]).To(BeNumerically(">=", 2*used))
	})
}

// fault disturbs a counter node, or ends a disturbance.
func (f *testFleet) fault(kind int, counter string) {
	switch kind {
	case 0:
		f.SetCut(counter, true)
	case 1:
		f.SetCut(counter, false)
	case 2:
		f.start(f.named(counter))
	case 3:
		f.replaceCounter(counter)
	case 4:
		f.SetSlow(counter, 60*time.Millisecond)
	case 5:
		f.SetSlow(counter, 0)
	case 6:
		f.SetPart(counter, 1)
	}
}

// Guards against two sides of a partition that grant the slack twice, and against a side with a
// quorum that grants nothing.
func TestPartitionedSidesStayWithinTheBoundTogether(t *testing.T) {
	for _, apart := range []int{2, 3, 6} {
		t.Run(fmt.Sprint(apart, " counter nodes on the other side"), func(t *testing.T) {
			withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
				for _, node := range f.nodes[:45] {
					f.SetPart(node.address, 1)
				}
				for _, address := range f.counters.Addresses[:apart] {
					f.SetPart(address, 1)
				}
				for _, address := range f.counters.Addresses[apart:] {
					f.SetPart(address, 0)
				}
				f.load(f.nodes, 10*time.Millisecond, 25*time.Second)
				Expect(f.maxExcess()).To(BeNumerically("<=", 0))
				if apart == 3 {
					Expect(f.decisions[retrybudget.ByFleet]).To(BeZero(), "no side has a quorum")
				} else {
					Expect(f.decisions[retrybudget.ByFleet]).To(BeNumerically(">=", 2*used))
				}
			})
		})
	}
}

// Guards against a counter node of an earlier build that grants more than the bound, since it does
// not know voted limits.
func TestBoundHoldsBesideCounterNodesOfAnEarlierBuild(t *testing.T) {
	for _, earlier := range []int{1, 4, 8} {
		t.Run(fmt.Sprint(earlier, " of 8"), func(t *testing.T) {
			withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
				for _, address := range f.counters.Addresses[:earlier] {
					f.named(address).transport.earlier = true
				}
				f.load(f.nodes, 10*time.Millisecond, 25*time.Second)
				Expect(f.maxExcess()).To(BeNumerically("<=", 0))
				Expect(f.decisions[retrybudget.ByFleet]).To(BeNumerically(">=", used))
			})
		})
	}
}

// Guards against a node of a build with tenants' limits only, which replies that any other limit
// allows the request, and counts nothing.
func TestReplyWithoutACountIsNoVote(t *testing.T) {
	withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
		for _, address := range f.counters.Addresses {
			f.named(address).transport.Handle(ratelimit.TakeRequest{}, func(_ string, _ peer.Message, reply func(peer.Message, error)) {
				reply(ratelimit.TakeReply{Within: true, CountedBy: "earlier"}, nil)
			})
		}
		decision := f.retry(f.notCounter(), 0)
		Expect(decision.By).To(Equal(retrybudget.ByShare))
		Expect(decision.Allowed).To(BeFalse())
	})
}

// Guards against control traffic in fleets whose even share suffices, and while nobody retries
// beyond its own allowance; and against counter nodes that go on probing each other afterwards.
func TestMessagesAreSentOnlyForRetriesFromTheSlack(t *testing.T) {
	for nodes, slack := range map[int]float64{12: 54, 7: 14} {
		withFleet(t, nodes, retrybudget.Limits{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}, func(f *testFleet) {
			f.load(f.nodes, 10*time.Millisecond, 12*time.Second)
			Expect(f.sent()).To(BeZero())
			Expect(f.decisions[retrybudget.ByNode]).To(BeNumerically(">", 0.75*slack*0.8))
		})
	}
	withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
		for range 20 {
			f.nodes[0].budget.Request("p", time.Now())
		}
		Expect(f.burst(f.nodes[0], 3)).To(Equal(3))
		Expect(f.sent()).To(BeZero())
		Expect(f.burst(f.nodes[0], 10)).To(Equal(10))
		sent := f.sent()
		Expect(sent).To(BeNumerically("<=", 80))
		time.Sleep(time.Minute)
		Expect(f.sent()).To(Equal(sent))
	})
}

// Guards against a flood of messages once the slack is used up.
func TestNodesAskRarelyOnceTheSlackIsUsedUp(t *testing.T) {
	withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
		f.burst(f.nodes[0], used)
		before := f.sent()
		f.load(f.nodes, 2*time.Millisecond, 4*time.Second)
		Expect(f.sent()-before).To(BeNumerically("<=", 4*100*8*2), "100 a second, to 8 nodes each, and returned votes")
	})
}

// Guards against counter nodes that grant the window's slack again after a restart, and against a
// fleet that grants nothing because one or two of them failed.
func TestRestartedCounterNodesDoNotVoteForAWindow(t *testing.T) {
	for _, restarted := range []int{2, 3} {
		t.Run(fmt.Sprint(restarted, " of 8"), func(t *testing.T) {
			withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
				last := f.nodes[largeFleet-1]
				f.burst(last, 50)
				for _, address := range f.counters.Addresses[:restarted] {
					f.start(f.named(address))
				}
				granted := f.burst(f.nodes[largeFleet-2], 200)
				if restarted == 2 {
					Expect(granted).To(Equal(used - 50))
				} else {
					Expect(granted).To(BeZero(), "an even share is less than one retry")
				}
				time.Sleep(coldTime)
				Expect(f.burst(last, 200)).To(Equal(used))
			})
		})
	}
}

// Guards against a new system that has no slack in its first window, and against counter nodes that
// take later ones for the first.
func TestFirstCounterNodesVoteAtOnce(t *testing.T) {
	withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
		for _, node := range f.nodes {
			f.start(node)
		}
		Expect(f.burst(f.nodes[largeFleet-1], 5)).To(BeZero(), "processes that found counter nodes")
		f.counters = ratelimit.Counters{}
		for _, node := range f.nodes {
			f.start(node)
			node.limiter.SetNoCountersYet()
		}
		f.counters = ratelimit.Counters{Token: 9, Version: 1, Addresses: ratelimit.ChooseCounters(nil, f.Addresses())}
		f.setCounters()
		Expect(f.burst(f.nodes[largeFleet-1], 200)).To(Equal(used))
		for _, address := range f.counters.Addresses {
			f.start(f.named(address))
			f.named(address).limiter.SetNoCountersYet()
		}
		Expect(f.burst(f.nodes[largeFleet-2], 5)).To(BeZero(), "counter nodes that were restarted")
	})
}

// Guards against two sets of counter nodes that both grant the slack, for nodes that know the newest
// set and for nodes that don't.
func TestReplacedCounterNodesDoNotVote(t *testing.T) {
	withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
		stale := f.notCounter()
		earlier := f.counters.Addresses
		others := slices.DeleteFunc(f.Addresses(), func(address string) bool { return slices.Contains(earlier, address) || address == stale.address })
		f.SetCut(stale.address, true)
		f.counters = ratelimit.Counters{Token: 2, Version: 1, Addresses: ratelimit.ChooseCounters(nil, others)}
		f.setCounters()
		f.SetCut(stale.address, false)
		time.Sleep(coldTime)
		Expect(f.retry(stale, 0).By).To(Equal(retrybudget.ByShare))
		Expect(f.burst(f.nodes[largeFleet-1], 200)).To(Equal(used))
	})
}

// Guards against a retry that waits for more than one call, or for counter nodes that don't reply
// while a quorum does.
func TestRetryWaitsForAtMostOneCall(t *testing.T) {
	withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
		asker := f.notCounter()
		for i, address := range f.counters.Addresses {
			f.SetCut(address, i < 2)
		}
		began := time.Now()
		Expect(f.retry(asker, 0).By).To(Equal(retrybudget.ByFleet))
		Expect(time.Since(began)).To(BeNumerically("<", 10*time.Millisecond))
		for _, address := range f.counters.Addresses {
			f.SetCut(address, true)
		}
		began = time.Now()
		Expect(f.retry(asker, 0).By).To(Equal(retrybudget.ByShare))
		Expect(time.Since(began)).To(BeNumerically("<=", 100*time.Millisecond))
		began = time.Now()
		Expect(f.retry(asker, 0).Asked).To(BeFalse())
		Expect(time.Since(began)).To(BeZero())
	})
}

// Guards against a burst that exceeds the transport's calls in progress: the calls fail, and the
// node takes itself to be cut off.
func TestManyRetriesAtOnceAreAllCounted(t *testing.T) {
	withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
		asker := f.notCounter()
		for range 100 {
			go f.retry(asker, 0)
		}
		time.Sleep(time.Millisecond)
		Expect(asker.transport.sent.Load()).To(BeNumerically("<=", 8*32))
		time.Sleep(time.Second)
		Expect(f.decisions[retrybudget.ByFleet]).To(Equal(100))
	})
}

// Guards against urgent requests that are refused because others used up the slack.
func TestUrgentRequestsGetTheRestOfTheSlack(t *testing.T) {
	withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
		for range 200 {
			f.retry(f.nodes[1], 1)
		}
		Expect(f.burst(f.nodes[2], 5)).To(Equal(5))
		Expect(f.burst(f.nodes[1], 5)).To(Equal(5), "a refusal of a less urgent one is no refusal of these")
	})
}

// Guards against votes of refused requests that stay counted: while no quorum replies, the
// retries that are asked for must not use up the slack of the time after.
func TestVotesOfRefusedRetriesAreReturned(t *testing.T) {
	withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
		cut := f.counters.Addresses[:3]
		for _, address := range cut {
			f.SetCut(address, true)
		}
		for range 4 {
			for _, node := range f.nodes[20:] {
				go f.retry(node, 0)
			}
			time.Sleep(1100 * time.Millisecond)
		}
		for _, address := range cut {
			f.SetCut(address, false)
		}
		Expect(f.burst(f.nodes[0], 200)).To(Equal(used))
		Expect(f.maxExcess()).To(BeNumerically("<=", 0))
	})
}

// Guards against refusals while the slack is unused: when many nodes retry at the same moment, each
// counter node allows other retries, and few get a quorum of votes.
func TestBurstAtAllNodesUsesTheSlack(t *testing.T) {
	for _, each := range []int{3, 5, 8} {
		t.Run(fmt.Sprint(each, " retries at each node"), func(t *testing.T) {
			withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
				random := rand.New(rand.NewPCG(1, 2))
				var mutex sync.Mutex
				for _, node := range f.nodes {
					node.transport.delayed = func() time.Duration {
						mutex.Lock()
						defer mutex.Unlock()
						return time.Duration(random.IntN(4000)) * time.Microsecond
					}
				}
				for _, node := range f.nodes {
					for range each {
						go f.retry(node, 0)
					}
				}
				time.Sleep(time.Second)
				Expect(f.decisions[retrybudget.ByFleet]).To(BeNumerically(">=", used))
				f.load(f.nodes, 10*time.Millisecond, 12*time.Second)
				Expect(f.maxExcess()).To(BeNumerically("<=", 0))
			})
		})
	}
}

// Guards against a node that takes itself for cut off, and refuses retries for a second, since some of
// its own concurrent retries waited too long for others.
func TestNodeWithManyConcurrentRetriesIsNotCutOff(t *testing.T) {
	withFleet(t, largeFleet, largeLimits, func(f *testFleet) {
		for _, address := range f.counters.Addresses {
			f.SetSlow(address, 10*time.Millisecond)
		}
		node := f.notCounter()
		for range 60 {
			go f.retry(node, 0)
		}
		time.Sleep(200 * time.Millisecond)
		Expect(f.decisions[retrybudget.ByShare]).To(BeZero())
		Expect(f.decisions[retrybudget.ByFleet]).To(BeNumerically("<", 60), "some of them waited too long")
		decision := f.retry(node, 0)
		Expect(decision.Allowed).To(BeTrue())
		Expect(decision.By).To(Equal(retrybudget.ByFleet))
	})
}

// Guards against a slack that is used twice within a window when the fleet grows or shrinks past the
// size from which it is counted for the whole fleet: by the nodes themselves and by the counter nodes.
func TestBoundHoldsWhileTheSlackBeginsOrCeasesToBeShared(t *testing.T) {
	const below, above = 55, 56
	for _, sizes := range [][]int{{below, above}, {above, below}} {
		t.Run(fmt.Sprint("from ", sizes[0], " to ", sizes[1], " nodes"), func(t *testing.T) {
			withFleet(t, above, largeLimits, func(f *testFleet) {
				for _, nodes := range sizes {
					for _, node := range f.nodes {
						node.budget.SetNodes(nodes)
					}
					for _, node := range f.nodes {
						f.burst(node, 4)
					}
				}
				Expect(f.maxExcess()).To(BeNumerically("<=", 0))
				time.Sleep(largeLimits.Window + 3*time.Second)
				earlier := len(f.retries)
				for _, node := range f.nodes {
					f.burst(node, 4)
				}
				Expect(len(f.retries)-earlier).To(BeNumerically(">=", used), "the slack is used again")
			})
		})
	}
}
