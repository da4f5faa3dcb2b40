package placevalue_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // makes property tests repeatable
	"github.com/hatchplank/hatchplank/internal/placevalue"
)

func TestPlaceValue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Place Value Suite")
}

// callerTime is how long the callers of these models wait for a response.
const callerTime = 5 * time.Second

// fullGroup returns a model with 6 requests per second on some servers of 24 slots, each with
// this load, all of it the model's own.
func fullGroup(servers int, load float64) placevalue.Group {
	count := float64(servers)
	return placevalue.Group{Servers: servers, Load: count * load, Capacity: count * 24, Own: count * load, Rate: 6, CallerTime: callerTime}
}

var _ = Describe("the gain of a replica", func() {
	idle := placevalue.Server{Load: 2, Capacity: 24}

	// Guards against replicas for models whose servers have room.
	It("is nothing worth a load where slots are free", func() {
		Expect(fullGroup(2, 8).Gain(idle)).To(BeNumerically("<", 0.001))
		Expect(fullGroup(2, 8).Crowded()).To(BeFalse())
	})

	// Guards against a model in deep overload that gets no replica, since one alone makes no
	// server's queue short.
	It("is positive where all servers stay full", func() {
		Expect(fullGroup(4, 70).Gain(idle)).To(BeNumerically(">", 0.1))
	})

	// Guards against replicas beyond what relieves the servers, and against a model that needs
	// several and never gets the first.
	It("is there until the servers have room", func() {
		for servers, wanted := range []bool{1: true, 2: true, 3: true, 4: false, 5: false, 6: false} {
			if servers > 0 {
				Expect(fullGroup(servers, 66/float64(servers)).Gain(idle) > 0.05).To(Equal(wanted), "%d servers", servers)
			}
		}
	})

	// Guards against replicas on servers that are slow, or full of other models' requests.
	It("is lower on a slow and on a loaded server", func() {
		group := fullGroup(1, 30)
		Expect(group.Gain(placevalue.Server{Load: 2, Capacity: 24 / 1.7})).To(BeNumerically("<", group.Gain(idle)))
		Expect(group.Gain(placevalue.Server{Load: 20, Capacity: 24})).To(BeNumerically("<", group.Gain(idle)))
		Expect(group.Gain(placevalue.Server{Load: 40, Capacity: 24})).To(BeZero())
	})

	// Guards against a replica for a model that shares full servers but doesn't fill them.
	It("is not sought for a model with a small share of the load", func() {
		group := fullGroup(2, 20)
		group.Own = 6
		Expect(group.Crowded()).To(BeFalse())
	})

	// Guards against a replica that is worthless as soon as it is there, and would be evicted
	// and loaded in turn.
	It("is what its removal loses", func() {
		group := fullGroup(3, 20)
		group.Load, group.Own = 54, 54
		there := placevalue.Server{Capacity: 24}
		added := group
		added.Servers, added.Capacity = 4, 96
		Expect(added.RemovalLoss()).To(BeNumerically("~", group.Gain(there), 1e-9))
	})

	// Guards against losses that are no numbers, which no comparison of costs would notice.
	It("and the loss by its removal never are negative and grow with the rate", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			servers := rapid.IntRange(1, 9).Draw(t, "servers")
			group := fullGroup(servers, rapid.Float64Range(0, 90).Draw(t, "load"))
			group.Own = group.Load * rapid.Float64Range(0, 1).Draw(t, "own")
			target := placevalue.Server{Load: rapid.Float64Range(0, 90).Draw(t, "there"), Capacity: rapid.Float64Range(0, 40).Draw(t, "capacity")}
			twice := group
			twice.Rate *= 2
			for _, pair := range [][2]float64{{group.Gain(target), twice.Gain(target)}, {group.RemovalLoss(), twice.RemovalLoss()}} {
				if pair[0] < 0 || pair[1] < pair[0] || pair[1] != pair[1] {
					t.Fatalf("%v", pair)
				}
			}
		})
	})
})

var _ = Describe("the loss of a model's only replica", func() {
	loss := func(idle, reload time.Duration, rate float64) float64 {
		return placevalue.LastReplica{Idle: idle, Reload: reload, Rate: rate, CallerTime: callerTime}.Loss()
	}

	// Guards against rare models that count as never used once their average rate has decayed.
	It("is that of a model requested 0.08 times a second, 12 s after a request", func() {
		Expect(loss(12*time.Second, 13*time.Second, 0.0125)).To(BeNumerically("~", 0.08, 0.04))
	})

	It("falls with idle time, and grows with the load time and the store's contention", func() {
		Expect(loss(time.Minute, 13*time.Second, 0)).To(BeNumerically("<", loss(time.Second, 13*time.Second, 0)))
		Expect(loss(time.Second, 400*time.Millisecond, 0)).To(BeNumerically("<", loss(time.Second, 13*time.Second, 0)))
		contended := placevalue.LastReplica{Idle: time.Second, Reload: 13 * time.Second, CallerTime: callerTime, StoreContended: true}
		Expect(contended.Loss()).To(BeNumerically(">", loss(time.Second, 13*time.Second, 0)))
	})
})

var _ = Describe("the loss of a request that waits", func() {
	// Guards against prices that don't follow from the time that callers have: half of its caller's time is half of a
	// request, and nothing is lost twice.
	It("is the share of its caller's time", func() {
		Expect(placevalue.WaitLoss(3*time.Second, 6*time.Second)).To(Equal(0.5))
		Expect(placevalue.WaitLoss(3*time.Second, 12*time.Second)).To(Equal(0.25))
		Expect(placevalue.WaitLoss(13*time.Second, 6*time.Second)).To(Equal(1.0))
		Expect(placevalue.WaitLoss(-time.Second, 6*time.Second)).To(BeZero())
		Expect(placevalue.WaitLoss(time.Second, 0)).To(Equal(1.0), "nothing is known of the callers")
	})

	// Guards against a queue that is taken for shorter than it is: 6 of 30 requests find no slot among 24 even where the
	// load does not vary.
	It("counts those that wait for a slot", func() {
		Expect(placevalue.Waiting(30, 24)).To(BeNumerically(">", 6))
		Expect(placevalue.Waiting(70, 24)).To(BeNumerically("~", 46, 0.1))
		Expect(placevalue.Waiting(5, 24)).To(BeNumerically("<", 0.001))
		Expect(placevalue.Waiting(5, 0)).To(BeNumerically(">=", 5))
	})
})

var _ = Describe("a request's weight", func() {
	// Guards against priorities read upside down: 0 is the most urgent.
	It("falls with the number of its priority", func() {
		Expect(placevalue.Weight(0)).To(Equal(1.0))
		Expect(placevalue.Weight(-3)).To(Equal(1.0))
		Expect(placevalue.Weight(4)).To(BeNumerically("<", placevalue.Weight(3)))
		Expect(placevalue.Weight(99)).To(Equal(placevalue.Weight(9)))
		Expect(placevalue.Weight(9)).To(BeNumerically(">", 0))
	})
})
