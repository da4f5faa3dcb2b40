package examples_test

import (
	"path"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/examples"
	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/table"
)

func TestExamples(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "examples")
}

var _ = DescribeTable("A deployment has its full sizes",
	func(name string, zones, engines, backEnds, models, adapters, tenants, fullSpeed int, loads float64) {
		deployment, err := examples.Load(name)
		Expect(err).NotTo(HaveOccurred())
		workload := deployment.Workload
		Expect(workload.Zones).To(HaveLen(zones))
		Expect(workload.Engines[0].Count).To(Equal(engines))
		Expect(workload.BackEnds[0].Count).To(Equal(backEnds))
		Expect(workload.WeightStore.FullSpeedLoads).To(Equal(fullSpeed))
		Expect(workload.WeightStore.LoadsPerSecond).To(Equal(loads))
		Expect(deployment.Settings.Tenants).To(HaveLen(tenants))
		kinds := map[table.Kind]int{}
		for _, row := range deployment.Rows {
			kinds[row.Kind]++
		}
		Expect(kinds).To(Equal(map[table.Kind]int{table.KindModel: models, table.KindAdapter: adapters}))
	},
	Entry("schools", examples.Schools, 4, 18, 4, 60, 95, 3, 6, 3.0),
	Entry("abay", examples.Abay, 3, 18, 3, 40, 100, 25, 13, 4.0),
)

var _ = DescribeTable("A deployment holds together", func(name string) {
	deployment, err := examples.Load(name)
	Expect(err).NotTo(HaveOccurred())
	fleet := deployment.Constraints().FleetMemoryBytes
	Expect(table.MinimumMemory(deployment.Rows)).To(BeNumerically("<", fleet/50), "minima are rare")
	Expect(memoryAtMaximum(deployment.Rows)).To(BeNumerically(">", fleet), "not everything fits at once")
	for _, class := range deployment.Workload.Generations {
		matching := 0
		for _, row := range deployment.Rows {
			if class.Matches(row.Name) {
				matching++
				Expect(class.TimeLimit).To(BeNumerically("<=", row.TimeLimit), row.Name)
			}
		}
		Expect(matching).To(BeNumerically(">", 0), class.Name)
	}
	for _, call := range deployment.Workload.Calls {
		Expect(deployment.Settings.Pools.BackEnds).To(ContainElement(SatisfyAll(
			HaveField("Name", call.Pool), HaveField("TimeLimit", BeNumerically(">=", call.TimeLimit)))))
	}
	Expect(deployment.Settings.Pools.Engines).To(ConsistOf(deployment.Workload.Engines[0].Pool))
	Expect(deployment.Settings.Node.Region).To(Equal(deployment.Workload.Region))
	for _, cell := range deployment.Settings.Cells {
		Expect(cell.Region).To(Equal(deployment.Workload.Region))
		for _, zone := range cell.Zones {
			Expect(deployment.Workload.Zones).To(ContainElement(zone))
		}
	}
	credentials, err := deployment.Settings.Credentials()
	Expect(err).NotTo(HaveOccurred())
	keyring, err := auth.NewKeyring(credentials)
	Expect(err).NotTo(HaveOccurred())
	for _, tenant := range deployment.Settings.TenantNames() {
		principal, known := keyring.Authenticate("Bearer example-" + tenant + "-operator")
		Expect(known).To(BeTrue(), tenant)
		Expect(principal).To(Equal(auth.Principal{Tenant: tenant, Role: auth.RoleOperator}))
	}
	principal, known := keyring.Authenticate("Bearer example-" + path.Base(name) + "-admin")
	Expect(known).To(BeTrue())
	Expect(principal.Role).To(Equal(auth.RoleAdmin))
},
	Entry("schools", examples.Schools),
	Entry("abay", examples.Abay),
)

func memoryAtMaximum(rows []table.Row) int64 {
	var total int64
	for _, row := range rows {
		if row.Kind == table.KindModel {
			total += row.MemoryBytes * int64(row.MaxReplicas)
		}
	}
	return total
}

var _ = Describe("The schools' calendar", func() {
	It("opens within minutes, ramps linearly, tails off and recurs", func() {
		deployment, err := examples.Load(examples.Schools)
		Expect(err).NotTo(HaveOccurred())
		workload := deployment.Workload
		rates := workload.Generations[0].Rates
		Expect(workload.RateAt(rates, 9*time.Minute)).To(Equal(rates["quiet"]))
		Expect(workload.RateAt(rates, 10*time.Minute+90*time.Second)).To(BeNumerically("~", 15, 0.01))
		Expect(workload.RateAt(rates, 14*time.Minute)).To(BeNumerically("~", 30, 1e-6))
		Expect(workload.RateAt(rates, 40*time.Minute)).To(BeNumerically("~", 18, 0.01))
		Expect(workload.RateAt(rates, 2*time.Hour)).To(BeNumerically("~", 6, 1e-6))
		Expect(workload.RateAt(rates, 10*time.Hour)).To(Equal(rates["quiet"]))
		Expect(workload.RateAt(rates, 168*time.Hour+14*time.Minute)).To(BeNumerically("~", 30, 1e-6))
		Expect(workload.PhaseAt(time.Hour).Name).To(Equal("tail"))
		Expect(workload.PhaseAt(0).Name).To(Equal("quiet"))
		Expect(workload.Openings(170 * time.Hour)).To(Equal(
			[]time.Duration{10 * time.Minute, 168*time.Hour + 10*time.Minute, 96 * time.Hour}))
	})
})

var _ = Describe("Load", func() {
	It("refuses a deployment it does not have", func() {
		_, err := examples.Load("crete")
		Expect(err).To(MatchError(examples.ErrUnknown))
	})
})
