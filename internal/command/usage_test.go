package command

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("a wrong call ends with the code of wrong usage",
	func(arguments ...string) { Expect(Execute(arguments)).To(Equal(ExitUsage)) },
	Entry("no such command", "foo"),
	Entry("no such flag", "--foo"),
	Entry("no such stand-in", "standin", "disk"),
	Entry("a word too many for a stand-in", "standin", "all", "extra"),
	Entry("no such experiment", "experiment", "foo"),
	Entry("no such table verb", "table", "foo"),
	Entry("no settings", "serve"),
)
