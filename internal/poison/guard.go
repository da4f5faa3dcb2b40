package poison

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

const (
	// firstProbeDelay and secondProbeDelay are the times after a broken attempt at which its
	// server is probed. A crashed server refuses connections at once or, where its sockets are
	// closed one by one, shortly afterwards.
	firstProbeDelay, secondProbeDelay = 20 * time.Millisecond, 300 * time.Millisecond
	// reportBatchDelay combines the crashes of servers that fail together into one report.
	reportBatchDelay = 10 * time.Millisecond
	// decisionDelay passes between a report and the decision, so that the other nodes that had
	// requests at the server can report as well.
	decisionDelay = 150 * time.Millisecond
	// tickInterval is the period of Run's checks: unacknowledged reports, records of servers,
	// expired quarantines, pending writes to the store.
	tickInterval = 500 * time.Millisecond
	// reportTimeout is the timeout of one report, which is retried for reportRetryWindow. After
	// storeFallbackDelay without an acknowledgement it goes through the store as well: that
	// allows for two tries, so that one lost message costs no call to the store.
	reportTimeout      = 400 * time.Millisecond
	storeFallbackDelay = 900 * time.Millisecond
	reportRetryWindow  = 15 * time.Second
	// maxLoggedIdentities limits the identities in the log line of a crash.
	maxLoggedIdentities = 8
)

// Config configures a Guard.
type Config struct {
	View *fleet.View
	// Connect tests whether a process listens at a server's address; ECONNREFUSED means that
	// none does.
	Connect func(ctx context.Context, address string) error
	// Collectors returns the addresses of the nodes that collect crash reports.
	Collectors func() []string
	// Followers returns the addresses of the nodes that this one must send entries to: those
	// that report to it while it holds the lease for orders.
	Followers func() []string
	Transport peer.Transport
	// Address is this node's peer address.
	Address string
	// Store keeps entries for nodes that start later or were not reached, and crashes that some
	// collector has not acknowledged. The prefixes begin their keys.
	Store                        outside.KeyValueService
	EntriesPrefix, CrashesPrefix string
	// OnTrial is called with what happens to trials of this node; may be nil.
	OnTrial func(TrialEvent)
	// OnCrash is called with each server that crashed under requests; may be nil.
	OnCrash func()
	Logger  zerolog.Logger
}

// Guard detects poison requests for one node and refuses them. It is safe for concurrent use.
//
// Without it one request crashed 14 servers within 45 s, each with up to 12 other requests
// running (7 nodes, 18 servers; count of servers that closed all connections at once and
// refused new ones). With it three crash (measured with three complete nodes and one try after
// the other), and all of 7 nodes refuse the request 0.16 s after the last crash (19 of 19, by
// the times of their log lines).
type Guard struct {
	config     Config
	suspects   *suspects
	served     *served
	crashes    *CrashLog
	quarantine *Quarantine
	entryStore *entryStore
	shared     *sharedCrashes
	trials     *trials

	mutex sync.Mutex
	// pending are this node's crashes that go into the next report; unacknowledged are the
	// reports that some collector has not answered.
	pending        []timedCrash
	unacknowledged []*unacknowledgedReport
	// decisionScheduled is set while a decision is due.
	decisionScheduled bool
	// recentViews are the snapshots of the last ticks. Servers that shut down as planned
	// continue to serve for longer than the age of these snapshots.
	recentViews [2]*fleet.Snapshot
}

// unacknowledgedReport is a report that a collector has not answered yet.
type unacknowledgedReport struct {
	collector string
	crashes   []timedCrash
	since     time.Time
	// sending is set while a call is in flight.
	sending bool
}

// NewGuard returns a guard and registers its message handlers with the transport.
func NewGuard(config Config) *Guard {
	if config.OnTrial == nil {
		config.OnTrial = func(TrialEvent) {}
	}
	if config.OnCrash == nil {
		config.OnCrash = func() {}
	}
	g := &Guard{
		config: config, suspects: newSuspects(), served: newServed(), crashes: NewCrashLog(), quarantine: NewQuarantine(), trials: newTrials(),
	}
	g.entryStore, g.shared = newEntryStore(g), newSharedCrashes(g)
	config.Transport.Handle(Report{}, g.serveReport)
	config.Transport.Handle(Quarantined{}, g.serveQuarantined)
	config.Transport.Handle(Released{}, g.serveReleased)
	config.Transport.Handle(TrialRequest{}, g.serveTrialRequest)
	config.Transport.Handle(TrialEnded{}, g.serveTrialEnded)
	return g
}

