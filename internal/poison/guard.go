package poison

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

const (
	// firstLook and secondLook are the times after a broken attempt at which its server
	// is looked at: an ended one refuses connections at once, or, where its sockets are
	// closed one by one, soon.
	firstLook, secondLook = 20 * time.Millisecond, 300 * time.Millisecond
	// reportPause gathers what was under way at servers that end together.
	reportPause = 10 * time.Millisecond
	// settlePause between a report and the decision, in which the other nodes that had
	// requests at the server report as well.
	settlePause = 150 * time.Millisecond
	// tickPeriod between looks at what is open: reports without an answer, records of
	// servers, holds that are over, the store.
	tickPeriod = 500 * time.Millisecond
	// reportTimeout of a report, which is sent again for reportMemory. After shareAfter
	// without an answer it goes by way of the store as well: two tries, so that one lost
	// message costs no call to the store.
	reportTimeout = 400 * time.Millisecond
	shareAfter    = 900 * time.Millisecond
	reportMemory  = 15 * time.Second
	// loggedIdentities of a server's end.
	loggedIdentities = 8
)

// Config of a Guard.
type Config struct {
	View *fleet.View
	// Connect finds out whether somebody listens at a server's address; ECONNREFUSED:
	// nobody does.
	Connect func(ctx context.Context, address string) error
	// Collectors are the addresses of the nodes that collect reports.
	Collectors func() []string
	// Followers are the nodes that this one must tell of entries: those that report to
	// it, if it holds the orders.
	Followers func() []string
	Transport peer.Transport
	// Address of this node.
	Address string
	// Store keeps entries for nodes that start, or were not reached, and ends that not
	// all collectors heard of. The prefixes begin their keys.
	Store                        outside.KeyValueService
	EntriesPrefix, CrashesPrefix string
	// OnCrash is called with each server that ended under requests; nil: not called.
	OnCrash func()
	Logger  zerolog.Logger
}

// Guard is a node's part in finding poison requests. It is safe for concurrent use.
//
// Without it one request ended 14 servers within 45 s, each with up to 12 other requests
// under way (7 nodes, 18 servers; count of servers that closed all connections at once and
// refused new ones). With it three end (three whole nodes, one try after the other), and
// all of 7 nodes know 0.16 s after the last (19 of 19, by the times of their log lines).
type Guard struct {
	config     Config
	suspects   *suspects
	served     *served
	ledger     *Ledger
	quarantine *Quarantine
	record     *record
	shared     *sharedEnds

	mutex sync.Mutex
	// gathered ends of this node that go out together, and the unanswered reports.
	gathered   []timedEnd
	unanswered []*unanswered
	// deciding: a decision is due.
	deciding bool
	// recent views, as of the last ticks: servers that leave as planned serve on for
	// longer than these are old.
	recent [2]*fleet.Snapshot
}

// unanswered is a report that a collector has not answered yet.
type unanswered struct {
	collector string
	ends      []timedEnd
	since     time.Time
	// sending: an answer is being waited for.
	sending bool
}

// NewGuard returns a guard and registers its messages with the transport.
func NewGuard(config Config) *Guard {
	if config.OnCrash == nil {
		config.OnCrash = func() {}
	}
	g := &Guard{
		config: config, suspects: newSuspects(), served: newServed(), ledger: NewLedger(), quarantine: NewQuarantine(),
	}
	g.record, g.shared = newRecord(g), newSharedEnds(g)
	config.Transport.Handle(Report{}, g.serveReport)
	config.Transport.Handle(Quarantined{}, g.serveQuarantined)
	config.Transport.Handle(Released{}, g.serveReleased)
	return g
}

// Held returns the entry by which an identity is refused.
func (g *Guard) Held(identity Identity) (Entry, bool) {
	return g.quarantine.Refused(identity, time.Now())
}

// Entries in force.
func (g *Guard) Entries() []Entry { return g.quarantine.All() }

// Replace takes over all keys that the store holds.
func (g *Guard) Replace(keyValues []outside.KeyValue) {
	g.record.replace(keyValues)
	for _, keyValue := range keyValues {
		g.shared.take(keyValue)
	}
}

// Restored takes over all keys that the store holds after it came back from a backup. The
// entries that it lost still hold, and are saved again.
func (g *Guard) Restored(keyValues []outside.KeyValue) {
	g.record.restored(keyValues)
	g.shared.restored(keyValues)
}

