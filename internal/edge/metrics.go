package edge

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hatchplank/hatchplank/internal/bytebudget"
	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/orders"
	"github.com/hatchplank/hatchplank/internal/placement"
	"github.com/hatchplank/hatchplank/internal/poison"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/retrybudget"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
	"github.com/hatchplank/hatchplank/internal/serverpath"
	"github.com/hatchplank/hatchplank/internal/streamorigin"
)

// MetricDescription describes a metric, as documented in docs/operators/metrics.md.
type MetricDescription struct {
	Name, Type, Labels, Help string
}

// Names of the node's metrics.
const (
	metricRequests          = "hatchplank_node_requests_total"
	metricAttempts          = "hatchplank_node_attempts_total"
	metricFirstByte         = "hatchplank_node_first_byte_seconds"
	metricHeld              = "hatchplank_node_held_seconds"
	metricColdStart         = "hatchplank_node_cold_start_seconds"
	metricStoreCalls        = "hatchplank_node_store_calls_total"
	metricOrders            = "hatchplank_node_orders_total"
	metricQuota             = "hatchplank_node_quota_total"
	metricConnections       = "hatchplank_node_server_connections_total"
	metricServers           = "hatchplank_node_servers"
	metricRevision          = "hatchplank_node_configuration_revision"
	metricStoreEra          = "hatchplank_node_store_era"
	metricHolder            = "hatchplank_node_order_holder"
	metricServerCrashes     = "hatchplank_node_server_ends_total"
	metricQuarantine        = "hatchplank_node_poison_requests"
	metricPoisonTrials      = "hatchplank_node_poison_trials_total"
	metricRelayed           = "hatchplank_node_reads_through_relay"
	metricNotices           = "hatchplank_node_server_notices_total"
	metricSentDespiteNotice = "hatchplank_node_sends_despite_notice_total"
	metricLimitedServers    = "hatchplank_node_limited_servers"
	metricServerLimit       = "hatchplank_node_server_limit_total"
	metricSentToLimited     = "hatchplank_node_sends_to_limited_servers_total"
	metricChoices           = "hatchplank_node_choices_total"
	metricSuspicionChecks   = "hatchplank_node_suspicion_checks_total"
	metricReplicaOrders     = "hatchplank_node_replica_orders_total"
	metricObservations      = "hatchplank_node_observations_total"
	metricSuspectedServers  = "hatchplank_node_suspected_servers"
	metricRetries           = "hatchplank_node_retries_total"
	metricSharingNodes      = "hatchplank_node_sharing_nodes"
	metricLostPaths         = "hatchplank_node_lost_server_paths"
	metricCarried           = "hatchplank_node_carried_connections"
	metricCarryRequests     = "hatchplank_node_carry_requests_total"
	metricCarrierAnswers    = "hatchplank_node_carrier_answers_total"
	metricRecordsAge        = "hatchplank_node_server_records_age_seconds"
	metricRejectedRecords   = "hatchplank_node_rejected_records_total"
	metricRecordChecks      = "hatchplank_node_record_checks_total"
	metricUnframedEnds      = "hatchplank_node_unframed_ends_total"
	metricStreamOrigins     = "hatchplank_node_stream_origins_total"
	metricAnomalies         = "hatchplank_node_response_anomalies_total"
	metricStreamFaults      = "hatchplank_node_stream_faults_total"
	metricHeldBytes         = "hatchplank_node_held_bytes"
	metricMemoryShort       = "hatchplank_node_memory_short_total"
)

