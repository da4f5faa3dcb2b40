package weights_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
)

func TestWeights(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "weights")
}

// finishes fetches the sizes at once and returns when each finished, in
// seconds; a failed one is negative.
func finishes(loop *simulation.Loop, fetcher weights.Fetcher, sizes ...int64) []float64 {
	at := make([]float64, len(sizes))
	for index, size := range sizes {
		fetcher.Fetch(size, func(err error) {
			at[index] = loop.Now().Sub(simulation.Epoch).Seconds()
			if err != nil {
				at[index] = -1
			}
		})
	}
	return at
}

func beAbout(seconds ...float64) OmegaMatcher {
	var matchers []any
	for _, second := range seconds {
		matchers = append(matchers, BeNumerically("~", second, 1e-6))
	}
	return HaveExactElements(matchers...)
}

var _ = Describe("Store", func() {
	DescribeTable("when fetches finish", func(config weights.Config, change func(*simulation.Loop, *weights.Store), sizes []int64, expected ...float64) {
		loop := simulation.NewLoop(1)
		config.BytesPerSecond = 100
		store := weights.NewStore(loop, config)
		change(loop, store)
		at := finishes(loop, store, sizes...)
		loop.RunFor(time.Hour)
		Expect(at).To(beAbout(expected...))
		Expect(store.Status().Active).To(BeZero())
	},
		Entry("one at full speed", weights.Config{LoadsPerSecond: 1, FullSpeedLoads: 2}, unchanged, []int64{1000}, 10.0),
		Entry("two at full speed", weights.Config{LoadsPerSecond: 1, Burst: 2, FullSpeedLoads: 2}, unchanged, []int64{1000, 500}, 10.0, 5.0),
		Entry("four share two", weights.Config{LoadsPerSecond: 1, Burst: 4, FullSpeedLoads: 2}, unchanged, []int64{1000, 1000, 1000, 1000}, 20.0, 20.0, 20.0, 20.0),
		Entry("speed up as others finish", weights.Config{LoadsPerSecond: 1, Burst: 2, FullSpeedLoads: 1}, unchanged, []int64{100, 300}, 2.0, 4.0),
		Entry("starts are limited, in order", weights.Config{LoadsPerSecond: 2, FullSpeedLoads: 9}, unchanged, []int64{100, 100, 100}, 1.0, 1.5, 2.0),
		Entry("an empty one", weights.Config{LoadsPerSecond: 2}, unchanged, []int64{0}, 0.0),
		Entry("slow-down in the middle", weights.Config{LoadsPerSecond: 1}, func(loop *simulation.Loop, store *weights.Store) {
			loop.AfterFunc(5*time.Second, func() { store.SetSlowDown(4) })
			loop.AfterFunc(9*time.Second, func() { store.SetSlowDown(1) })
		}, []int64{1000}, 13.0),
		Entry("outage in the middle", weights.Config{LoadsPerSecond: 0.1, FullSpeedLoads: 1}, func(loop *simulation.Loop, store *weights.Store) {
			loop.AfterFunc(5*time.Second, func() { store.SetOutage(true) })
		}, []int64{100, 1000}, 1.0, -1.0),
		Entry("outage at the start", weights.Config{LoadsPerSecond: 1}, func(_ *simulation.Loop, store *weights.Store) {
			store.SetOutage(true)
		}, []int64{100}, -1.0),
	)

	It("gives a cancelled fetch's share to the others and never calls it", func() {
		loop := simulation.NewLoop(1)
		store := weights.NewStore(loop, weights.Config{LoadsPerSecond: 1, Burst: 2, BytesPerSecond: 100})
		cancelled := store.Fetch(1000, func(error) { Fail("called after cancel") })
		at := finishes(loop, store, 1000)
		waiting := store.Fetch(1000, func(error) { Fail("called after cancel") })
		loop.RunFor(500 * time.Millisecond)
		Expect(store.Waiting()).To(Equal(1))
		Expect(cancelled.Progress()).To(BeNumerically("~", 0.025, 1e-6))
		Expect(waiting.Progress()).To(BeZero())
		cancelled.Cancel()
		waiting.Cancel()
		loop.RunFor(time.Hour)
		Expect(at).To(beAbout(10.25))
	})

	It("keeps the rate of starts and serves all bytes whatever comes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			loop := simulation.NewLoop(1)
			store := weights.NewStore(loop, weights.Config{LoadsPerSecond: 2, FullSpeedLoads: 3, BytesPerSecond: 100})
			finished, total := 0, 0.0
			count := rapid.IntRange(1, 30).Draw(t, "count")
			for range count {
				size := rapid.Int64Range(0, 1000).Draw(t, "size")
				total += float64(size)
				store.Fetch(size, func(error) { finished++ })
				loop.RunFor(time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond)
				g.Expect(float64(finished + store.Status().Active)).To(BeNumerically("<=", 1+2*loop.Now().Sub(simulation.Epoch).Seconds()+1e-6))
			}
			for finished < count {
				g.Expect(loop.Step()).To(BeTrue())
			}
			g.Expect(loop.Now().Sub(simulation.Epoch).Seconds()).To(BeNumerically(">=", total/300))
		})
	})

	It("answers its status over the simulated network, but not in an outage", func() {
		loop := simulation.NewLoop(1)
		store := weights.NewStore(loop, weights.Config{LoadsPerSecond: 3, FullSpeedLoads: 6})
		service := &weights.Simulated{
			Network: simulation.NewNetwork(loop), Store: store,
			Client: simulation.NewProcess(loop, "node"), Server: simulation.NewProcess(loop, "store"),
		}
		var status outside.WeightStoreStatus
		var failure error
		ask := func() {
			service.Status(time.Second, func(s outside.WeightStoreStatus, err error) { status, failure = s, err })
			loop.RunFor(time.Minute)
		}
		ask()
		Expect(status).To(Equal(outside.WeightStoreStatus{FullSpeedLoads: 6, LoadsPerSecond: 3, SlowDown: 1}))
		store.SetOutage(true)
		ask()
		Expect(failure).To(MatchError(outside.ErrServerUnreachable))
	})
})

func unchanged(*simulation.Loop, *weights.Store) {}
