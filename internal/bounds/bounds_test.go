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
	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // property tests repeat
)

func TestBounds(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bounds")
}

// store moves 10 bytes a second for each of two loads at full speed.
var store = bounds.Store{LoadsPerSecond: 1, Burst: 1, FullSpeedLoads: 2, BytesPerSecond: 10}

func remote(release, bytes float64) bounds.Load {
	return bounds.Load{Release: release, Bytes: bytes, Remote: true, Seconds: bytes/10 + 1, Tail: 1}
}

// called returns a first request for each load, at its release.
func called(loads []bounds.Load) []bounds.FirstRequest {
	requests := make([]bounds.FirstRequest, len(loads))
	for index, load := range loads {
		requests[index] = bounds.FirstRequest{At: load.Release, Loads: []int{index}}
	}
	return requests
}

var _ = DescribeTable("the reactive bound",
	func(loads []bounds.Load, expected float64) {
		Expect(bounds.Reactive(called(loads), loads, store, 0.99)).To(BeNumerically("~", expected, 0.02))
	},
	Entry("nothing", nil, 0.0),
	Entry("one load", []bounds.Load{remote(0, 100)}, 11.0),
	Entry("a cached one", []bounds.Load{{Seconds: 3, Bytes: 1e9}}, 3.0),
	Entry("two at full speed", []bounds.Load{remote(0, 100), remote(5, 100)}, 11.0),
	Entry("four share the bandwidth of two", []bounds.Load{remote(0, 100), remote(0, 100), remote(0, 100), remote(0, 100)}, 21.0),
	Entry("small ones wait for their turn to start", []bounds.Load{remote(0, 1), remote(0, 1), remote(0, 1), remote(0, 1)}, 4.0),
	Entry("a later burst", []bounds.Load{remote(0, 100), remote(50, 100), remote(50, 100), remote(50, 100)}, 16.0),
)

// fetches is a schedule of remote loads in small steps: the order decides which
// two of those that may run get the store.
func fetches(loads []bounds.Load, order []int) []float64 {
	const step = 0.05
	left := make([]float64, len(loads))
	started := make([]bool, len(loads))
	done := make([]float64, len(loads))
	for index, load := range loads {
		left[index] = load.Bytes
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
			left[index] -= step * store.BytesPerSecond
			if left[index] <= 0 {
				done[index] = now + step + loads[index].Tail
			}
		}
		now += step
		tokens = min(store.Burst, tokens+step*store.LoadsPerSecond)
	}
	return done
}

var _ = Describe("the reactive bound", func() {
	It("is not beaten by any order of loads", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			loads := make([]bounds.Load, 1+random.IntN(12))
			for index := range loads {
				loads[index] = remote(float64(random.IntN(20)), float64(1+random.IntN(120)))
			}
			requests := called(loads)
			for range random.IntN(10) {
				needed := random.IntN(len(loads))
				requests = append(requests, bounds.FirstRequest{At: loads[needed].Release + float64(random.IntN(30)), Loads: []int{needed}})
			}
			done := fetches(loads, random.Perm(len(loads)))
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
	Entry("called once: one load", bounds.ModelWorkload{Accelerators: 2, FirstLoad: 10, NextLoad: 5, Requests: services(100)}, 20.0),
	Entry("a short gap is kept", bounds.ModelWorkload{Accelerators: 1, FirstLoad: 10, NextLoad: 5, Requests: services(100, 104)}, 13.0),
	Entry("a long gap is paid by a load", bounds.ModelWorkload{Accelerators: 1, FirstLoad: 10, NextLoad: 5, Requests: services(100, 300)}, 15.0),
	Entry("a window joins two requests", bounds.ModelWorkload{
		Accelerators: 1, FirstLoad: 10, NextLoad: 5,
		Requests: []bounds.Request{{At: 100, Window: 4, Seconds: 1}, {At: 104, Window: 4, Seconds: 1}},
	}, 10.0),
	Entry("a minimum", bounds.ModelWorkload{Accelerators: 1, AlwaysLoaded: true, Requests: services(100, 300)}, 998.0),
)

func services(times ...float64) []bounds.Request {
	var made []bounds.Request
	for _, at := range times {
		made = append(made, bounds.Request{At: at, Seconds: 1})
	}
	return made
}

// wasted is the time that a schedule with a fixed keep-alive wastes, which
// brings the model up at the end of the first request's window.
func wasted(model *bounds.ModelWorkload, keepAlive float64) float64 {
	cost, upFrom, upUntil, busyUntil, load := 0.0, math.Inf(1), math.Inf(-1), math.Inf(-1), model.FirstLoad
	for index, service := range model.Requests {
		if service.At > upUntil {
			if index > 0 {
				cost += upUntil - busyUntil
			}
			cost += load
			load = model.NextLoad
			upFrom = service.At + service.Window
			for _, later := range model.Requests[index:] {
				if later.At <= upFrom {
					upFrom = min(upFrom, later.At+later.Window)
				}
			}
			busyUntil = upFrom
		}
		start := max(service.At, upFrom)
		cost += max(0, start-busyUntil)
		busyUntil = max(busyUntil, start+service.Seconds)
		upUntil = busyUntil + keepAlive
	}
	return model.Accelerators * cost
}

var _ = Describe("the idle bound", func() {
	It("is not beaten by any keep-alive", func() {
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
				NewWithT(t).Expect(bound).To(BeNumerically("<=", wasted(&model, keepAlive)+1e-6), "keep-alive %v of %+v", keepAlive, model)
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
