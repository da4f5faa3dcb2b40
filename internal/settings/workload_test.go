package settings_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/settings"
)

var _ = DescribeTable("LoadWorkload reports the key and the allowed values",
	func(old, replacement, key, allowed string) {
		file, err := os.ReadFile("../../examples/schools/workload.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(file)).To(ContainSubstring(old))
		_, problems := settings.LoadWorkload([]byte(strings.Replace(string(file), old, replacement, 1)))
		Expect(problems).To(HaveLen(1))
		Expect(problems[0]).To(SatisfyAll(HaveField("Key", key), HaveField("Allowed", ContainSubstring(allowed))))
	},
	Entry("rate of an unknown phase", "{quiet: 0.002, opening: 30,", "{quiet: 0.002, rush: 30,", "generations[0].rates.rush", "name of a phase"),
	Entry("negative rate", "quiet: 0.002, opening: 30", "quiet: -1, opening: 30", "generations[0].rates[quiet]", "at least 0"),
	Entry("pattern", `"*-dossier-*"`, `"[dossier"`, "generations[0].rows", "a pattern"),
	Entry("unknown pool", "pool: eggrafi\n", "pool: glossa\n", "calls[0].pool", "back_ends"),
	Entry("ramp longer than the phase", "duration: 20m, ramp: 3m", "duration: 20m, ramp: 30m", "phases[1].ramp", "at most"),
	Entry("tail below the median", "{median: 3500, p99: 12000}", "{median: 3500, p99: 1200}", "generations[0].prompt.p99", "at least"),
	Entry("share", "non_repeatable: 1\n", "non_repeatable: 1.5\n", "calls[0].non_repeatable", "at most 1"),
	Entry("no load at all", "loads_per_second: 3", "loads_per_second: 0", "weight_store.loads_per_second", "more than 0"),
	Entry("unknown key", "batch: 32", "batches: 32\n    batch: 32", "engines[0].batches", "one of the keys"),
)
