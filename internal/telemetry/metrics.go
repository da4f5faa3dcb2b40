// Package telemetry defines the node's metrics and the fields of logged decisions.
package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics holds the metrics of the node's HTTP interface. A test compares
// docs/operators/metrics.md with Descriptions.
type Metrics struct {
	registry *prometheus.Registry

	// Requests counts completed requests by path and by name of the result code.
	Requests *prometheus.CounterVec
	// InFlight is the number of requests accepted and not completed.
	InFlight prometheus.Gauge
	// FirstChunk is the time in seconds from acceptance to the first chunk of a
	// response.
	FirstChunk prometheus.Histogram
	// Duration is the time in seconds from acceptance to completion, by path.
	Duration *prometheus.HistogramVec
	// Chunks counts the response chunks relayed to callers.
	Chunks prometheus.Counter
	// BodyBytes is the number of bytes reserved for the bodies of requests in
	// flight.
	BodyBytes prometheus.Gauge
	// Panics counts the panics recovered in handlers.
	Panics prometheus.Counter
	// Anomalies counts, by kind, what servers and services sent in place of one response for each
	// request.
	Anomalies *prometheus.CounterVec
}

// Description is the documentation of one metric.
type Description struct {
	Name, Type, Labels, Meaning string
}

// Descriptions lists the metrics that NewMetrics registers.
var Descriptions = []Description{
	{"hatchplank_http_requests_total", "counter", "path, code", "Requests that ended, by path of the interface and name of the result code."},
	{"hatchplank_http_requests_in_flight", "gauge", "", "Requests accepted and not yet ended."},
	{"hatchplank_http_first_chunk_seconds", "histogram", "", "Seconds from acceptance to the first piece of a generated answer, cold starts included."},
	{"hatchplank_http_request_seconds", "histogram", "path", "Seconds from acceptance to the end of a request."},
	{"hatchplank_http_chunks_total", "counter", "", "Pieces of generated answers relayed to callers."},
	{"hatchplank_http_body_bytes", "gauge", "", "Bytes reserved for the bodies of requests in flight."},
	{"hatchplank_http_panics_total", "counter", "", "Faults caught in request handlers; each one is a defect."},
	{"hatchplank_response_anomalies_total", "counter", "kind", "What servers and services sent in place of one response for each request, by kind (unrequested_data, malformed_response, head_too_long, too_many_interim, body_too_long)."},
}

// latencyBuckets are in seconds and cover answers of loaded models as well as cold
// starts.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20, 40, 80, 160, 320}

// NewMetrics returns the interface's metrics in a new registry, which also holds
// the metrics of the Go runtime and of the process.
func NewMetrics() *Metrics {
	metrics := &Metrics{
		registry:   prometheus.NewRegistry(),
		Requests:   prometheus.NewCounterVec(prometheus.CounterOpts(options(0)), []string{"path", "code"}),
		InFlight:   prometheus.NewGauge(prometheus.GaugeOpts(options(1))),
		FirstChunk: prometheus.NewHistogram(histogramOptions(2)),
		Duration:   prometheus.NewHistogramVec(histogramOptions(3), []string{"path"}),
		Chunks:     prometheus.NewCounter(prometheus.CounterOpts(options(4))),
		BodyBytes:  prometheus.NewGauge(prometheus.GaugeOpts(options(5))),
		Panics:     prometheus.NewCounter(prometheus.CounterOpts(options(6))),
		Anomalies:  prometheus.NewCounterVec(prometheus.CounterOpts(options(7)), []string{"kind"}),
	}
	metrics.registry.MustRegister(
		metrics.Requests, metrics.InFlight, metrics.FirstChunk, metrics.Duration,
		metrics.Chunks, metrics.BodyBytes, metrics.Panics, metrics.Anomalies,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return metrics
}

// Registry returns the registry in which other components register their metrics.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// RegisterGauge adds a gauge whose value is read when metrics are gathered.
func (m *Metrics) RegisterGauge(name, meaning string, value func() float64) error {
	return m.registry.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: meaning}, value))
}

// RegisterCounter adds a counter whose value is read when metrics are gathered.
func (m *Metrics) RegisterCounter(name, meaning string, value func() float64) error {
	return m.registry.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: meaning}, value))
}

func options(index int) prometheus.Opts {
	return prometheus.Opts{Name: Descriptions[index].Name, Help: Descriptions[index].Meaning}
}

func histogramOptions(index int) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{
		Name:    Descriptions[index].Name,
		Help:    Descriptions[index].Meaning,
		Buckets: latencyBuckets,
	}
}
