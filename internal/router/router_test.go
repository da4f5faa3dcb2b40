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

// set replaces the endpoints by a new snapshot.
func (s fakeSource) set(endpoints ...directory.Endpoint) *directory.Snapshot {
	s[model] = &directory.Snapshot{Group: model, Endpoints: endpoints}
	return s[model]
}

func endpoint(server string, change ...func(*directory.Endpoint)) directory.Endpoint {
	made := directory.Endpoint{Server: outside.ServerID(server), Zone: "near", Model: model, Version: "2", MaxBatch: 4}
	for _, apply := range change {
		apply(&made)
	}
	return made
}

func newRouter(gateways int) (*Router, fakeSource, *simulation.Loop) {
	loop := simulation.NewLoop(1)
	source := fakeSource{}
	return New(Config{
		Clock: loop, Random: rand.New(rand.NewPCG(1, 2)), Source: source, Zone: "near", Slack: 1,
		Gateways: func() int { return gateways },
	}), source, loop
}

func draining(e *directory.Endpoint)   { e.Draining = true }
func oldVersion(e *directory.Endpoint) { e.Version = "1" }
func far(e *directory.Endpoint)        { e.Zone = "far" }
func withTone(e *directory.Endpoint)   { e.Adapters = []string{"tone", "other"} }
func loaded(e *directory.Endpoint)     { e.Running = 4 }

var _ = DescribeTable("the choice between a and b",
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
	Entry("not the draining one", draining, far, Request{}, "b"),
	Entry("none if both drain", draining, draining, Request{}, ""),
	Entry("the version of the table", oldVersion, far, Request{Version: "2"}, "b"),
	Entry("the old version if there is no other", oldVersion, draining, Request{Version: "2"}, "a"),
	Entry("the pinned version", oldVersion, far, Request{PinnedVersion: "1"}, "a"),
	Entry("none without the pinned version", far, far, Request{PinnedVersion: "1"}, ""),
	Entry("the one with the adapter", far, withTone, Request{Adapter: "tone"}, "b"),
	Entry("none without the adapter", far, far, Request{Adapter: "tone"}, ""),
	Entry("the less loaded", loaded, far, Request{}, "b"),
	Entry("the near one", far, func(*directory.Endpoint) {}, Request{}, "b"),
	Entry("not the avoided one", func(*directory.Endpoint) {}, far, Request{Avoid: "a"}, "b"),
	Entry("the avoided one if there is no other", func(*directory.Endpoint) {}, draining, Request{Avoid: "a"}, "a"),
	Entry("the one with fewer adapters, for the bare model", withTone, func(*directory.Endpoint) {}, Request{}, "b"),
)

