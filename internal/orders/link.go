package orders

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/observation"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

const (
	// reportPeriod is the time between a node's reports when no requests begin to wait, for
	// up to nodesPerPeriod nodes.
	reportPeriod   = 400 * time.Millisecond
	nodesPerPeriod = 30
	// demandBatchPause batches requests that begin to wait at about the same time.
	demandBatchPause = 2 * time.Millisecond
	// callTimeout limits the wait for the reply to a report.
	callTimeout = 400 * time.Millisecond
	// maxReportBackoff is the longest time between reports to a holder that does not answer, and
	// maxReportFailures bounds the count of those.
	maxReportBackoff  = 3200 * time.Millisecond
	maxReportFailures = 3
	// The holder's placement expires after holderTimeout plus reportLifetimePeriods report
	// periods without an update from the holder.
	holderTimeout = 600 * time.Millisecond
)

// LinkConfig configures a Link.
type LinkConfig struct {
	Election *Election
	Holder   *Holder
	View     *fleet.View
	// Demand returns the demand of this node's callers.
	Demand func() []forward.Demand
	// NewDemand returns a channel that receives when requests begin to wait.
	NewDemand func() <-chan struct{}
	// Notices holds the rate limits that servers sent to this node, and receives those that
	// other nodes report.
	Notices *notice.Registry
	// Observations holds what this node and others observe of servers. The holder of this node
	// must have the same table. If nil, nothing is exchanged.
	Observations *observation.Table
	// OnObservations is called with the number of observations in each message that was sent to
	// or received from another node; may be nil.
	OnObservations func(direction Direction, count int)
	// SetNodes is called with the number of nodes that share the retry budget.
	SetNodes func(nodes int)
	// Counters returns the nodes that count rate limits for all, as known to this node;
	// SetCounters is called with newer ones.
	Counters    func() ratelimit.Counters
	SetCounters func(counters ratelimit.Counters)
	Transport   peer.Transport
	// PathsLost reports whether this node does not reach servers that other nodes reach; nil: never.
	// SetCarriers is called with the nodes through which it may reach them.
	PathsLost   func() bool
	SetCarriers func(addresses []string)
	// LostShare returns the share of the servers with models that this node does not reach although
	// other nodes do; nil: none.
	LostShare func() float64
	// Name and Address are those of this node.
	Name, Address string
	Logger        zerolog.Logger
}

// Link reports this node's demand to the holder, and applies the placement that the holder
// sends. It implements forward.Orders and is safe for concurrent use.
type Link struct {
	config  LinkConfig
	started int64

	mutex    sync.Mutex
	sequence uint64
	// token and version are those of the newest placement received.
	token   int64
	version uint64
	// updatedAt is when the holder last sent an update; zero if its placement has expired.
	updatedAt time.Time
	// ordersFrom is when the holder may send orders, as it reported.
	ordersFrom time.Time
	// unanswered is set if the last report that ended got no reply from a holder.
	unanswered bool
	// failures counts the reports without an answer one after the other. reportedTo is the holder
	// that the last report was sent to, at reportedAt.
	failures   int
	reportedTo string
	reportedAt time.Time
	// nodes is the number of nodes that the holder sent last, by which reports are spaced, and size
	// the number that share limits: a holder of an earlier build counts only the nodes that report to
	// it at the moment.
	nodes int
	size  *fleetSize
	// readyTimes is when models that no server holds are expected to be ready.
	readyTimes map[forward.DemandKey]time.Time
	// arrived is the count of arrivals by row in the last report that was answered.
	arrived map[forward.DemandKey]uint64
	// limitsReported is the version up to which the holder has the rate limits that this
	// node received from servers, and limitsReceived the version up to which this node has
	// the holder's.
	limitsReported, limitsReceived uint64
	// limitsSent is the version up to which the counting nodes were sent this node's limits.
	limitsSent uint64
	// observations is the state of sending this node's observations to the holder.
	observations observationState
}

// NewLink returns a link and registers its message handlers with the transport.
func NewLink(config LinkConfig) *Link {
	if config.Observations == nil {
		config.Observations = observation.NewTable()
	}
	if config.OnObservations == nil {
		config.OnObservations = func(Direction, int) {}
	}
	if config.PathsLost == nil {
		config.PathsLost = func() bool { return false }
	}
	if config.LostShare == nil {
		config.LostShare = func() float64 { return 0 }
	}
	if config.SetCarriers == nil {
		config.SetCarriers = func([]string) {}
	}
	link := &Link{
		config: config, started: time.Now().UnixNano(), size: newFleetSize(0, time.Now()),
		readyTimes: map[forward.DemandKey]time.Time{}, arrived: map[forward.DemandKey]uint64{},
	}
	config.Transport.Handle(DemandReport{}, link.serveReport)
	config.Transport.Handle(Update{}, link.servePush)
	return link
}

