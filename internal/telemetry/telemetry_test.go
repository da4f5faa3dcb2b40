package telemetry_test

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/logging"
	"github.com/hatchplank/hatchplank/internal/telemetry"
)

func TestTelemetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Telemetry Suite")
}

const metricsPage = "../../docs/operators/metrics.md"

var _ = Describe("logs", func() {
	It("contain the non-empty fields of a decision", func() {
		var output bytes.Buffer
		logger, err := logging.NewLogger(&output, "info", "node-1")
		Expect(err).NotTo(HaveOccurred())
		logger.Debug().Msg("below the level")
		decision := telemetry.Decision{Request: "r", Revision: 7, Epoch: 3, Model: "m", HasSlot: true, Reason: "cold"}
		logger.Info().EmbedObject(decision).Msg("load")
		var line map[string]any
		Expect(json.Unmarshal(output.Bytes(), &line)).To(Succeed())
		Expect(line).To(HaveKey("time"))
		delete(line, "time")
		Expect(line).To(Equal(map[string]any{
			"level": "info", "node": "node-1", "message": "load",
			"request": "r", "revision": 7.0, "epoch": 3.0, "model": "m", "slot": 0.0, "reason": "cold",
		}))
	})

	DescribeTable("reject an unknown level", func(level string) {
		_, err := logging.NewLogger(&bytes.Buffer{}, level, "node")
		Expect(err).To(HaveOccurred())
	}, Entry("a word", "loud"), Entry("nothing", ""))
})

var _ = Describe("metrics", func() {
	It("are all documented, and nothing else is", func() {
		metrics := telemetry.NewMetrics()
		metrics.Requests.WithLabelValues("/v1/models", "ok").Inc()
		metrics.Duration.WithLabelValues("/v1/models").Observe(1)
		metrics.Anomalies.WithLabelValues("head_too_long").Inc()
		families, err := metrics.Registry().Gather()
		Expect(err).NotTo(HaveOccurred())
		page, err := os.ReadFile(metricsPage)
		Expect(err).NotTo(HaveOccurred())
		gathered := map[string]bool{}
		for _, family := range families {
			gathered[family.GetName()] = true
		}
		for _, description := range telemetry.Descriptions {
			Expect(gathered).To(HaveKey(description.Name))
			Expect(string(page)).To(ContainSubstring("| `" + description.Name + "` | " + description.Type + " | " + description.Labels + " | " + description.Meaning + " |"))
		}
		for name := range gathered {
			if bytes.HasPrefix([]byte(name), []byte("hatchplank_")) {
				Expect(string(page)).To(ContainSubstring("`" + name + "`"))
			}
		}
	})

	It("of other components are gathered once registered", func() {
		metrics := telemetry.NewMetrics()
		Expect(metrics.RegisterGauge("hatchplank_test_waiting", "Waiting.", func() float64 { return 4 })).To(Succeed())
		Expect(metrics.RegisterGauge("hatchplank_test_waiting", "Waiting.", func() float64 { return 5 })).NotTo(Succeed())
		Expect(metrics.RegisterCounter("hatchplank_test_total", "All.", func() float64 { return 2 })).To(Succeed())
		families, err := metrics.Registry().Gather()
		Expect(err).NotTo(HaveOccurred())
		values := map[string]float64{}
		for _, family := range families {
			metric := family.GetMetric()[0]
			values[family.GetName()] = metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
		}
		Expect(values["hatchplank_test_waiting"]).To(Equal(4.0))
		Expect(values["hatchplank_test_total"]).To(Equal(2.0))
	})
})