// MetricDescriptions lists the node's own metrics.
var MetricDescriptions = []MetricDescription{
	{metricRequests, "counter", "code", "Requests that ended, by name of the result code."},
	{metricAttempts, "counter", "outcome", "Attempts at servers that failed, by reason."},
	{metricFirstByte, "histogram", "", "Seconds from acceptance to the first byte of an answer."},
	{metricHeld, "histogram", "", "Seconds that a request waited before it was first sent."},
	{metricColdStart, "histogram", "", "Seconds to the first byte for requests that waited for a load."},
	{metricStoreCalls, "counter", "call", "Calls to the store, by call."},
	{metricOrders, "counter", "order, reply", "Orders given to model servers, by kind and reply."},
	{metricQuota, "counter", "tenant, verdict, count", "Requests that were compared with their tenant's limit, by verdict (within, over) and by who counted (all: for all nodes; alone: this node, as no counting node answered)."},
	{metricConnections, "counter", "", "Connections opened to servers."},
	{metricServers, "gauge", "", "Servers known."},
	{metricRevision, "gauge", "", "Revision of the configuration in force; 0 if there is none."},
	{metricStoreEra, "gauge", "", "How often the store came back from a backup since the system first used it, as far as it tells."},
	{metricHolder, "gauge", "", "1 while this node holds the lease for orders."},
	{metricServerCrashes, "counter", "", "Servers that ended while they had requests of this node."},
	{metricQuarantine, "gauge", "", "Requests that are refused because servers ended under them."},
	{metricPoisonTrials, "counter", "event", "Trials of quarantined requests, and of requests with a quarantined part of their prompt, at this node: granted, denied (another one is under way, or its crash would prove nothing), served, crashed, undecided."},
	{metricNotices, "counter", "notice", "Answers in which servers told of themselves: that they leave, that they want nothing for a while (retry_after), how many requests a second they take from all nodes (limit), something that can't be read (unreadable), or something that no node knows (unknown)."},
	{metricSentDespiteNotice, "counter", "notice", "Sendings to servers that had told this node not to send, by what they had told."},
	{metricLimitedServers, "gauge", "", "Servers that name a limit for all nodes together, as far as this node knows."},
	{metricServerLimit, "counter", "verdict, count", "Questions whether a server's limit has room, by verdict (within, over) and by who counted (all, alone: as for tenants)."},
	{metricSentToLimited, "counter", "purpose", "Sendings to such servers, by purpose (request, order, report, health)."},
	{metricChoices, "counter", "load, choice", "Requests for which a server was chosen, by where its load was from (own requests, report, nodes: the newest load that any node observed) and how the last choice was made (lowest score, or drawn)."},
	{metricSuspicionChecks, "counter", "outcome", "Checks by connecting to a server that another node found unreachable, by outcome (reached, failed)."},
	{metricReplicaOrders, "counter", "order, reason", "Loads and unloads of models that were planned, by kind and reason."},
	{metricObservations, "counter", "direction", "Observations of servers' loads, and of whether they are reachable, exchanged with other nodes, by direction (sent, received)."},
	{metricSuspectedServers, "gauge", "", "Servers that another node found unreachable and that no node has reached since, as far as this node knows."},
	{metricRetries, "counter", "verdict, by", "Attempts beyond a request's first that were compared with the retry budget, by verdict (within, over) and by who decided (node: this node's own allowance; fleet: the count for all nodes; share: this node's even share, as too few counting nodes answered)."},
	{metricSharingNodes, "gauge", "", "Nodes that share the slack of the retry budget, as far as this node knows; 0 if it does not know."},
	{metricLostPaths, "gauge", "", "Servers that this node does not reach although other nodes do, and reaches through them."},
	{metricCarried, "gauge", "", "Connections to servers that this node carries for other nodes."},
	{metricCarryRequests, "counter", "outcome", "Requests of other nodes for a connection to a server, by outcome (opened, refused, unreached, busy, unknown_server)."},
	{metricCarrierAnswers, "counter", "outcome", "Answers of other nodes to such requests of this node, by outcome."},
	{metricRecordsAge, "gauge", "", "Seconds since the store is known to have held the servers' records that this node has; -1 if it never had all of them."},
	{metricRejectedRecords, "counter", "", "Server records from the store that could not be used, each revision once; the last usable one holds for a while."},
	{metricRecordChecks, "counter", "outcome", "Reads of one server's record before a request was sent there, since the known one was too old, by outcome (accepts, leaves, unread: the store did not answer)."},
	{metricUnframedEnds, "counter", "server", "Responses without a length or chunks that have ended, by what was found out of their server (runs, listens, left: shut down as planned, ended: the response is broken, unknown)."},
	{metricStreamOrigins, "counter", "finding, basis", "Searches for the software version that began a stream which its caller resumes, by finding (known, irrelevant: the pool has had one version, at whose servers the stream goes on, unknown: the stream is refused) and by what it rests on (table: this node keeps it, keeper: another node does, store: it is saved there, record: the versions saved in the store, view: this node has seen all servers for a minute, reply: another node's record or view, none)."},
	{metricAnomalies, "counter", "kind", "What servers and the store sent in place of one response for each request, by kind (foreign_response, unrequested_data, malformed_response, head_too_long, too_many_interim, body_too_long)."},
	{metricStreamFaults, "counter", "fault", "Streams broken before what their server should not have sent, by fault (no_stream, no_events, malformed, no_id, id_form, id_order, not_continued, surplus_response, partial_event, event_too_long)."},
	{metricHeldBytes, "gauge", "kind", "Bytes held for requests, responses and messages in flight, which share a limit, by kind (requests: their bodies; read_ahead: responses that are read before they are passed on; events: of streams, not passed on yet; frames: messages of other nodes)."},
	{metricMemoryShort, "counter", "kind", "Times that this limit was reached, by the kind that had to do without: a request was refused, a response passed on without being read ahead, a stream broken, a connection of another node closed."},
	{metricRelayed, "gauge", "", "1 while another node tells this one what the store holds; 0 while it reads the store itself."},
}

