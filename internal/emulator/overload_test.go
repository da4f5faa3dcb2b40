package emulator

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("overload", func() {
	It("leaves goodput, limits, priorities and shares as they should be", func() {
		capacity := MeasureCapacity(1)
		Expect(capacity).To(BeNumerically(">", 10))
		for _, factor := range []float64{1, 3} {
			point := RunOverload(1, capacity, factor)
			GinkgoWriter.Printf("%+v\n", point)
			Expect(point.LateOrMissing).To(BeZero())
			Expect(point.Goodput).To(BeNumerically(">", 0.9*capacity))
			Expect(point.ServedHigh).To(BeNumerically(">", 0.98))
		}
		point := RunOverload(1, capacity, 3)
		for i, tenant := range OverloadTenants {
			Expect(point.Shares[i]).To(BeNumerically("~", float64(tenant.Weight)/100, 0.04), tenant.Name)
		}
	})

	It("does not multiply the failures of a pool by retries", func() {
		Expect(RunRetries(1, 0).Amplification).To(BeNumerically("~", 1, 0.01))
		half := RunRetries(1, 0.5)
		Expect(half.Amplification).To(BeNumerically("<", 1.15))
		Expect(half.Served).To(BeNumerically(">", half.Requests/2))
	})
})
