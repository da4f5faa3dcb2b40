package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Router")
}

type fakeSource map[string]*directory.Snapshot

func (s fakeSource) Snapshot(group string) *directory.Snapshot { return s[group] }

const model = "m"

// set replaces the endpoints with a new snapshot.
func (s fakeSource) set(endpoints ...directory.Endpoint) *directory.Snapshot {
	s[model] = &directory.Snapshot{Group: model, Endpoints: endpoints}
	return s[model]
}

// endpoint returns an endpoint in the router's zone with the changes applied.
func endpoint(server string, change ...func(*directory.Endpoint)) directory.Endpoint {
	built := directory.Endpoint{Server: outside.ServerID(server), Zone: "near", Model: model, Version: "2", MaxBatch: 4}
	for _, apply := range change {
		apply(&built)
	}
	return built
}

func newRouter(gateways int) (*Router, fakeSource, *simulation.Loop) {
	loop := simulation.NewLoop(1)
	source := fakeSource{}
	return New(Config{
		Clock: loop, Random: rand.New(rand.NewPCG(1, 2)), Source: source, Zone: "near", Slack: 1,
		Gateways: func() int { return gateways },
	}), source, loop
}

func draining(e *directory.Endpoint)        { e.Draining = true }
func oldVersion(e *directory.Endpoint)      { e.Version = "1" }
func inFarZone(e *directory.Endpoint)       { e.Zone = "far" }
func withToneAdapter(e *directory.Endpoint) { e.Adapters = []string{"tone", "other"} }
func loaded(e *directory.Endpoint)          { e.Running = 4 }

var _ = DescribeTable("the selection between a and b",
	func(a, b func(*directory.Endpoint), request Request, expected string) {
		for range 20 {
			router, source, loop := newRouter(1)
			source.set(endpoint("a", a), endpoint("b", b)).MeasuredAt = loop.Now()
			choice := router.Pick(model, &request)
			if expected == "" {
				Expect(choice.Verdict).To(Equal(NoEndpoint))
				continue
			}
			Expect(choice.Verdict).To(Equal(Reserved))
			Expect(choice.Reservation.Endpoint.Server).To(BeEquivalentTo(expected))
		}
	},
	Entry("skips a draining endpoint", draining, inFarZone, Request{}, "b"),
	Entry("finds none if both are draining", draining, draining, Request{}, ""),
	Entry("prefers the version of the table", oldVersion, inFarZone, Request{Version: "2"}, "b"),
	Entry("falls back to the old version", oldVersion, draining, Request{Version: "2"}, "a"),
	Entry("requires the pinned version", oldVersion, inFarZone, Request{PinnedVersion: "1"}, "a"),
	Entry("finds none without the pinned version", inFarZone, inFarZone, Request{PinnedVersion: "1"}, ""),
	Entry("requires the adapter", inFarZone, withToneAdapter, Request{Adapter: "tone"}, "b"),
	Entry("finds none without the adapter", inFarZone, inFarZone, Request{Adapter: "tone"}, ""),
	Entry("prefers the endpoint with less load", loaded, inFarZone, Request{}, "b"),
	Entry("prefers the node's own zone", inFarZone, func(*directory.Endpoint) {}, Request{}, "b"),
	Entry("skips the avoided server", func(*directory.Endpoint) {}, inFarZone, Request{Avoid: "a"}, "b"),
	Entry("falls back to the avoided server", func(*directory.Endpoint) {}, draining, Request{Avoid: "a"}, "a"),
	Entry("prefers fewer adapters for a request without one", withToneAdapter, func(*directory.Endpoint) {}, Request{}, "b"),
)