// serveReport handles a node's report; it replies NotHolder if this node has no term.
func (l *Link) serveReport(_ string, message peer.Message, reply func(peer.Message, error)) {
	report := message.(DemandReport)
	l.countObservations(Received, report.Observations)
	update, holds := l.config.Holder.HandleReport(report)
	if !holds {
		reply(NotHolder{}, nil)
		return
	}
	reply(update, nil)
}

// servePush handles an update from the holder, or rate limits from another node.
func (l *Link) servePush(from string, message peer.Message, reply func(peer.Message, error)) {
	l.apply(message.(Update), from)
	reply(nil, nil)
}

// Push sends an update to a node, or applies it if the node is this one.
func (l *Link) Push(address string, update Update) {
	if address == l.config.Address {
		l.apply(update, address)
		return
	}
	l.countObservations(Sent, update.Observations)
	l.config.Transport.Send(address, update)
}

// Run reports demand and observations to the holder until ctx ends.
func (l *Link) Run(ctx context.Context) {
	var observations sync.WaitGroup
	observations.Go(func() { l.runObservations(ctx) })
	defer observations.Wait()
	timer := time.NewTimer(reportPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.config.NewDemand():
			clock.Sleep(ctx, demandBatchPause)
		case <-l.config.Notices.LimitChanges():
			l.sendLimits()
		case <-timer.C:
			if !l.reportDue(time.Now()) {
				l.expirePlacement()
				timer.Reset(l.period())
				continue
			}
		}
		l.report()
		l.expirePlacement()
		timer.Reset(l.period())
	}
}

// period returns the current time between reports.
func (l *Link) period() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return reportPeriodOf(l.nodes)
}

// reportDue reports whether a report is due that nothing but the time calls for. While the holder
// does not answer, the time between reports doubles up to maxReportBackoff: reports of a whole fleet
// every reportPeriod would keep a holder that is late from answering any.
func (l *Link) reportDue(now time.Time) bool {
	holder, _ := l.config.Election.Holder()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	backoff := min(reportPeriod<<min(l.failures, maxReportFailures), maxReportBackoff)
	return l.failures == 0 || holder.Address != l.reportedTo || now.Sub(l.reportedAt) >= backoff
}

// noteReport records to which holder a report is sent.
func (l *Link) noteReport(holder string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if holder != l.reportedTo {
		l.failures = 0
	}
	l.reportedTo, l.reportedAt = holder, time.Now()
}

// report sends this node's demand to the holder.
func (l *Link) report() {
	holder, known := l.config.Election.Holder()
	if !known {
		return
	}
	l.noteReport(holder.Address)
	report, content := l.newReport()
	if holder.Address != l.config.Address {
		report.Observations = l.unsentObservations(true)
		l.countObservations(Sent, report.Observations)
	}
	if holder.Address == l.config.Address {
		if update, holds := l.config.Holder.HandleReport(report); holds {
			l.reportAnswered(update, content, holder.Address)
		}
		return
	}
	l.config.Transport.Call(holder.Address, report, callTimeout, func(message peer.Message, err error) {
		if err != nil {
			l.config.Logger.Debug().Str("holder", holder.Name).Err(err).Msg("demand report got no reply from the holder")
		}
		update, isUpdate := message.(Update)
		if err != nil || !isUpdate {
			l.reportFailed()
			return
		}
		l.reportAnswered(update, content, holder.Address)
	})
}

// reportContent is what the holder has received once a report is answered.
type reportContent struct {
	token   int64
	arrived map[forward.DemandKey]uint64
	limits  uint64
}

// newReport returns the next report, with what the holder has received once it is answered.
func (l *Link) newReport() (DemandReport, reportContent) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sequence++
	report := DemandReport{
		Node: l.config.Name, Address: l.config.Address, Sequence: l.sequence, Started: l.started,
		Token: l.token, Version: l.version, Leaving: l.config.View.Leaving(), LimitsVersion: l.limitsReceived,
		CarriesConnections: true, PathsLost: l.config.PathsLost(), ReachesModelServers: l.config.LostShare() < maxLostShare,
	}
	content := reportContent{token: l.token, arrived: map[forward.DemandKey]uint64{}}
	report.Limits, content.limits = l.config.Notices.LocalLimits(l.limitsReported)
	counters := l.config.Counters()
	report.Counters, report.CountersToken = counters.Version, counters.Token
	report.PoolArrivals = poolArrivals(l.config.Observations)
	now := time.Now()
	for _, row := range l.config.Demand() {
		expected := now.Before(row.ExpectedUntil)
		content.arrived[row.DemandKey] = row.Arrived
		if row.Waiting == 0 && row.Running == 0 && !expected && row.Arrived == l.arrived[row.DemandKey] {
			continue
		}
		report.Rows = append(report.Rows, DemandRow{
			Pool: row.Pool, Model: row.Model, Adapter: row.Adapter, Waiting: row.Waiting, Running: row.Running,
			Expected: expected, Priority: row.Priority, Arrived: row.Arrived,
		})
	}
	return report, content
}

