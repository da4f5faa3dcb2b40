package bounds_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/bounds"
	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // makes property tests reproducible
)

func TestBounds(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bounds")
}

// store delivers 10 bytes per second to each of at most two concurrent loads.
var store = bounds.Store{LoadsPerSecond: 1, Burst: 1, FullSpeedLoads: 2, BytesPerSecond: 10}

// remote returns a remote load with a tail of one second.
func remote(release, bytes float64) bounds.Load {
	return bounds.Load{Release: release, Bytes: bytes, Remote: true, Seconds: bytes/10 + 1, Tail: 1}
}

// firstRequests returns a first request for each load, at its release.
func firstRequests(loads []bounds.Load) []bounds.FirstRequest {
	requests := make([]bounds.FirstRequest, len(loads))
	for index, load := range loads {
		requests[index] = bounds.FirstRequest{At: load.Release, Loads: []int{index}}
	}
	return requests
}

var _ = DescribeTable("the reactive bound",
	func(loads []bounds.Load, expected float64) {
		Expect(bounds.Reactive(firstRequests(loads), loads, store, 0.99)).To(BeNumerically("~", expected, 0.02))
	},
	Entry("nothing", nil, 0.0),
	Entry("one load", []bounds.Load{remote(0, 100)}, 11.0),
	Entry("a cached load", []bounds.Load{{Seconds: 3, Bytes: 1e9}}, 3.0),
	Entry("two loads at full speed", []bounds.Load{remote(0, 100), remote(5, 100)}, 11.0),
	Entry("four loads share the bandwidth of two", []bounds.Load{remote(0, 100), remote(0, 100), remote(0, 100), remote(0, 100)}, 21.0),
	Entry("the rate limit delays the starts of small loads", []bounds.Load{remote(0, 1), remote(0, 1), remote(0, 1), remote(0, 1)}, 4.0),
	Entry("a later burst", []bounds.Load{remote(0, 100), remote(50, 100), remote(50, 100), remote(50, 100)}, 16.0),
)

// simulateFetches runs a schedule of remote loads in small time steps and returns
// when each is done. Of the loads that may run, the first two in the order use
// the store.
func simulateFetches(loads []bounds.Load, order []int) []float64 {
	const step = 0.05
	remaining := make([]float64, len(loads))
	started := make([]bool, len(loads))
	done := make([]float64, len(loads))
	for index, load := range loads {
		remaining[index] = load.Bytes
		done[index] = -1
	}
	tokens, now := 1.0, 0.0
	for slices.Contains(done, -1) {
		active := 0
		for _, index := range order {
			if done[index] >= 0 || now < loads[index].Release || active == store.FullSpeedLoads {
				continue
			}
			if !started[index] {
				if tokens < 1 {
					continue
				}
				tokens--
				started[index] = true
			}
			active++
			remaining[index] -= step * store.BytesPerSecond
			if remaining[index] <= 0 {
				done[index] = now + step + loads[index].Tail
			}
		}
		now += step
		tokens = min(store.Burst, tokens+step*store.LoadsPerSecond)
	}
	return done
}

var _ = Describe("the reactive bound", func() {
	It("holds for any order of loads", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			loads := make([]bounds.Load, 1+random.IntN(12))
			for index := range loads {
				loads[index] = remote(float64(random.IntN(20)), float64(1+random.IntN(120)))
			}
			requests := firstRequests(loads)
			for range random.IntN(10) {
				needed := random.IntN(len(loads))
				requests = append(requests, bounds.FirstRequest{At: loads[needed].Release + float64(random.IntN(30)), Loads: []int{needed}})
			}
			done := simulateFetches(loads, random.Perm(len(loads)))
			waits := make([]float64, len(requests))
			for index, request := range requests {
				waits[index] = max(0, done[request.Loads[0]]-request.At)
			}
			for _, quantile := range []float64{0.5, 0.8, 0.99} {
				NewWithT(t).Expect(bounds.Reactive(requests, loads, store, quantile)).
					To(BeNumerically("<=", bounds.Quantile(waits, quantile)+1e-6))
			}
		})
	})
})

