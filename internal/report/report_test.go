package report_test

import (
	"bytes"
	"encoding/json"
	"image/png"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/emulator"
	"github.com/hatchplank/hatchplank/internal/report"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "report")
}

// outcome has two seeds with idle hours a little apart.
func outcome(label string, idle float64) emulator.PolicyOutcome {
	made := emulator.PolicyOutcome{Choice: emulator.PolicyChoice{Label: label, ColdStartWeight: -1}}
	for seed := range 2 {
		made.Figures = append(made.Figures, emulator.PolicyFigures{
			Label: label, Seed: uint64(seed), IdleHours: idle + float64(seed), IdleBound: 2, SameWaitsBound: 4,
			Cold: emulator.Tail{P50: 1, P95: 5, P99: 30, Max: 40}, ColdBound: 20, Refused: 3,
			Loads: map[string]int{"disk": 7}, Waits: []float64{0, 1, 30},
		})
		made.Timeline = append(made.Timeline, emulator.TimelinePoint{At: float64(60 * seed), Waiting: seed, Loaded: 3, Wasted: 100})
	}
	return made
}

var _ = Describe("A report of policies", func() {
	outcomes := []emulator.PolicyOutcome{outcome("lru", 10), outcome("ours", 6)}

	It("ends in the agreed line of JSON", func() {
		var line bytes.Buffer
		Expect(report.WritePolicySummary(&line, "abay", 4, outcomes, "ours")).To(Succeed())
		Expect(line.String()).To(MatchJSON(`{"deployment":"abay","seed":4,"product":"ours","policies":{
			"lru":{"cold_p99_s":30,"cold_p99_ratio":1.5,"idle_hours":10.5,"idle_ratio":5.25,"refused":3},
			"ours":{"cold_p99_s":30,"cold_p99_ratio":1.5,"idle_hours":6.5,"idle_ratio":3.25,"refused":3}}}`))
		Expect(bytes.Count(line.Bytes(), []byte("\n"))).To(Equal(1))
		Expect(json.Valid(line.Bytes())).To(BeTrue())
	})

	It("has a table of means and one of paired differences", func() {
		var text bytes.Buffer
		Expect(report.WritePolicyTable(&text, outcomes)).To(Succeed())
		Expect(text.String()).To(MatchRegexp(`ours .* 6\.50 ±6\.35`))
		text.Reset()
		Expect(report.WritePairedTable(&text, outcomes, "ours")).To(Succeed())
		Expect(text.String()).To(MatchRegexp(`lru .* -4 `))
	})

	It("is a page that refers to no other file, with its plots", func() {
		directory := filepath.Join(GinkgoT().TempDir(), "new")
		Expect(report.WritePolicyReport(directory, "abay", outcomes, "ours")).To(Succeed())
		page, err := os.ReadFile(filepath.Join(directory, "abay-policies.html"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).NotTo(MatchRegexp(`(src|href)="[^d"]`))
		Expect(bytes.Count(page, []byte(`src="data:image/png;base64,`))).To(Equal(6))
		plots, err := filepath.Glob(filepath.Join(directory, "*.png"))
		Expect(err).NotTo(HaveOccurred())
		Expect(plots).To(HaveLen(6))
		file, err := os.Open(plots[0])
		Expect(err).NotTo(HaveOccurred())
		defer file.Close()
		_, err = png.Decode(file)
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = DescribeTable("an estimate", func(values []float64, mean, halfWidth float64) {
	estimate := report.EstimateOf(values)
	Expect(estimate.Mean).To(BeNumerically("~", mean, 1e-3))
	Expect(estimate.HalfWidth).To(BeNumerically("~", halfWidth, 1e-3))
},
	Entry("of nothing", nil, 0.0, 0.0),
	Entry("of one value", []float64{3}, 3.0, 0.0),
	// The 97.5 % quantile of Student's t with 4 degrees of freedom is 2.776.
	Entry("of five", []float64{1, 2, 3, 4, 5}, 3.0, 2.776*1.5811/2.2361),
)