// Metrics holds a node's metrics.
type Metrics struct {
	set                        *metrics.Set
	firstByte, held, coldStart *metrics.PrometheusHistogram
}

// Gauges holds the functions that supply the gauges' values at each scrape.
type Gauges struct {
	Connections, Servers, Revision, Era, Holder, Relayed, Quarantine, Limited, Suspected, SharingNodes, LostPaths, Carried, RecordsAge, Rejected func() float64
	// HeldBytes returns the bytes held of a kind.
	HeldBytes func(bytebudget.Kind) float64
}

// NewMetrics registers the node's metrics.
func NewMetrics(gauges Gauges) *Metrics {
	set := metrics.NewSet()
	set.NewGauge(metricConnections, gauges.Connections)
	set.NewGauge(metricServers, gauges.Servers)
	set.NewGauge(metricRevision, gauges.Revision)
	set.NewGauge(metricStoreEra, gauges.Era)
	set.NewGauge(metricHolder, gauges.Holder)
	set.NewGauge(metricRelayed, gauges.Relayed)
	set.NewGauge(metricQuarantine, gauges.Quarantine)
	set.NewGauge(metricLimitedServers, gauges.Limited)
	set.NewGauge(metricSuspectedServers, gauges.Suspected)
	set.NewGauge(metricSharingNodes, gauges.SharingNodes)
	set.NewGauge(metricLostPaths, gauges.LostPaths)
	set.NewGauge(metricCarried, gauges.Carried)
	set.NewGauge(metricRecordsAge, gauges.RecordsAge)
	set.NewGauge(metricRejectedRecords, gauges.Rejected)
	if gauges.HeldBytes != nil {
		for _, kind := range bytebudget.Kinds {
			set.NewGauge(fmt.Sprintf("%s{kind=%q}", metricHeldBytes, string(kind)), func() float64 { return gauges.HeldBytes(kind) })
		}
	}
	for _, kind := range []placement.Kind{placement.Load, placement.Unload} {
		set.NewCounter(replicaOrdersCounter(kind.String(), placement.ReasonRelief))
	}
	for _, direction := range []orders.Direction{orders.Sent, orders.Received} {
		set.NewCounter(observationsCounter(direction))
	}
	return &Metrics{
		set: set, firstByte: set.NewPrometheusHistogram(metricFirstByte),
		held: set.NewPrometheusHistogram(metricHeld), coldStart: set.NewPrometheusHistogram(metricColdStart),
	}
}