var _ = DescribeTable("the idle bound of one model",
	func(model bounds.ModelWorkload, expected float64) {
		Expect(bounds.Idle([]bounds.ModelWorkload{model}, 0, 1000, 0)).To(BeNumerically("~", expected, 1e-9))
	},
	Entry("never called", bounds.ModelWorkload{Accelerators: 2, FirstLoad: 10, NextLoad: 5}, 0.0),
	Entry("called once: one load", bounds.ModelWorkload{Accelerators: 2, FirstLoad: 10, NextLoad: 5, Requests: requestsAt(100)}, 20.0),
	Entry("the model stays loaded over a short gap", bounds.ModelWorkload{Accelerators: 1, FirstLoad: 10, NextLoad: 5, Requests: requestsAt(100, 104)}, 13.0),
	Entry("the model is loaded again after a long gap", bounds.ModelWorkload{Accelerators: 1, FirstLoad: 10, NextLoad: 5, Requests: requestsAt(100, 300)}, 15.0),
	Entry("a window allows two requests to share a load without idling", bounds.ModelWorkload{
		Accelerators: 1, FirstLoad: 10, NextLoad: 5,
		Requests: []bounds.Request{{At: 100, Window: 4, Seconds: 1}, {At: 104, Window: 4, Seconds: 1}},
	}, 10.0),
	Entry("a minimum of one replica", bounds.ModelWorkload{Accelerators: 1, AlwaysLoaded: true, Requests: requestsAt(100, 300)}, 998.0),
)

// requestsAt returns requests of one second without a window.
func requestsAt(times ...float64) []bounds.Request {
	var requests []bounds.Request
	for _, at := range times {
		requests = append(requests, bounds.Request{At: at, Seconds: 1})
	}
	return requests
}

// keepAliveIdle returns the idle accelerator seconds of a schedule with a fixed
// keep-alive. In each session the model is loaded by the earliest end of the
// windows of the requests that wait for it.
func keepAliveIdle(model *bounds.ModelWorkload, keepAlive float64) float64 {
	cost, upFrom, upUntil, busyUntil, load := 0.0, math.Inf(1), math.Inf(-1), math.Inf(-1), model.FirstLoad
	for index, request := range model.Requests {
		if request.At > upUntil {
			if index > 0 {
				cost += upUntil - busyUntil
			}
			cost += load
			load = model.NextLoad
			upFrom = request.At + request.Window
			for _, later := range model.Requests[index:] {
				if later.At <= upFrom {
					upFrom = min(upFrom, later.At+later.Window)
				}
			}
			busyUntil = upFrom
		}
		start := max(request.At, upFrom)
		cost += max(0, start-busyUntil)
		busyUntil = max(busyUntil, start+request.Seconds)
		upUntil = busyUntil + keepAlive
	}
	return model.Accelerators * cost
}

var _ = Describe("the idle bound", func() {
	It("holds for any keep-alive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
			model := bounds.ModelWorkload{Accelerators: float64(1 + random.IntN(3)), NextLoad: float64(1 + random.IntN(20))}
			model.FirstLoad = model.NextLoad + float64(random.IntN(20))
			at := 100.0
			for range 1 + random.IntN(20) {
				at += random.ExpFloat64() * 15
				model.Requests = append(model.Requests, bounds.Request{
					At: at, Window: float64(random.IntN(12)), Seconds: 1 + 5*random.Float64(),
				})
			}
			bound := bounds.Idle([]bounds.ModelWorkload{model}, 0, 10000, 0)
			for _, keepAlive := range []float64{0, 1, 5, 20, 100} {
				NewWithT(t).Expect(bound).To(BeNumerically("<=", keepAliveIdle(&model, keepAlive)+1e-6), "keep-alive %v of %+v", keepAlive, model)
			}
			NewWithT(t).Expect(bounds.Idle([]bounds.ModelWorkload{model}, 0, 10000, 1)).To(BeNumerically("<=", bound+1e-9))
		})
	})
})

var _ = DescribeTable("the nearest-rank quantile",
	func(quantile, expected float64, exempt int) {
		values := []float64{5, 1, 4, 2, 3}
		Expect(bounds.Quantile(values, quantile)).To(Equal(expected))
		Expect(bounds.Exempt(len(values), quantile)).To(Equal(exempt))
	},
	Entry("median", 0.5, 3.0, 2),
	Entry("80 %", 0.8, 4.0, 1),
	Entry("99 %", 0.99, 5.0, 0),
	Entry("largest", 1.0, 5.0, 0),
)
