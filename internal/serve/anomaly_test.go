package serve

import (
	"bytes"
	"errors"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/telemetry"
)

// Guards against responses that are cut without a trace: each is counted, and logged within a rate limit.
func TestResponseAnomaliesAreLoggedAndCounted(t *testing.T) {
	RegisterTestingT(t)
	var lines bytes.Buffer
	process := &Process{logger: zerolog.New(&lines), metrics: telemetry.NewMetrics()}
	options := process.clientOptions()
	const anomalies = 1000
	for range anomalies {
		options.OnAnomaly(exchange.Anomaly{Kind: exchange.AnomalyHeadTooLong, Address: "s:1", Cause: errors.New("too long")})
	}
	Expect(lines.String()).To(HavePrefix(`{"level":"warn","kind":"head_too_long","address":"s:1","connection":0,"exchange":0,"status":0,"error":"too long","message":"response anomaly"}`))
	Expect(bytes.Count(lines.Bytes(), []byte("\n"))).To(BeNumerically("<", anomalies))
	families, err := process.metrics.Registry().Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if family.GetName() == "hatchplank_response_anomalies_total" {
			Expect(family.GetMetric()).To(HaveLen(1))
			Expect(family.GetMetric()[0].GetLabel()[0].GetValue()).To(Equal("head_too_long"))
			Expect(family.GetMetric()[0].GetCounter().GetValue()).To(BeEquivalentTo(anomalies))
			return
		}
	}
	t.Fatal("no counter of response anomalies")
}