// count increments a counter. The labels alternate between name and value.
func (m *Metrics) count(name string, labels ...string) {
	parts := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		parts = append(parts, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	m.set.GetOrCreateCounter(name + "{" + strings.Join(parts, ",") + "}").Inc()
}

// Observations counts the observations in a message that was sent to or received from another
// node.
func (m *Metrics) Observations(direction orders.Direction, count int) {
	m.set.GetOrCreateCounter(observationsCounter(direction)).Add(count)
}

// observationsCounter returns the name of the counter of observations with its label.
func observationsCounter(direction orders.Direction) string {
	return fmt.Sprintf("%s{direction=%q}", metricObservations, string(direction))
}

// RecordCheck counts a read of an outdated server record before a request was sent there.
func (m *Metrics) RecordCheck(outcome forward.RecordCheck) {
	m.count(metricRecordChecks, "outcome", string(outcome))
}

// UnframedEnd counts an unframed response that has ended, by what was found out of its server.
func (m *Metrics) UnframedEnd(state forward.ServerState) {
	m.count(metricUnframedEnds, "server", string(state))
}

// StreamOrigin counts a search for the origin of a stream that its caller resumes.
func (m *Metrics) StreamOrigin(finding streamorigin.Finding, basis streamorigin.Basis) {
	m.count(metricStreamOrigins, "finding", string(finding), "basis", string(basis))
}

// MemoryShort counts a request or response for which there was no memory.
func (m *Metrics) MemoryShort(kind bytebudget.Kind) { m.count(metricMemoryShort, "kind", string(kind)) }

// StoreCall counts a call to the store.
func (m *Metrics) StoreCall(call string) { m.count(metricStoreCalls, "call", call) }

// ServerCrashed counts a server that crashed while it had requests of this node.
func (m *Metrics) ServerCrashed() { m.set.GetOrCreateCounter(metricServerCrashes).Inc() }

// PoisonTrial counts what happens to a trial of a quarantined request.
func (m *Metrics) PoisonTrial(event poison.TrialEvent) {
	m.count(metricPoisonTrials, "event", string(event))
}

// CarryRequest counts a request of another node for a connection to a server.
func (m *Metrics) CarryRequest(outcome serverpath.Outcome) {
	m.count(metricCarryRequests, "outcome", outcome.String())
}

// CarrierAnswer counts another node's answer to a request for a connection to a server.
func (m *Metrics) CarrierAnswer(outcome serverpath.Outcome) {
	m.count(metricCarrierAnswers, "outcome", outcome.String())
}

// Order counts an order to a model server, by kind and reply.
func (m *Metrics) Order(order, reply string) { m.count(metricOrders, "order", order, "reply", reply) }

// ReplicaOrder counts a planned load or unload of a model, by kind and reason.
func (m *Metrics) ReplicaOrder(order, reason string) {
	m.set.GetOrCreateCounter(replicaOrdersCounter(order, reason)).Inc()
}

// replicaOrdersCounter returns the name of the counter of planned loads and unloads with its labels.
func replicaOrdersCounter(order, reason string) string {
	return fmt.Sprintf("%s{order=%q,reason=%q}", metricReplicaOrders, order, reason)
}

// Notice counts a response in which a server sent a notice about its own state.
func (m *Metrics) Notice(kind notice.Kind) { m.count(metricNotices, "notice", string(kind)) }

// SentDespiteNotice counts a request, order or report sent to a server whose notice had asked
// this node not to send.
func (m *Metrics) SentDespiteNotice(kind notice.Kind) {
	m.count(metricSentDespiteNotice, "notice", string(kind))
}

// SentToLimited counts a request, order or report sent to a server with a known rate limit.
func (m *Metrics) SentToLimited(purpose notice.Purpose) {
	m.count(metricSentToLimited, "purpose", string(purpose))
}

// ServerLimit counts a check whether a server's rate limit allows a request.
func (m *Metrics) ServerLimit(grant serverlimit.Grant) {
	m.count(metricServerLimit, "verdict", verdictLabel(grant.Allowed), "count", countLabel(grant.CountedFleetWide()))
}

// choice counts how the server of a request was chosen, if one was.
func (m *Metrics) choice(decision forward.Decision) {
	if decision.LoadSource == "" {
		return
	}
	how := "lowest score"
	if decision.Drawn() {
		how = "drawn"
	}
	m.count(metricChoices, "load", string(decision.LoadSource), "choice", how)
}

// verdictLabel returns the label value for whether a request was within a limit.
func verdictLabel(within bool) string {
	if within {
		return "within"
	}
	return "over"
}

// countLabel returns the label value for whether requests were counted for all nodes together
// or for this node only.
func countLabel(forAll bool) string {
	if forAll {
		return "all"
	}
	return "alone"
}

// Quota counts a verdict on a tenant's request. The number of label values is bounded, since
// the operators' configuration lists the tenants.
func (m *Metrics) Quota(tenant string, verdict ratelimit.Verdict) {
	m.count(metricQuota, "tenant", tenant, "verdict", verdictLabel(verdict.Allowed), "count", countLabel(verdict.CountedBy != ""))
}

// Retry counts a decision of the retry budget.
func (m *Metrics) Retry(decision retrybudget.Decision) {
	m.count(metricRetries, "verdict", verdictLabel(decision.Allowed), "by", string(decision.By))
}

// ServeHTTP writes the metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.set.WritePrometheus(writer)
}
