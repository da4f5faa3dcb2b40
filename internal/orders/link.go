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
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

const (
	// reportPeriod between a node's reports when nothing begins to wait, for up to
	// nodesPerPeriod nodes.
	reportPeriod   = 400 * time.Millisecond
	nodesPerPeriod = 30
	// wantedPause collects requests that begin to wait together.
	wantedPause = 2 * time.Millisecond
	// callTimeout of a report.
	callTimeout = 400 * time.Millisecond
	// forgetAfter this time, and as many periods as a report counts, without a
	// word of the holder, its word counts no more.
	forgetAfter = 600 * time.Millisecond
)

// LinkConfig configures a Link.
type LinkConfig struct {
	Election *Election
	Holder   *Holder
	View     *fleet.View
	// Demand of this node's callers, and a signal that some began to wait.
	Demand    func() []forward.Demand
	NewDemand func() <-chan struct{}
	// Notices has what servers told this node of limits, and takes over what others heard.
	Notices *notice.Board
	// SetNodes tells how many nodes share the retry budget.
	SetNodes func(nodes int)
	// Counters are the nodes that count limits for all as this node knows;
	// SetCounters tells newer ones.
	Counters    func() ratelimit.Counters
	SetCounters func(told ratelimit.Counters)
	Transport   peer.Transport
	// Name and Address of this node.
	Name, Address string
	Logger        zerolog.Logger
}

// Link tells the holder of this node's demand, and this node of the holder's
// placement. It implements forward.Orders.
type Link struct {
	config  LinkConfig
	started int64

	mutex    sync.Mutex
	sequence uint64
	token    int64
	version  uint64
	heardAt  time.Time
	// ordersFrom is when the holder may order, as it says.
	ordersFrom time.Time
	// unanswered: the last report that ended got no answer of a holder.
	unanswered bool
	// nodes that report, as the holder says.
	nodes int
	// coming is when models that no server holds are expected.
	coming map[forward.DemandKey]time.Time
	// arrived counts by row as told in the last report that was answered.
	arrived map[forward.DemandKey]uint64
	// limitsTold is the version of this node's own limits up to which the holder knows them,
	// and limitsKnown that of the holder's up to which this node does.
	limitsTold, limitsKnown uint64
	// limitsSpread is the version up to which the nodes that count were told.
	limitsSpread uint64
}

// NewLink returns a link and registers its messages with the transport.
func NewLink(config LinkConfig) *Link {
	link := &Link{
		config: config, started: time.Now().UnixNano(),
		coming: map[forward.DemandKey]time.Time{}, arrived: map[forward.DemandKey]uint64{},
	}
	config.Transport.Handle(DemandReport{}, link.serveReport)
	config.Transport.Handle(Update{}, link.servePush)
	return link
}

// serveReport answers a node's report.
func (l *Link) serveReport(_ string, message peer.Message, reply func(peer.Message, error)) {
	update, holds := l.config.Holder.Report(message.(DemandReport))
	if !holds {
		reply(NotHolder{}, nil)
		return
	}
	reply(update, nil)
}

func (l *Link) servePush(from string, message peer.Message, reply func(peer.Message, error)) {
	l.apply(message.(Update), from)
	reply(nil, nil)
}

// Push sends an update to a node, or takes it over if the node is this one.
func (l *Link) Push(address string, update Update) {
	if address == l.config.Address {
		l.apply(update, address)
		return
	}
	l.config.Transport.Send(address, update)
}

// Run reports demand until ctx ends.
func (l *Link) Run(ctx context.Context) {
	timer := time.NewTimer(reportPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.config.NewDemand():
			clock.Sleep(ctx, wantedPause)
		case <-l.config.Notices.News():
			l.spreadLimits()
		case <-timer.C:
		}
		l.report()
		l.forget()
		timer.Reset(l.period())
	}
}

func (l *Link) period() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return reportPeriodOf(l.nodes)
}