// Entries returns the entries in force.
func (g *Guard) Entries() []Entry { return g.quarantine.All() }

// Replace applies a complete read of the store's keys.
func (g *Guard) Replace(keyValues []outside.KeyValue) {
	g.entryStore.replace(keyValues)
	for _, keyValue := range keyValues {
		g.shared.load(keyValue)
	}
}

// Restored applies a complete read of the store's keys after the store was restored from a
// backup. Entries that the restore lost stay in force and are saved again.
func (g *Guard) Restored(keyValues []outside.KeyValue) {
	g.entryStore.restored(keyValues)
	g.shared.restored(keyValues)
}

// Change applies one key that was written to the store or deleted there.
func (g *Guard) Change(event outside.WatchEvent) {
	g.entryStore.change(event)
	if !event.Deleted {
		g.shared.load(event.KeyValue)
	}
}

// RequestServed records that a server which began a request at the given time served it
// completely.
func (g *Guard) RequestServed(request Request, began time.Time) {
	if request.Identity.IsZero() {
		return
	}
	g.served.add(request, began)
	if g.quarantine.isEmpty() {
		return
	}
	if request.Trial != nil {
		request.Trial.reported.Store(true)
		g.config.OnTrial(TrialServed)
	}
	for _, identity := range request.identities() {
		g.reportRivalServed(identity, began)
		if entry, quarantined := g.quarantine.Lookup(identity, time.Now()); quarantined {
			g.withdrawIfServed(entry)
		}
	}
}

// withdrawIfServed releases an identity everywhere that a server has served since the first crash
// of its entry. It reports whether that is so.
func (g *Guard) withdrawIfServed(entry Entry) bool {
	released, served := g.releaseIfServed(entry)
	if served {
		g.broadcast(released, true)
		g.entryStore.remove(entry.Identity, time.Now())
	}
	return served
}

// AttemptBroken records that a server closed the connection of an attempt, begun at the given
// time, before its answer was complete. The attempt counts once the server is proved to have
// crashed, and not where its shutdown was planned: a server that drains or has deregistered
// stops in an orderly way.
func (g *Guard) AttemptBroken(ctx context.Context, request Request, server *fleet.Server, began time.Time) {
	g.attemptEnded(ctx, request, server, began, false)
}

// AnswerUnframed records that the connection of an attempt, begun at the given time, ended after
// an answer that may be complete: nothing in it tells. It is, unless the server has crashed.
func (g *Guard) AnswerUnframed(ctx context.Context, request Request, server *fleet.Server, began time.Time) {
	g.attemptEnded(ctx, request, server, began, true)
}

func (g *Guard) attemptEnded(ctx context.Context, request Request, server *fleet.Server, began time.Time, maybeComplete bool) {
	if request.Identity.IsZero() || g.leftAsPlanned(server.ID) {
		return
	}
	if request.Trial != nil {
		request.Trial.reported.Store(true)
	}
	now := time.Now()
	probe, crashed := g.suspects.add(request, server.ID, server.Address, maybeComplete, began, now)
	switch {
	case crashed:
		g.queueCrash(timedCrash{
			server: server.ID, suspects: []suspect{{Request: request, elapsed: now.Sub(began)}},
			served: g.served.among(request.identities()), at: now,
		})
	case probe:
		go g.probe(context.WithoutCancel(ctx), server)
	}
}

// leftAsPlanned reports whether a server drains, or deregistered before the recent views. A server
// that these list without a drain did not shut down as planned, even if its record is deleted by
// now: that happens where another server takes a crashed one's place at once.
func (g *Guard) leftAsPlanned(server string) bool {
	listed := g.config.View.Load().Servers[server]
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, earlier := range g.recentViews {
		if listed == nil && earlier != nil {
			listed = earlier.Servers[server]
		}
	}
	return listed == nil || listed.Draining
}