// Change takes over one key that was written to the store, or removed there.
func (g *Guard) Change(event outside.WatchEvent) {
	g.record.change(event)
	if !event.Deleted {
		g.shared.take(event.KeyValue)
	}
}

// Served notes that a server which began with the identity at the time served it whole.
func (g *Guard) Served(identity Identity, began time.Time) {
	if identity.IsZero() {
		return
	}
	g.served.add(identity, began)
	g.clearRival(identity, began)
}

// Broke notes that a server closed the connection of an attempt, begun at the time, before
// its answer was whole. It counts once it is proved that the server ended, and not where that was
// planned: a server that drains, or that took its record away, ends in time.
func (g *Guard) Broke(ctx context.Context, identity Identity, server *fleet.Server, began time.Time) {
	if identity.IsZero() || g.leftAsPlanned(server.ID) {
		return
	}
	now := time.Now()
	check, ended := g.suspects.add(identity, server.ID, server.Address, began, now)
	switch {
	case ended:
		g.report(timedEnd{
			server: server.ID, suspects: []suspect{{identity: identity, elapsed: now.Sub(began)}},
			served: g.served.of([]Identity{identity}), at: now,
		})
	case check:
		go g.look(context.WithoutCancel(ctx), server)
	}
}

// leftAsPlanned reports whether a server drains, or took its record away a while ago: one
// whose record goes together with it, since another one takes its place, did not.
func (g *Guard) leftAsPlanned(server string) bool {
	listed := g.config.View.Load().Servers[server]
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, earlier := range g.recent {
		if listed == nil && earlier != nil {
			listed = earlier.Servers[server]
		}
	}
	return listed == nil || listed.Draining
}

// look finds out whether a server that broke attempts has ended.
func (g *Guard) look(ctx context.Context, server *fleet.Server) {
	for again := true; again; {
		began := time.Now()
		var err error
		for _, after := range []time.Duration{firstLook, secondLook} {
			time.Sleep(time.Until(began.Add(after)))
			if err = g.config.Connect(ctx, server.Address); errors.Is(err, syscall.ECONNREFUSED) {
				g.Ended(server.ID, "refuses connections")
				return
			}
		}
		if err != nil {
			// Nobody answers: its record will tell.
			return
		}
		again = g.suspects.lives(server.ID, began)
	}
}

// Ended notes that a server is known to have ended.
func (g *Guard) Ended(server, proof string) {
	suspects, brokeAt := g.suspects.end(server)
	if len(suspects) == 0 {
		return
	}
	g.config.OnCrash()
	identities := identitiesOf(suspects)
	g.config.Logger.Warn().Str("server", server).Str("proof", proof).Int("requests", len(identities)).
		Strs("identities", logged(identities)).Msg("server ended under requests")
	g.report(timedEnd{server: server, suspects: suspects, served: g.served.of(identities), at: brokeAt})
}

func identitiesOf(suspects []suspect) []Identity {
	identities := make([]Identity, len(suspects))
	for i, suspect := range suspects {
		identities[i] = suspect.identity
	}
	return identities
}

func logged(identities []Identity) []string {
	var texts []string
	for _, identity := range identities[:min(len(identities), loggedIdentities)] {
		texts = append(texts, identity.String())
	}
	return texts
}

// Run looks after what is open until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		g.keepView()
		g.lookAtRecords(now)
		g.sendUnanswered(now)
		for _, identity := range g.quarantine.removeOver(now) {
			g.ledger.Expired(identity)
			g.record.remove(identity, now.Add(g.record.delay(identity)))
			g.config.Logger.Info().Str("identity", identity.String()).Str("reason", "its time is over").Msg("request released")
		}
		g.confirm(now)
		g.record.tick(now)
		g.shared.tick(now)
	}
}

// keepView remembers which servers are listed now.
func (g *Guard) keepView() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.recent[0], g.recent[1] = g.config.View.Load(), g.recent[0]
}

// lookAtRecords finds the servers that ended by their records: these are gone without
// a drain, or another incarnation has the address.
func (g *Guard) lookAtRecords(now time.Time) {
	open := g.suspects.open(now)
	if len(open) == 0 {
		return
	}
	servers := g.config.View.Load().Servers
	owner := map[string]string{}
	for id, server := range servers {
		owner[server.Address] = id
	}
	for id, address := range open {
		switch {
		case servers[id] == nil:
			g.Ended(id, "its record is gone")
		case owner[address] != id:
			g.Ended(id, "another server has its address")
		}
	}
}