// report sends this node's demand to the holder.
func (l *Link) report() {
	holder, known := l.config.Election.Holder()
	if !known {
		return
	}
	report, content := l.newReport()
	if holder.Address == l.config.Address {
		if update, holds := l.config.Holder.Report(report); holds {
			l.answered(update, content, holder.Address)
		}
		return
	}
	l.config.Transport.Call(holder.Address, report, callTimeout, func(message peer.Message, err error) {
		if err != nil {
			l.config.Logger.Debug().Str("holder", holder.Name).Err(err).Msg("holder not reached")
		}
		update, isUpdate := message.(Update)
		if err != nil || !isUpdate {
			l.notAnswered()
			return
		}
		l.answered(update, content, holder.Address)
	})
}

// reported is what the holder knows once a report was answered.
type reported struct {
	token   int64
	arrived map[forward.DemandKey]uint64
	limits  uint64
}

func (l *Link) newReport() (DemandReport, reported) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sequence++
	report := DemandReport{
		Node: l.config.Name, Address: l.config.Address, Sequence: l.sequence, Started: l.started,
		Token: l.token, Version: l.version, Leaving: l.config.View.Leaving(), LimitsVersion: l.limitsKnown,
	}
	content := reported{token: l.token, arrived: map[forward.DemandKey]uint64{}}
	report.Limits, content.limits = l.config.Notices.OwnLimits(l.limitsTold)
	counters := l.config.Counters()
	report.Counters, report.CountersToken = counters.Version, counters.Token
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

func (l *Link) notAnswered() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unanswered = true
}

func (l *Link) answered(update Update, known reported, from string) {
	l.apply(update, from)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.arrived = known.arrived
	if known.token == l.token {
		// A new holder is told everything with the next report.
		l.limitsTold = max(l.limitsTold, known.limits)
	}
}

// apply takes over what the holder knows, or what another node heard of limits.
func (l *Link) apply(update Update, from string) {
	if l.config.Notices.TellLimits(update.Limits, from) {
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
		l.limitsTold, l.limitsKnown = 0, 0
		clear(l.coming)
	}
	defer l.mutex.Unlock()
	now := time.Now()
	l.heardAt, l.unanswered = now, false
	l.ordersFrom = now.Add(update.OrdersIn)
	if update.Nodes > 0 {
		l.nodes = update.Nodes
	}
	if update.Base <= l.version {
		l.version = max(l.version, update.Version)
	}
	for _, model := range update.Coming {
		l.coming[forward.DemandKey{Pool: model.Pool, Model: model.Model}] = now.Add(model.Remaining)
	}
	if update.LimitsBase <= l.limitsKnown {
		l.limitsKnown = max(l.limitsKnown, update.LimitsVersion)
	}
	if len(update.Servers) > 0 {
		l.config.View.ApplyPlacements(placed(update.Servers, now))
	}
	if update.Nodes > 0 {
		l.config.SetNodes(update.Nodes)
	}
	if len(update.Counters.Addresses) > 0 {
		l.config.SetCounters(update.Counters)
	}
}

func placed(states []ServerState, now time.Time) []*fleet.Server {
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

// forget drops what a holder said that was not heard for long.
func (l *Link) forget() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.heardAt.IsZero() || time.Since(l.heardAt) < forgetAfter+reportPeriods*reportPeriodOf(l.nodes) {
		return
	}
	l.heardAt = time.Time{}
	l.version = 0
	clear(l.coming)
	l.config.View.ClearPlacements()
	l.config.Logger.Warn().Int64("token", l.token).Msg("holder not heard; servers' records count again")
}

// ReadyAt implements forward.Orders.
func (l *Link) ReadyAt(key forward.DemandKey) (time.Time, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	model := forward.DemandKey{Pool: key.Pool, Model: key.Model}
	ready, coming := l.coming[model]
	if coming && time.Since(ready) > promisePast {
		delete(l.coming, model)
		return time.Time{}, false
	}
	return ready, coming
}

// OrdersIn implements forward.Orders.
func (l *Link) OrdersIn() (time.Duration, bool) {
	if _, known := l.config.Election.Holder(); !known {
		return 0, false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unanswered || l.heardAt.IsZero() || time.Since(l.heardAt) >= 2*reportPeriodOf(l.nodes) {
		return 0, false
	}
	return max(time.Until(l.ordersFrom), 0), true
}