var _ = Describe("Router", func() {
	It("limits the requests in flight and releases their slots", func() {
		router, source, _ := newRouter(1)
		source.set(endpoint("a"))
		var reservations []Reservation
		for range 4 {
			reservations = append(reservations, router.Pick(model, &Request{}).Reservation)
		}
		Expect(router.Pick(model, &Request{}).Verdict).To(Equal(Full))
		router.Done(reservations[0], Succeeded, nil)
		Expect(router.Pick(model, &Request{}).Verdict).To(Equal(Reserved))
	})

	It("keeps its counts when the endpoints are replaced", func() {
		router, source, _ := newRouter(1)
		source.set(endpoint("a"))
		reservation := router.Pick(model, &Request{}).Reservation
		source.set(endpoint("b"))
		Expect(router.Capacity(model).InFlight).To(BeZero())
		source.set(endpoint("a"), endpoint("b"))
		Expect(router.Capacity(model).InFlight).To(Equal(1))
		router.Done(reservation, Succeeded, nil)
		Expect(router.Capacity(model).InFlight).To(BeZero())
	})

	It("leaves capacity to other nodes, but keeps its equal share", func() {
		router, source, loop := newRouter(2)
		source.set(endpoint("a", loaded)).MeasuredAt = loop.Now()
		Expect(router.Capacity(model).Limit).To(Equal(2))
		reservation := router.Pick(model, &Request{}).Reservation
		router.Done(reservation, Succeeded, &outside.LoadHint{Running: 1})
		Expect(router.Capacity(model).Limit).To(Equal(3))
		loop.RunFor(2 * reportedLoadTTL)
		Expect(router.Capacity(model).Limit).To(Equal(4))
	})

	It("uses only its share of the free capacity if other nodes send too", func() {
		router, source, loop := newRouter(9)
		source.set(endpoint("a", func(e *directory.Endpoint) { e.MaxBatch = 12 })).Gateways = 3
		Expect(router.Capacity(model).Limit).To(Equal(4))
		reservation := router.Pick(model, &Request{}).Reservation
		router.Done(reservation, Succeeded, &outside.LoadHint{Running: 1})
		// 4 of the 11 free slots are granted, however often capacity is requested.
		for range 4 {
			reservation = router.Pick(model, &Request{}).Reservation
		}
		Expect(router.Pick(model, &Request{}).Verdict).To(Equal(Full))
		router.Done(reservation, Succeeded, &outside.LoadHint{Running: 3})
		Expect(router.Capacity(model).Limit).To(Equal(3 + 3))
		loop.RunFor(2 * reportedLoadTTL)
		Expect(router.Capacity(model).Limit).To(Equal(4))
	})

	It("renews no grant by a report that may be older than its own requests", func() {
		router, source, loop := newRouter(9)
		reportIdle := func() {
			idle := endpoint("a", func(e *directory.Endpoint) { e.MaxBatch = 12 })
			snapshot := source.set(idle)
			snapshot.Gateways, snapshot.MeasuredAt = 3, loop.Now()
		}
		reportIdle()
		router.Pick(model, &Request{})
		loop.RunFor(maxReportLag / 2)
		reportIdle()
		Expect(router.Capacity(model).Limit).To(Equal(4))
		loop.RunFor(maxReportLag)
		reportIdle()
		Expect(router.Capacity(model).Limit).To(Equal(1 + 4))
	})

	It("opens the breaker of a failing endpoint, longer each time, and sends one probe", func() {
		router, source, loop := newRouter(1)
		source.set(endpoint("a"))
		for range failuresToOpen {
			router.Done(router.Pick(model, &Request{}).Reservation, Failed, nil)
		}
		first := router.Pick(model, &Request{})
		Expect(first.Verdict).To(Equal(CircuitOpen))
		Expect(first.RetryAt).To(BeTemporally("<=", loop.Now().Add(minOpenTime)))
		loop.RunUntil(first.RetryAt)
		probe := router.Pick(model, &Request{})
		Expect(probe.Verdict).To(Equal(Reserved))
		Expect(router.Pick(model, &Request{}).Verdict).To(Equal(CircuitOpen))
		router.Done(probe.Reservation, Failed, nil)
		second := router.Pick(model, &Request{})
		Expect(second.RetryAt).To(BeTemporally(">=", loop.Now().Add(minOpenTime)))
		loop.RunUntil(second.RetryAt)
		router.ResponseStarted(router.Pick(model, &Request{}).Reservation)
		Expect(router.Pick(model, &Request{}).Verdict).To(Equal(Reserved))
	})

	It("opens the breaker for all endpoints of an unreachable server, and sends one probe for all", func() {
		router, source, loop := newRouter(1)
		groups := []string{model, "n", "o"}
		for _, group := range groups {
			source[group] = &directory.Snapshot{Group: group, Endpoints: []directory.Endpoint{endpoint("a")}}
		}
		for range failuresToOpen {
			router.Done(router.Pick(model, &Request{}).Reservation, Unreachable, nil)
		}
		var retryAt time.Time
		for _, group := range groups {
			choice := router.Pick(group, &Request{})
			Expect(choice.Verdict).To(Equal(CircuitOpen), group)
			Expect(router.Capacity(group).Usable).To(BeZero())
			retryAt = choice.RetryAt
		}
		loop.RunUntil(retryAt)
		probe := router.Pick("n", &Request{})
		Expect(probe.Verdict).To(Equal(Reserved))
		waiting := router.Pick("o", &Request{})
		Expect(waiting.Verdict).To(Equal(CircuitOpen))
		Expect(waiting.RetryAt).To(Equal(loop.Now().Add(probePollPeriod)))
		router.ResponseStarted(probe.Reservation)
		for _, group := range groups {
			Expect(router.Pick(group, &Request{}).Verdict).To(Equal(Reserved), group)
		}
	})

	It("keeps using other endpoints of a server with a failing one", func() {
		router, source, _ := newRouter(1)
		source.set(endpoint("a"))
		source["n"] = &directory.Snapshot{Group: "n", Endpoints: []directory.Endpoint{endpoint("a")}}
		for range failuresToOpen {
			router.Done(router.Pick(model, &Request{}).Reservation, Failed, nil)
		}
		Expect(router.Pick(model, &Request{}).Verdict).To(Equal(CircuitOpen))
		Expect(router.Pick("n", &Request{}).Verdict).To(Equal(Reserved))
	})

	It("counts concurrent failures as one", func() {
		router, source, loop := newRouter(1)
		source.set(endpoint("a"))
		var reservations []Reservation
		for range 4 {
			reservations = append(reservations, router.Pick(model, &Request{}).Reservation)
		}
		for _, reservation := range reservations {
			router.Done(reservation, Failed, nil)
		}
		Expect(router.Pick(model, &Request{}).RetryAt).To(BeTemporally("<=", loop.Now().Add(minOpenTime)))
	})

	It("sends a prefix to the same endpoint until its load exceeds the bound", func() {
		router, source, _ := newRouter(1)
		source.set(endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d"))
		request := Request{PrefixHash: HashPrefix([]byte("You are an admissions officer."))}
		preferred := router.Pick(model, &request).Reservation
		router.Done(preferred, Succeeded, nil)
		for range 20 {
			reservation := router.Pick(model, &request).Reservation
			Expect(reservation.Endpoint.Server).To(Equal(preferred.Endpoint.Server))
			router.Done(reservation, Succeeded, nil)
		}
		counts := map[outside.ServerID]int{}
		for range 12 {
			counts[router.Pick(model, &request).Reservation.Endpoint.Server]++
		}
		Expect(counts).To(HaveLen(4))
	})

	It("spreads requests evenly", func() {
		router, source, _ := newRouter(1)
		wide := func(e *directory.Endpoint) { e.MaxBatch = 1000 }
		source.set(endpoint("a", wide), endpoint("b", wide), endpoint("c", wide), endpoint("d", wide))
		counts := map[outside.ServerID]int{}
		for range 1000 {
			counts[router.Pick(model, &Request{}).Reservation.Endpoint.Server]++
		}
		for server, count := range counts {
			Expect(count).To(BeNumerically("~", 250, 25), string(server))
		}
	})
})

// BenchmarkPick measures one selection among 18 endpoints.
func BenchmarkPick(bm *testing.B) {
	router, source, _ := newRouter(4)
	var endpoints []directory.Endpoint
	for index := range 18 {
		endpoints = append(endpoints, endpoint(fmt.Sprintf("s%d", index), func(e *directory.Endpoint) { e.MaxBatch = 64 }))
	}
	source.set(endpoints...)
	request := Request{Version: "2", PrefixHash: 42}
	bm.ReportAllocs()
	for bm.Loop() {
		router.Done(router.Pick(model, &request).Reservation, Succeeded, nil)
	}
}

var _ = Describe("Breaker", func() {
	It("stays open no longer than the maximum", func() {
		random := rand.New(rand.NewPCG(3, 4))
		now := time.Unix(0, 0)
		var b breaker
		for range 40 {
			b.recordFailure(now, random)
			Expect(b.openUntil.Sub(now)).To(BeNumerically("<=", maxOpenTime))
			if b.openUntil.After(now) {
				now = b.openUntil
			}
		}
	})
})
