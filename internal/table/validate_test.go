package table_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/table"
)

var _ = Describe("Validate", func() {
	constraints := table.Constraints{
		Tenants:           []string{"attica"},
		FleetMemoryBytes:  1 << 40,
		ServerMemoryBytes: 640 << 30,
	}

	It("accepts a valid table", func() {
		Expect(table.Validate([]table.Row{model("m"), adapter("a", "m")}, constraints)).To(BeEmpty())
	})

	DescribeTable("reports row, column and allowed values of a problem",
		func(change func(*table.Row), column, allowed string) {
			row := model("m")
			change(&row)
			problems := table.Validate([]table.Row{row}, constraints)
			Expect(problems).To(ContainElement(SatisfyAll(
				HaveField("Row", row.Name), HaveField("Column", column), HaveField("Allowed", ContainSubstring(allowed)))))
			Expect(problems).To(HaveLen(1))
		},
		Entry("no name", func(r *table.Row) { r.Name = "" }, "name", "letters"),
		Entry("bad name", func(r *table.Row) { r.Name = "-m" }, "name", "letters"),
		Entry("slash in name", func(r *table.Row) { r.Name = "a/b" }, "name", "letters"),
		Entry("version too long", func(r *table.Row) { r.Version = strings.Repeat("1", 65) }, "version", "at most 64"),
		Entry("kind", func(r *table.Row) { r.Kind = "dataset" }, "kind", "model or adapter"),
		Entry("model with base", func(r *table.Row) { r.Base = "x" }, "base", "only adapters"),
		Entry("adapter without base", func(r *table.Row) { r.Kind = table.KindAdapter }, "base", "base model"),
		Entry("adapter of unknown base", func(r *table.Row) { r.Kind, r.Base = table.KindAdapter, "x" }, "base", "a model in the table"),
		Entry("adapter of itself", func(r *table.Row) { r.Kind, r.Base = table.KindAdapter, "m" }, "base", "kind model"),
		Entry("no weights", func(r *table.Row) { r.WeightBytes = 0 }, "weights", "more than 0"),
		Entry("memory below weights", func(r *table.Row) { r.MemoryBytes = 1 << 30 }, "memory", "at least the weights, 16GiB"),
		Entry("memory above a server", func(r *table.Row) { r.MemoryBytes = 641 << 30 }, "memory", "640GiB"),
		Entry("unknown tenant", func(r *table.Row) { r.Tenant = "crete" }, "tenant", "tenant of the settings"),
		Entry("priority", func(r *table.Row) { r.Priority = 10 }, "priority", "0 to 9"),
		Entry("weight", func(r *table.Row) { r.Weight = 0 }, "weight", "1 to 1000"),
		Entry("minimum above maximum", func(r *table.Row) { r.MinReplicas = 5 }, "min_replicas", "max_replicas, 4"),
		Entry("negative minimum", func(r *table.Row) { r.MinReplicas = -1 }, "min_replicas", "0 to"),
		Entry("maximum", func(r *table.Row) { r.MaxReplicas = 10_001 }, "max_replicas", "0 to 10000"),
		Entry("time limit", func(r *table.Row) { r.TimeLimit = 2 * time.Hour }, "time_limit", "100ms to 1h"),
	)

	It("reports a repeated name", func() {
		problems := table.Validate([]table.Row{model("m"), model("m")}, constraints)
		Expect(problems).To(ConsistOf(SatisfyAll(HaveField("Row", "m"), HaveField("Allowed", "each name once"))))
	})

	It("limits an adapter's replicas to those of its base", func() {
		tuned := adapter("a", "m")
		tuned.MinReplicas, tuned.MaxReplicas = 5, 5
		problems := table.Validate([]table.Row{model("m"), tuned}, constraints)
		Expect(problems).To(HaveLen(2))
	})

	It("lists all problems at once", func() {
		row := model("m")
		row.Priority, row.Weight, row.Tenant, row.Version = -1, 1001, "", ""
		Expect(table.Validate([]table.Row{row, model("n"), row}, constraints)).To(HaveLen(9))
	})

	It("rejects minimum replicas that exceed the engines' memory, bases of adapters included", func() {
		base, tuned := model("m"), adapter("a", "m")
		base.MaxReplicas, tuned.MaxReplicas = 30, 30
		tuned.MinReplicas = 25
		Expect(table.MinimumMemory([]table.Row{base, tuned})).To(Equal(int64(25) * (40<<30 + 400_000_000)))
		Expect(table.Validate([]table.Row{base, tuned}, constraints)).To(BeEmpty())
		tuned.MinReplicas = 26
		Expect(table.Validate([]table.Row{base, tuned}, constraints)).To(ConsistOf(
			HaveField("Allowed", ContainSubstring("1TiB"))))
	})
})