var _ = Describe("Router", func() {
	It("limits the requests in flight and gives places back", func() {
		router, source, _ := newRouter(1)
		source.set(endpoint("a"))
		var places []Reservation
		for range 4 {
			places = append(places, router.Pick(model, &Request{}).Reservation)
		}
		Expect(router.Pick(model, &Request{}).Verdict).To(Equal(Full))
		router.Done(places[0], Succeeded, nil)
		Expect(router.Pick(model, &Request{}).Verdict).To(Equal(Reserved))
	})

	It("keeps its counts when the endpoints are told anew", func() {
		router, source, _ := newRouter(1)
		source.set(endpoint("a"))
		place := router.Pick(model, &Request{}).Reservation
		source.set(endpoint("b"))
		Expect(router.Capacity(model).InFlight).To(BeZero())
		source.set(endpoint("a"), endpoint("b"))
		Expect(router.Capacity(model).InFlight).To(Equal(1))
		router.Done(place, Succeeded, nil)
		Expect(router.Capacity(model).InFlight).To(BeZero())
	})

	It("leaves places to the other nodes, never less than its fair part", func() {
		router, source, loop := newRouter(2)
		source.set(endpoint("a", loaded)).MeasuredAt = loop.Now()
		Expect(router.Capacity(model).Limit).To(Equal(2))
		place := router.Pick(model, &Request{}).Reservation
		router.Done(place, Succeeded, &outside.LoadHint{Running: 1})
		Expect(router.Capacity(model).Limit).To(Equal(3))
		loop.RunFor(2 * hintLifetime)
		Expect(router.Capacity(model).Limit).To(Equal(4))
	})

	It("takes only its part of the free places if others send too", func() {
		router, source, loop := newRouter(9)
		source.set(endpoint("a", func(e *directory.Endpoint) { e.MaxBatch = 12 })).Gateways = 3
		Expect(router.Capacity(model).Limit).To(Equal(4))
		place := router.Pick(model, &Request{}).Reservation
		router.Done(place, Succeeded, &outside.LoadHint{Running: 1})
		// Of the 11 free places, 4 are granted, whoever asks how often.
		for range 4 {
			place = router.Pick(model, &Request{}).Reservation
		}
		Expect(router.Pick(model, &Request{}).Verdict).To(Equal(Full))
		router.Done(place, Succeeded, &outside.LoadHint{Running: 3})
		Expect(router.Capacity(model).Limit).To(Equal(3 + 3))
		loop.RunFor(2 * hintLifetime)
		Expect(router.Capacity(model).Limit).To(Equal(4))
	})

	It("grants no places by a report that may be older than its own requests", func() {
		router, source, loop := newRouter(9)
		tell := func() {
			idle := endpoint("a", func(e *directory.Endpoint) { e.MaxBatch = 12 })
			snapshot := source.set(idle)
			snapshot.Gateways, snapshot.MeasuredAt = 3, loop.Now()
		}
		tell()
		router.Pick(model, &Request{})
		loop.RunFor(reportLag / 2)
		tell()
		Expect(router.Capacity(model).Limit).To(Equal(4))
		loop.RunFor(reportLag)
		tell()
		Expect(router.Capacity(model).Limit).To(Equal(1 + 4))
	})

	It("lets a failing endpoint rest, longer each time, and probes it once", func() {
		router, source, loop := newRouter(1)
		source.set(endpoint("a"))
		for range failuresToOpen {
			router.Done(router.Pick(model, &Request{}).Reservation, Failed, nil)
		}
		first := router.Pick(model, &Request{})
		Expect(first.Verdict).To(Equal(CircuitOpen))
		Expect(first.RetryAt).To(BeTemporally("<=", loop.Now().Add(firstRest)))
		loop.RunUntil(first.RetryAt)
		probe := router.Pick(model, &Request{})
		Expect(probe.Verdict).To(Equal(Reserved))
		Expect(router.Pick(model, &Request{}).Verdict).To(Equal(CircuitOpen))
		router.Done(probe.Reservation, Failed, nil)
		second := router.Pick(model, &Request{})
		Expect(second.RetryAt).To(BeTemporally(">=", loop.Now().Add(firstRest)))
		loop.RunUntil(second.RetryAt)
		router.ResponseStarted(router.Pick(model, &Request{}).Reservation)
		Expect(router.Pick(model, &Request{}).Verdict).To(Equal(Reserved))
	})

	It("lets all endpoints of an unreachable server rest, and probes it once for all", func() {
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
		Expect(waiting.RetryAt).To(Equal(loop.Now().Add(probeWait)))
		router.ResponseStarted(probe.Reservation)
		for _, group := range groups {
			Expect(router.Pick(group, &Request{}).Verdict).To(Equal(Reserved), group)
		}
	})

	It("lets other endpoints of a server with a failing one go on", func() {
		router, source, _ := newRouter(1)
		source.set(endpoint("a"))
		source["n"] = &directory.Snapshot{Group: "n", Endpoints: []directory.Endpoint{endpoint("a")}}
		for range failuresToOpen {
			router.Done(router.Pick(model, &Request{}).Reservation, Failed, nil)
		}
		Expect(router.Pick(model, &Request{}).Verdict).To(Equal(CircuitOpen))
		Expect(router.Pick("n", &Request{}).Verdict).To(Equal(Reserved))
	})

	It("counts the failures of requests in flight together as one", func() {
		router, source, loop := newRouter(1)
		source.set(endpoint("a"))
		var places []Reservation
		for range 4 {
			places = append(places, router.Pick(model, &Request{}).Reservation)
		}
		for _, place := range places {
			router.Done(place, Failed, nil)
		}
		Expect(router.Pick(model, &Request{}).RetryAt).To(BeTemporally("<=", loop.Now().Add(firstRest)))
	})

	It("sends a prefix to the same endpoint until that is overrun", func() {
		router, source, _ := newRouter(1)
		source.set(endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d"))
		request := Request{PrefixHash: HashPrefix([]byte("You are an admissions officer."))}
		preferred := router.Pick(model, &request).Reservation
		router.Done(preferred, Succeeded, nil)
		for range 20 {
			place := router.Pick(model, &request).Reservation
			Expect(place.Endpoint.Server).To(Equal(preferred.Endpoint.Server))
			router.Done(place, Succeeded, nil)
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

// BenchmarkPick measures one choice among 18 endpoints.
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
	It("rests no longer than the bound", func() {
		random := rand.New(rand.NewPCG(3, 4))
		now := time.Unix(0, 0)
		var b breaker
		for range 40 {
			b.fail(now, random)
			Expect(b.openUntil.Sub(now)).To(BeNumerically("<=", longestRest))
			if b.openUntil.After(now) {
				now = b.openUntil
			}
		}
	})
})