// reportFailed records that a report got no reply from a holder.
func (l *Link) reportFailed() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unanswered = true
	l.failures = min(l.failures+1, maxReportFailures)
	// The observations in the report may be lost.
	l.observations.cursor = observation.Cursor{}
}

// reportAnswered applies the reply to a report.
func (l *Link) reportAnswered(update Update, content reportContent, from string) {
	l.apply(update, from)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.arrived = content.arrived
	if content.token == l.token {
		// If the holder changed meanwhile, the next report sends the new one everything.
		l.limitsReported = max(l.limitsReported, content.limits)
	}
}

// apply applies an update from the holder, or rate limits and observations from any node. Of an
// update from an earlier term it applies only these.
func (l *Link) apply(update Update, from string) {
	l.mergeObservations(update, from)
	if l.config.Notices.MergeLimits(update.Limits, from) {
		l.config.Holder.Wake()
	}
	l.mutex.Lock()
	if update.Token == 0 || update.Token < l.token {
		l.mutex.Unlock()
		return
	}
	if update.Token > l.token {
		l.config.View.ClearPlacements()
		l.token, l.version = update.Token, 0
		l.limitsReported, l.limitsReceived = 0, 0
		l.observations.cursor = observation.Cursor{}
		clear(l.readyTimes)
	}
	defer l.mutex.Unlock()
	now := time.Now()
	l.updatedAt, l.unanswered, l.failures = now, false, 0
	l.ordersFrom = now.Add(update.OrdersIn)
	if update.Reporting > 0 || update.Nodes > 0 {
		l.nodes = max(update.Reporting, update.Nodes)
	}
	if update.Base <= l.version {
		l.version = max(l.version, update.Version)
	}
	for _, model := range update.Coming {
		l.readyTimes[forward.DemandKey{Pool: model.Pool, Model: model.Model}] = now.Add(model.Remaining)
	}
	if update.LimitsBase <= l.limitsReceived {
		l.limitsReceived = max(l.limitsReceived, update.LimitsVersion)
	}
	if len(update.Servers) > 0 {
		l.config.View.ApplyPlacements(placedServers(update.Servers, now))
	}
	if update.Nodes > 0 {
		l.config.SetNodes(l.size.count(update.Nodes, now))
		l.config.Observations.SetNodes(update.Nodes, now)
	}
	if len(update.Counters.Addresses) > 0 {
		l.config.SetCounters(update.Counters)
	}
	if len(update.Carriers) > 0 {
		l.config.SetCarriers(update.Carriers)
	}
}

// SetSavedNodes sets the number of nodes that share limits as an earlier holder saved it, unless a
// holder has sent it.
func (l *Link) SetSavedNodes(nodes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.nodes == 0 {
		l.config.SetNodes(l.size.count(nodes, time.Now()))
	}
}

// placedServers returns servers with the models that the holder reports for them.
func placedServers(states []ServerState, now time.Time) []*fleet.Server {
	servers := make([]*fleet.Server, len(states))
	for i, state := range states {
		server := &fleet.Server{
			ID: state.ID, Models: map[string]fleet.LoadedModel{}, PlacementVersion: state.Version, Created: state.Created, SeenAt: now,
		}
		for name, adapters := range state.Models {
			server.Models[name] = fleet.NewLoadedModel(adapters)
		}
		servers[i] = server
	}
	return servers
}

// expirePlacement drops the holder's placement if no update came for too long.
func (l *Link) expirePlacement() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.updatedAt.IsZero() || time.Since(l.updatedAt) < holderTimeout+reportLifetimePeriods*reportPeriodOf(l.nodes) {
		return
	}
	l.updatedAt = time.Time{}
	l.version = 0
	clear(l.readyTimes)
	l.config.View.ClearPlacements()
	l.config.Logger.Warn().Int64("token", l.token).Msg("holder not heard; servers' records count again")
}

// ReadyAt implements forward.Orders.
func (l *Link) ReadyAt(key forward.DemandKey) (time.Time, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	model := forward.DemandKey{Pool: key.Pool, Model: key.Model}
	ready, expected := l.readyTimes[model]
	if expected && time.Since(ready) > estimateGrace {
		delete(l.readyTimes, model)
		return time.Time{}, false
	}
	return ready, expected
}

// OrdersIn implements forward.Orders.
func (l *Link) OrdersIn() (time.Duration, bool) {
	if _, known := l.config.Election.Holder(); !known {
		return 0, false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unanswered || l.updatedAt.IsZero() || time.Since(l.updatedAt) >= 2*reportPeriodOf(l.nodes) {
		return 0, false
	}
	return max(time.Until(l.ordersFrom), 0), true
}
