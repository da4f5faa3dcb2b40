package contract

import (
	"errors"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// DescribeEngineOrders declares the specifications of the orders and reports of
// outside.EngineService for a binding.
func DescribeEngineOrders(binding string, setUp func() *EngineFixture) {
	ginkgo.Describe("EngineService's orders over "+binding, func() {
		var fixture *EngineFixture
		ginkgo.BeforeEach(func() { fixture = setUp() })

		ginkgo.It("carries every field of commands and states", func() {
			fixture.load()
			state, err := fixture.state(0)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(state.Server).To(gomega.Equal(fixture.Server))
			gomega.Expect(state.Fence).To(gomega.Equal(outside.Fence{Epoch: 1, Sequence: 1}))
			gomega.Expect(state.UsedBytes).To(gomega.Equal(int64(2 << 30)))
			replica := state.Replicas[0]
			gomega.Expect(replica.Model).To(gomega.Equal(contractModel))
			gomega.Expect(replica.Version).To(gomega.Equal("1"))
			gomega.Expect(replica.Slot).To(gomega.Equal(outside.SlotID(2)))
			gomega.Expect(replica.Attempt).To(gomega.Equal(outside.AttemptID("load-1")))
			gomega.Expect(state.MeasuredAt).To(gomega.BeTemporally("<=", fixture.Now()))
		})

		ginkgo.It("answers unchanged to the version that it told", func() {
			state, err := fixture.state(0)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			unchanged, err := fixture.state(state.Version)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(unchanged).To(gomega.BeNil())
			fixture.load()
			changed, err := fixture.state(state.Version)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(changed.Version).To(gomega.BeNumerically(">", state.Version))
		})

		ginkgo.DescribeTable("applies nothing of an order that is not accepted",
			func(fence outside.Fence, incarnation outside.Incarnation, accepted bool, reason string) {
				fixture.fence = outside.Fence{Epoch: 1, Sequence: 4}
				_, err := fixture.nextOrder()
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				result, err := fixture.order(outside.Order{
					Server: fixture.Server, Fence: fence, Incarnation: incarnation,
					Commands: []outside.Command{loadCommand("load-1")},
				})
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(result.Accepted).To(gomega.Equal(accepted))
				gomega.Expect(result.Reason).To(gomega.Equal(reason))
				if !accepted {
					gomega.Expect(result.State.Replicas).To(gomega.BeEmpty())
				}
			},
			ginkgo.Entry("a higher sequence", outside.Fence{Epoch: 1, Sequence: 6}, outside.Incarnation(""), true, ""),
			ginkgo.Entry("a higher epoch", outside.Fence{Epoch: 2, Sequence: 1}, outside.Incarnation(""), true, ""),
			ginkgo.Entry("the same fence", outside.Fence{Epoch: 1, Sequence: 5}, outside.Incarnation(""), false, "stale_fence"),
			ginkgo.Entry("a lower epoch", outside.Fence{Epoch: 0, Sequence: 9}, outside.Incarnation(""), false, "stale_fence"),
			ginkgo.Entry("another incarnation", outside.Fence{Epoch: 2, Sequence: 1}, outside.Incarnation("earlier"), false, "other_incarnation"),
		)

		ginkgo.It("ends with an error when the reply is lost, though the order was applied", func() {
			fixture.SetFault(EngineLosesOrderReply)
			_, err := fixture.nextOrder()
			expectUnreachable(err)
			state, err := fixture.state(0)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(state.Fence).To(gomega.Equal(fixture.fence))
		})

		ginkgo.DescribeTable("ends with an error when there is no answer",
			func(fault EngineFault) {
				fixture.SetFault(fault)
				_, err := fixture.nextOrder()
				expectUnreachable(err)
				_, err = fixture.state(0)
				expectUnreachable(err)
			},
			ginkgo.Entry(nil, EngineHangs),
			ginkgo.Entry(nil, EngineDead),
		)

		ginkgo.It("ends with an error for a server it does not know", func() {
			_, err := fixture.order(outside.Order{Server: "no-such-server", Fence: outside.Fence{Epoch: 1}})
			expectUnreachable(err)
		})
	})
}

func expectUnreachable(err error) {
	ginkgo.GinkgoHelper()
	gomega.Expect(errors.Is(err, outside.ErrServerUnreachable)).To(gomega.BeTrue(), "error: %v", err)
}
