package ratelimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestPartitionAtAnUnusedLimitGrantsItOnce: the counter node is partitioned with a third of the nodes while
// its bucket is full, and all nodes then ask for more than the limit.
func TestPartitionAtAnUnusedLimitGrantsItOnce(t *testing.T) {
	for name, before := range map[string]float64{"unused": 0, "half used": 0.5, "used up": 4} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, quotaNodes, func(f *fleet) {
				f.inUse.Store(true)
				time.Sleep(quota.Window)
				used := &usage{}
				counter := f.takeQuota(0).CountedBy
				if before > 0 {
					f.useQuota(before, quota.Window, used)
				}
				_, smaller := f.without(counter, 3, quotaNodes/3)
				for _, address := range smaller {
					f.SetPart(address, 1)
				}
				began := time.Now()
				f.useQuota(4, 2*quota.Window, used)
				time.Sleep(time.Second)
				sum, byCounter := used.maxInWindow()
				Expect(sum).To(BeNumerically("<=", quotaTolerance), "%v", byCounter)
				Expect(used.total(began)).To(BeNumerically(">=", 0.9*2*8*quota.Rate))
			})
		})
	}
}
