package quota_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/quota"
)

// callsWithin counts the calls that one node makes sequentially within the duration.
func callsWithin(share *quota.Share, kind quota.Kind, duration time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	calls := 0
	for share.Wait(ctx, kind) == nil && ctx.Err() == nil {
		calls++
	}
	return calls
}

func TestAllNodesTogetherStayBelowTheRates(t *testing.T) {
	const seconds = 10
	for _, nodes := range []int{1, 7, 100} {
		for kind, allowed := range map[quota.Kind]float64{quota.Read: 2000, quota.Write: 400} {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				made := callsWithin(quota.NewShare(quota.Rates{Reads: 2000, Writes: 400}, nodes), kind, seconds*time.Second)
				g.Expect(float64(made*nodes)).To(BeNumerically("<=", allowed*seconds), "nodes %d, kind %d", nodes, kind)
				g.Expect(float64(made*nodes)).To(BeNumerically(">=", 0.7*allowed*seconds), "nodes %d, kind %d", nodes, kind)
			})
		}
	}
}

func TestUnsetRatesAreUnlimited(t *testing.T) {
	g := NewWithT(t)
	share := quota.NewShare(quota.Rates{}, 3)
	for range 10000 {
		g.Expect(share.Wait(t.Context(), quota.Write)).To(Succeed())
	}
}

func TestShareShrinksWithMoreNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		share := quota.NewShare(quota.Rates{Reads: 1000}, 1)
		share.SetNodes(10)
		g.Expect(callsWithin(share, quota.Read, time.Second)).To(BeNumerically("<=", 200))
		share.SetNodes(1)
		g.Expect(callsWithin(share, quota.Read, time.Second)).To(BeNumerically(">=", 700))
	})
}

func TestRenewalsNeverWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		share := quota.NewShare(quota.Rates{Reads: 10}, 10)
		_ = callsWithin(share, quota.Read, time.Second)
		began := time.Now()
		g.Expect(share.Wait(t.Context(), quota.Renewal)).To(Succeed())
		g.Expect(time.Since(began)).To(BeZero())
	})
}

func TestCallThatMissesTheDeadlineFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		share := quota.NewShare(quota.Rates{Writes: 0.1}, 1)
		for range 4 {
			g.Expect(share.Wait(t.Context(), quota.Write)).To(Succeed())
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(share.Wait(ctx, quota.Write)).NotTo(Succeed())
		g.Expect(time.Since(began)).To(BeZero())
	})
}
