package command

import (
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("experiment policies refuses", func(message string, arguments ...string) {
	command := newPoliciesCommand()
	command.SetArgs(arguments)
	command.SetOut(io.Discard)
	command.SetErr(io.Discard)
	command.SilenceErrors, command.SilenceUsage = true, true
	Expect(command.Execute()).To(MatchError(ContainSubstring(message)))
},
	Entry("an unknown policy", "unknown policy", "--policy", "hatchplank,best"),
	Entry("an unknown deployment", "unknown deployment", "--deployment", "crete"),
	Entry("no run", "--runs", "--runs", "0"),
	Entry("too many runs", "--runs", "--runs", "100000"),
	Entry("no worker", "--workers", "--workers", "0"),
	Entry("arguments", "unknown command", "now"),
)

var _ = Describe("experiment policies", func() {
	It("runs the policies asked for, and the curve after them", func() {
		options := &policiesOptions{policy: "pinned,hatchplank", curve: true}
		choices, err := options.choices()
		Expect(err).NotTo(HaveOccurred())
		var labels []string
		for _, choice := range choices {
			labels = append(labels, choice.Label)
		}
		Expect(labels).To(Equal([]string{
			"pinned", "hatchplank", "hatchplank@0", "hatchplank@0.1", "hatchplank@0.25",
			"hatchplank@0.5", "hatchplank@0.8", "hatchplank@1",
		}))
	})
})
