package contract

import (
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// WeightStoreFixture is one binding with one store behind it, which allows 3
// loads a second and 6 at once at full speed.
type WeightStoreFixture struct {
	Drive
	Service outside.WeightStoreService
	// Fetch begins a load that does not end within the suite.
	Fetch       func()
	SetSlowDown func(factor float64)
	SetOutage   func(outage bool)
}

// Limits of a WeightStoreFixture's store.
const (
	WeightStoreLoadsPerSecond = 3
	WeightStoreFullSpeedLoads = 6
)

func (f *WeightStoreFixture) status() (status outside.WeightStoreStatus, err error) {
	ended := make(chan struct{})
	f.Service.Status(200*time.Millisecond, func(read outside.WeightStoreStatus, failure error) {
		status, err = read, failure
		close(ended)
	})
	f.Await(ended)
	return status, err
}

// DescribeWeightStoreService declares the specifications of
// outside.WeightStoreService for a binding.
func DescribeWeightStoreService(binding string, setUp func() *WeightStoreFixture) {
	ginkgo.Describe("WeightStoreService over "+binding, func() {
		var fixture *WeightStoreFixture
		ginkgo.BeforeEach(func() { fixture = setUp() })

		ginkgo.DescribeTable("tells the store's load",
			func(change func(), active int, slowDown float64) {
				change()
				status, err := fixture.status()
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(status).To(gomega.Equal(outside.WeightStoreStatus{
					Active:         active,
					FullSpeedLoads: WeightStoreFullSpeedLoads,
					LoadsPerSecond: WeightStoreLoadsPerSecond,
					SlowDown:       slowDown,
				}))
			},
			ginkgo.Entry("at rest", func() {}, 0, 1.0),
			ginkgo.Entry("with a load", func() { fixture.Fetch() }, 1, 1.0),
			ginkgo.Entry("slowed down", func() { fixture.SetSlowDown(4) }, 0, 4.0),
		)

		ginkgo.It("ends a call during an outage with an error", func() {
			fixture.SetOutage(true)
			_, err := fixture.status()
			gomega.Expect(errors.Is(err, outside.ErrServerUnreachable)).To(gomega.BeTrue(), "error: %v", err)
			fixture.SetOutage(false)
			_, err = fixture.status()
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		})
	})
}