// probe finds out whether a server that broke attempts has crashed.
func (g *Guard) probe(ctx context.Context, server *fleet.Server) {
	for again := true; again; {
		began := time.Now()
		var err error
		for _, after := range []time.Duration{firstProbeDelay, secondProbeDelay} {
			time.Sleep(time.Until(began.Add(after)))
			if err = g.config.Connect(ctx, server.Address); errors.Is(err, syscall.ECONNREFUSED) {
				g.ServerCrashed(server.ID, "refuses connections")
				return
			}
		}
		if err != nil {
			// No answer and no refusal: its record in the store decides, or a later probe.
			g.suspects.endProbe(server.ID)
			return
		}
		var ended []brokenAttempt
		ended, again = g.suspects.confirmAlive(server.ID, began)
		g.survived(ended)
	}
}

// survived records attempts that did not crash their server.
func (g *Guard) survived(attempts []brokenAttempt) {
	for _, attempt := range attempts {
		switch trial := attempt.request.Trial; {
		case attempt.maybeComplete:
			g.RequestServed(attempt.request, attempt.at.Add(-attempt.elapsed))
		case trial != nil:
			trial.reported.Store(false)
			g.EndTrial(trial, true)
		}
	}
}

// ServerCrashed records that a server is known to have crashed.
func (g *Guard) ServerCrashed(server, proof string) {
	suspects, brokeAt := g.suspects.confirmCrash(server)
	if len(suspects) == 0 {
		return
	}
	g.config.OnCrash()
	identities := identitiesOf(suspects)
	g.config.Logger.Warn().Str("server", server).Str("proof", proof).Int("requests", len(identities)).
		Strs("identities", loggedIdentities(identities)).Strs("parts", loggedParts(suspects)).Msg("server ended under requests")
	crash := timedCrash{server: server, suspects: suspects, at: brokeAt}
	crash.served = g.served.among(crash.identities())
	for _, suspect := range suspects {
		if suspect.Trial != nil {
			g.config.OnTrial(TrialCrashed)
		}
	}
	g.queueCrash(crash)
}

func identitiesOf(suspects []suspect) []Identity {
	identities := make([]Identity, len(suspects))
	for i, suspect := range suspects {
		identities[i] = suspect.Identity
	}
	return identities
}

func loggedIdentities(identities []Identity) []string {
	var texts []string
	for _, identity := range identities[:min(len(identities), maxLoggedIdentities)] {
		texts = append(texts, identity.String())
	}
	return texts
}

// loggedParts returns the parts of the suspects' prompts, those of the most suspects first, each
// with its identity and the number of these.
func loggedParts(suspects []suspect) []string {
	counts, ids := map[Identity]int{}, map[Identity]string{}
	for _, suspect := range suspects {
		for _, part := range suspect.Parts {
			counts[part.Identity]++
			ids[part.Identity] = part.loggedID()
		}
	}
	parts := slices.SortedFunc(maps.Keys(counts), func(a, b Identity) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), a.compare(b))
	})
	var texts []string
	for _, part := range parts[:min(len(parts), maxLoggedIdentities)] {
		texts = append(texts, fmt.Sprintf("%s:%s=%d", ids[part], part, counts[part]))
	}
	return texts
}

// Run drives retries, expiry and writes to the store until ctx is done.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		g.rememberView()
		g.checkRecords(now)
		g.sendReports(now)
		for _, identity := range g.quarantine.removeExpired(now) {
			g.crashes.QuarantineExpired(identity)
			g.entryStore.remove(identity, now.Add(g.entryStore.delay(identity)))
			g.config.Logger.Info().Str("identity", identity.String()).Str("reason", "its time is over").Msg("request released")
		}
		g.confirm(now)
		g.entryStore.tick(now)
		g.shared.tick(now)
	}
}

// rememberView keeps the current snapshot for leftAsPlanned.
func (g *Guard) rememberView() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.recentViews[0], g.recentViews[1] = g.config.View.Load(), g.recentViews[0]
}

// checkRecords detects crashes by the servers' records: a record that was deleted without a
// drain, or an address that another incarnation has taken.
func (g *Guard) checkRecords(now time.Time) {
	unresolved := g.suspects.unresolved(now)
	if len(unresolved) == 0 {
		return
	}
	servers := g.config.View.Load().Servers
	owner := map[string]string{}
	for id, server := range servers {
		owner[server.Address] = id
	}
	for id, address := range unresolved {
		switch {
		case servers[id] == nil:
			g.ServerCrashed(id, "its record is gone")
		case owner[address] != id:
			g.ServerCrashed(id, "another server has its address")
		}
	}
}
