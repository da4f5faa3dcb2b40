package balance_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/balance"
	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // property tests repeat
)

func drawCandidates(t *rapid.T) []balance.Candidate {
	micros := func(low, high int, name string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Microsecond
	}
	candidates := make([]balance.Candidate, rapid.IntRange(1, 60).Draw(t, "count"))
	for i := range candidates {
		candidates[i] = balance.Candidate{Delay: micros(0, 5_000_000, "delay"), PerRequest: micros(0, 200_000, "each")}
		if rapid.Bool().Draw(t, "queues") {
			candidates[i].Free = float64(rapid.IntRange(0, 24).Draw(t, "free"))
			candidates[i].PerQueued = candidates[i].PerRequest + micros(1, 200_000, "queued")
		}
	}
	return candidates
}

// delayAfter is the candidate's delay once it has taken so many further requests.
func delayAfter(c balance.Candidate, requests float64) float64 {
	each := float64(max(c.PerRequest, 1))
	if c.PerQueued <= 0 || requests <= c.Free {
		return float64(c.Delay) + requests*each
	}
	return float64(c.Delay) + c.Free*each + (requests-c.Free)*float64(c.PerQueued)
}

// Guards against probabilities that are negative or don't add up, and against shares that don't
// level the delays: a chosen server would then end above one that got nothing, or two chosen
// servers at different delays.
func TestSharesLevelTheDelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		arrivals := rapid.Float64Range(1, 500).Draw(t, "arrivals")
		shares := balance.Shares(candidates, arrivals)
		total, level := 0.0, 0.0
		for i, share := range shares {
			if share < 0 || math.IsNaN(share) {
				t.Fatalf("share %v", share)
			}
			total += share
			if share > 0 {
				level = max(level, delayAfter(candidates[i], share*arrivals))
			}
		}
		if math.Abs(total-1) > 1e-9 {
			t.Fatalf("shares add up to %v", total)
		}
		for i, share := range shares {
			if end := delayAfter(candidates[i], share*arrivals); end < level*(1-1e-6)-1000 {
				t.Fatalf("candidate %d ends at %v, below the level %v", i, end, level)
			}
		}
	})
}

// Guards against a choice that differs from the lowest score where no other request is expected.
func TestLowestDelayWinsBelowOneArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		shares := balance.Shares(candidates, rapid.Float64Range(0, 0.999).Draw(t, "arrivals"))
		for i, share := range shares {
			for _, other := range candidates {
				if share > 0 && (share != 1 || other.Delay < candidates[i].Delay) {
					t.Fatalf("candidate %d has share %v", i, share)
				}
			}
		}
	})
}

// Guards against a server with a longer delay that gets more of equal servers' requests.
func TestLongerDelayNeverGetsMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		for i := range candidates {
			candidates[i].PerRequest, candidates[i].PerQueued = time.Millisecond, 0
		}
		shares := balance.Shares(candidates, rapid.Float64Range(0, 500).Draw(t, "arrivals"))
		for i := range shares {
			for j := range shares {
				if candidates[i].Delay > candidates[j].Delay && shares[i] > shares[j]+1e-9 {
					t.Fatalf("%v has %v, %v has %v", candidates[i].Delay, shares[i], candidates[j].Delay, shares[j])
				}
			}
		}
	})
}

// Guards against a wrong level: the example can be checked by hand. Ten requests fill servers at 0,
// 10 and 100 ms, with 5 ms for each request, to 30 ms: six and four. A server with two free slots
// takes two at 1 ms each and then one at 30 ms, and the other the rest.
func TestSharesOfExamples(t *testing.T) {
	RegisterTestingT(t)
	ms := time.Millisecond
	Expect(balance.Shares([]balance.Candidate{{Delay: 0, PerRequest: 5 * ms}, {Delay: 10 * ms, PerRequest: 5 * ms}, {Delay: 100 * ms, PerRequest: 5 * ms}}, 10)).
		To(HaveExactElements(BeNumerically("~", 0.6, 1e-9), BeNumerically("~", 0.4, 1e-9), BeZero()))
	Expect(balance.Shares([]balance.Candidate{{PerRequest: ms, Free: 2, PerQueued: 30 * ms}, {PerRequest: 4 * ms}}, 11)).
		To(HaveExactElements(BeNumerically("~", 3.0/11, 1e-9), BeNumerically("~", 8.0/11, 1e-9)))
	Expect(balance.Shares(nil, 10)).To(BeEmpty())
}

// Guards against a draw that returns a server without a share, or none because of rounding.
func TestPickDrawsByShare(t *testing.T) {
	RegisterTestingT(t)
	shares := []float64{0, 0.25, 0, 0.75, 0}
	Expect([]int{balance.Pick(shares, 0), balance.Pick(shares, 0.2499), balance.Pick(shares, 0.25), balance.Pick(shares, 1)}).To(Equal([]int{1, 1, 3, 3}))
	Expect(balance.Pick(nil, 0.5)).To(Equal(-1))
}

// BenchmarkShares measures the shares of 60 candidates; the bound is 50 µs.
func BenchmarkShares(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := make([]balance.Candidate, 60)
	for i := range candidates {
		candidates[i] = balance.Candidate{
			Delay: time.Duration(random.IntN(1000)) * time.Millisecond, PerRequest: 2 * time.Millisecond, Free: float64(random.IntN(24)), PerQueued: 80 * time.Millisecond,
		}
	}
	for b.Loop() {
		balance.Pick(balance.Shares(candidates, 20), random.Float64())
	}
}
