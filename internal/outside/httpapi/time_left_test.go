package httpapi

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.DescribeTable("the parsed time left",
	func(value string, expected time.Duration, valid bool) {
		left, err := ParseTimeLeft(value)
		gomega.Expect(err == nil).To(gomega.Equal(valid))
		gomega.Expect(left).To(gomega.Equal(expected))
	},
	ginkgo.Entry("a formatted value", FormatTimeLeft(1500*time.Millisecond), 1500*time.Millisecond, true),
	ginkgo.Entry("of a deadline that has passed", FormatTimeLeft(-time.Second), time.Duration(0), true),
	ginkgo.Entry("more than any deadline", "9223372036854775807", maxTimeLeft, true),
	ginkgo.Entry("negative", "-1", time.Duration(0), false),
	ginkgo.Entry("not a number", "2026-12-02T08:00:00Z", time.Duration(0), false),
	ginkgo.Entry("empty", "", time.Duration(0), false),
)
