package keyvalue_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

var _ = Describe("Simulated", func() {
	DescribeTable("calls a write ambiguous when either way is cut",
		func(from, to string, applied bool) {
			world := newWorld(1)
			_, service := world.client("client")
			world.network.Cut = func(f, t string) bool { return f == from && t == to }
			var ends []error
			service.Transact(put("key/a", "1"), timeout, func(_ outside.TransactionResult, err error) { ends = append(ends, err) })
			world.loop.RunFor(time.Minute)
			Expect(ends).To(HaveExactElements(MatchError(outside.ErrAmbiguous)))
			Expect(world.store.Records(0)).To(HaveLen(map[bool]int{true: 1}[applied]))
		},
		Entry("to the service", "client", "kv", false),
		Entry("from the service", "kv", "client", true),
	)

	It("serves a request that the network repeats once", func() {
		world := newWorld(1)
		_, service := world.client("client")
		world.network.ConditionsOf = func(string, string) simulation.Conditions {
			return simulation.Conditions{Delay: time.Millisecond, Duplication: 1}
		}
		service.Transact(put("key/a", "1"), timeout, func(outside.TransactionResult, error) {})
		world.loop.RunFor(time.Minute)
		Expect(world.store.Records(0)).To(HaveLen(1))
	})

	Describe("a watch", func() {
		var (
			world   *world
			process *simulation.Process
			service *keyvalue.Simulated
			seen    *watcher
		)
		BeforeEach(func() {
			world = newWorld(1)
			process, service = world.client("client")
			seen = &watcher{loop: world.loop}
			service.Watch("key/", world.store.Revision(), seen)
			world.loop.RunFor(100 * time.Millisecond)
			Expect(world.store.Watches()).To(Equal(1))
		})

		It("keeps the order when the network does not", func() {
			world.network.ConditionsOf = func(string, string) simulation.Conditions {
				return simulation.Conditions{Delay: time.Millisecond, Jitter: 100 * time.Millisecond, Duplication: 0.3}
			}
			for number := range 100 {
				world.write("key/a", fmt.Sprint(number))
			}
			world.loop.RunFor(10 * time.Second)
			Expect(seen.lost).To(BeEmpty())
			Expect(seen.revisions).To(HaveLen(100))
			Expect(slices.IsSorted(seen.revisions)).To(BeTrue())
		})

		DescribeTable("is lost within the limit when messages are",
			func(disturb func(), limit time.Duration) {
				start := world.loop.Now()
				disturb()
				world.loop.RunFor(time.Minute)
				Expect(seen.lost).To(HaveLen(1))
				Expect(seen.lostAt.Sub(start)).To(BeNumerically("<=", limit))
				Expect(seen.revisions).To(BeEmpty())
			},
			Entry("one message", func() {
				world.network.Cut = func(string, string) bool { return true }
				world.write("key/a", "1")
				world.network.Cut = func(string, string) bool { return false }
			}, 2*time.Second),
			Entry("one message, and others follow", func() {
				world.network.Cut = func(string, string) bool { return true }
				world.write("key/a", "1")
				world.network.Cut = func(string, string) bool { return false }
				world.write("key/a", "2")
			}, time.Second),
			Entry("all", func() { world.network.Cut = func(string, string) bool { return true } }, 4*time.Second),
			Entry("those of a dead service", func() { world.server.Kill() }, 4*time.Second),
		)

		It("is dropped by the service when its client is killed", func() {
			process.Kill()
			world.write("key/a", "1")
			Expect(world.store.Watches()).To(BeZero())
			world.loop.RunFor(time.Minute)
			Expect(seen.revisions).To(BeEmpty())
			Expect(seen.lost).To(BeEmpty())
		})

		It("leaves no timer behind", func() {
			process.Kill()
			world.loop.RunFor(time.Hour)
			executed := world.loop.Executed()
			world.loop.RunFor(time.Hour)
			Expect(world.loop.Executed()).To(Equal(executed))
		})
	})
})
