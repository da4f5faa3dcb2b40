package api_test

import (
	"net/http/httptest"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/hatchplank/hatchplank/internal/telemetry"
)

// gatherText returns the metrics in the Prometheus text format.
func gatherText(metrics *telemetry.Metrics) string {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest("GET", "/metrics", nil)
	promhttp.HandlerFor(metrics.Registry(), promhttp.HandlerOpts{}).ServeHTTP(recorder, request)
	return recorder.Body.String()
}
