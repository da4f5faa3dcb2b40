package command_test

import (
	"bytes"
	"context"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/command"
)

// runStandin runs the command until it has started, and returns its output.
func runStandin(arguments ...string) (string, error) {
	ended, end := context.WithCancel(context.Background())
	end()
	standin := command.NewStandinCommand()
	output := &bytes.Buffer{}
	standin.SetOut(output)
	standin.SetErr(output)
	standin.SetArgs(arguments)
	err := standin.ExecuteContext(ended)
	return output.String(), err
}

var _ = ginkgo.DescribeTable("standin prints the address of each stand-in",
	func(part, deployment string, names []string, count int) {
		output, err := runStandin(part, "--deployment", deployment)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		lines := strings.Split(strings.TrimSpace(output), "\n")
		gomega.Expect(lines).To(gomega.HaveLen(count))
		for _, name := range names {
			gomega.Expect(output).To(gomega.MatchRegexp(`(?m)^` + name + ` +127\.0\.0\.1:\d+$`))
		}
	},
	ginkgo.Entry(nil, "all", "schools", []string{"kv", "weights", "machines", "glossa-18", "eggrafi-04"}, 25),
	ginkgo.Entry(nil, "all", "abay", []string{"kv", "weights", "machines", "lm-pool-18", "channel-api-03"}, 24),
	ginkgo.Entry(nil, "kv", "abay", []string{"kv"}, 1),
	ginkgo.Entry(nil, "engine", "abay", []string{"lm-pool-01"}, 18),
	ginkgo.Entry(nil, "server", "abay", []string{"channel-api-01"}, 3),
)

var _ = ginkgo.DescribeTable("standin refuses",
	func(fault string, arguments ...string) {
		_, err := runStandin(arguments...)
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(fault)))
	},
	ginkgo.Entry("an unknown deployment", "known: abay, schools", "all", "--deployment", "north"),
	ginkgo.Entry("a machine list apart without ports", "base port", "machines"),
	ginkgo.Entry("a time scale of zero", "TimeScale", "all", "--time-scale", "0"),
	ginkgo.Entry("an address that is no IP number", "Listen", "all", "--listen", "localhost"),
)
