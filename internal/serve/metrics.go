package serve

import (
	"github.com/hatchplank/hatchplank/internal/node"
	"github.com/hatchplank/hatchplank/internal/peer/tcp"
	"github.com/hatchplank/hatchplank/internal/telemetry"
)

// gauge is a metric whose value is read when metrics are gathered. It is
// registered as a counter if counter is set.
type gauge struct {
	name, help string
	counter    bool
	value      func() float64
}

// registerMetrics registers the metrics of the node's components.
func registerMetrics(metrics *telemetry.Metrics, n *node.Node, transport *tcp.Transport) error {
	for _, g := range gauges(n, transport) {
		register := metrics.RegisterGauge
		if g.counter {
			register = metrics.RegisterCounter
		}
		if err := register(g.name, g.help, g.value); err != nil {
			return err
		}
	}
	return nil
}

func gauges(n *node.Node, transport *tcp.Transport) []gauge {
	return []gauge{
		{"hatchplank_table_revision", "Revision of the table this node acts on.", false, func() float64 { return float64(n.Table.Revision()) }},
		{"hatchplank_members", "Live members known to this node.", false, func() float64 { return float64(len(n.Registry.Members())) }},
		{"hatchplank_cells_owned", "Cells owned by this node.", false, func() float64 { return float64(len(n.Owners.Owned())) }},
		{"hatchplank_claim_keys", "Idempotency keys whose claims this node keeps.", false, func() float64 { return float64(n.Claims.Keys()) }},
		{"hatchplank_waiting_requests", "Requests waiting at this node's gateway.", false, func() float64 { return float64(n.Gateway.Stats().Waiting) }},
		{"hatchplank_retries_total", "Attempts made again.", true, func() float64 { return float64(n.Gateway.Stats().Retried) }},
		{"hatchplank_peer_sent_bytes_total", "Bytes sent to other nodes.", true, func() float64 { return float64(transport.Statistics().BytesSent) }},
		{"hatchplank_peer_received_bytes_total", "Bytes received from other nodes.", true, func() float64 { return float64(transport.Statistics().BytesReceived) }},
		{"hatchplank_peer_silent_connections_total", "Connections to other nodes closed since nothing was received, probes unanswered.", true, func() float64 { return float64(transport.Statistics().SilentConnections) }},
		{"hatchplank_peer_bad_connections_total", "Connections to the peer port closed for breaking the protocol.", true, func() float64 { return float64(transport.Statistics().ProtocolViolations) }},
	}
}
