package mirror

import (
	"context"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

const (
	// subscribePeriod between a node's subscriptions, which end after
	// subscriptionTime.
	subscribePeriod  = 2 * time.Second
	subscriptionTime = 5 * time.Second
	// relayPeriod between looks for another relay.
	relayPeriod = 200 * time.Millisecond
	// unheardPeriod between the subscriptions of a node that no relay told anything yet. A
	// relay refuses connections while hundreds of nodes come at once; 615 of 985 that
	// came back after subscribePeriod watched 10,000 servers in the store meanwhile.
	unheardPeriod = 400 * time.Millisecond
	// subscribeTimeout is how long an answer to a subscription is waited for.
	subscribeTimeout = 400 * time.Millisecond
	// mostTold records go out at once at most, and leastTold to each subscriber. What is
	// more, such as all servers when a deployment starts, each node reads from the
	// store: the relay's link and memory are not made for it.
	mostTold, leastTold = 2000, 8
	// toldShare of the time for changes is how long the relay's link may be busy with
	// one change, and recordBytes what a record takes in a message.
	toldShare, recordBytes = 0.25, 120
)

// Subscribe asks the relay for what changes after the revision.
type Subscribe struct {
	// Address and Zone of the subscriber.
	Address, Zone string
	Revision      int64
	// Digest of the records that it knows at the revision.
	Digest Digest
	// Avoid is a node that was asked in vain; empty: none.
	Avoid string
}

// Update tells what changed in the store after Base, up to At; nothing, if the
// two are equal.
type Update struct {
	Base, At int64
	// Era of the store that the sender is in; zero from builds that know none.
	Era int64
	// Age of the relay's knowledge when it told this.
	Age time.Duration
	// Configuration is the newest one's revision.
	Configuration int64
	// Content is that configuration, packed; empty where it is not told, so that it has
	// to be read from the store if it does not come soon.
	Content []byte
	// Digest of all records at the revision At; zero in what is pushed.
	Digest Digest
	// Skipped: more records changed than are told, so that they have to be taken from the
	// copy in the store. Own are all own keys that exist then, whatever the base.
	Skipped bool
	Servers []ServerRecord
	Ended   []string
	Own     []outside.WatchEvent
}

// subscriber is a node that asked to be told.
type subscriber struct {
	zone    string
	askedAt time.Time
}

// size is the number of records.
func (u Update) size() int { return len(u.Servers) + len(u.Ended) }

// mostFor is how many records each of so many subscribers is told at once: what the
// machine's link bears. At 985 subscribers a bound of 2,000 records in all is two for
// each, so that any change sent all nodes to the store.
func (m *Mirror) mostFor(subscribers int) int {
	subscribers = max(subscribers, 1)
	bytes := m.config.LinkBytesPerSecond * share(toldShare, m.config.Times.Changes).Seconds()
	borne := min(int(bytes/recordBytes)/subscribers, mostTold)
	return max(borne, mostTold/subscribers, leastTold)
}

// bearable reports whether an update can be told to each of so many subscribers. In a
// large fleet it leaves the records out where they are too many. It must be called with
// the lock held.
func (m *Mirror) bearable(update *Update, can bool, subscribers int) bool {
	if can && update.size() <= m.mostFor(subscribers) {
		return true
	}
	if !m.large || m.revision == 0 {
		return false
	}
	update.Servers, update.Ended, update.Skipped = nil, nil, true
	update.At, update.Configuration, update.Own = m.revision, m.known.configuration, m.known.ownAfter(0)
	return true
}

// NotRelay is the answer of a node that can't tell what was asked for.
type NotRelay struct{}

func init() {
	peer.RegisterAs("mirror.Subscribe", Subscribe{})
	peer.RegisterAs("mirror.Update", Update{})
	peer.RegisterAs("mirror.NotRelay", NotRelay{})
	peer.RegisterAs("mirror.Redirect", Redirect{})
}

// subscribe asks the relay now and then, and at once when there is another one or
// changes were missed.
func (m *Mirror) subscribe(ctx context.Context) {
	ticker := time.NewTicker(relayPeriod)
	defer ticker.Stop()
	var last string
	var asked time.Time
	for {
		missed := false
		select {
		case <-ctx.Done():
			return
		case <-m.missed:
			missed = true
		case <-ticker.C:
		}
		relay := m.parent()
		if relay != "" && (missed || relay != last || time.Since(asked) >= m.subscribePeriod()) {
			m.ask(relay)
			asked = time.Now()
		}
		last = relay
	}
}

// subscribePeriod is the time between subscriptions.
func (m *Mirror) subscribePeriod() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.relayedAt.IsZero() {
		return unheardPeriod
	}
	return subscribePeriod
}

func (m *Mirror) ask(relay string) {
	m.mutex.Lock()
	revision, digest, avoid := m.revision, m.digestNow(), m.tree.avoid
	m.mutex.Unlock()
	if revision == 0 {
		return
	}
	message := Subscribe{Address: m.config.Address, Zone: m.config.Zone, Revision: revision, Digest: digest, Avoid: avoid}
	m.config.Transport.Call(relay, message, subscribeTimeout, func(reply peer.Message, err error) {
		if update, told := reply.(Update); told && err == nil {
			m.takeUpdate(update, relay)
			return
		}
		m.takeRefusal(reply, relay)
	})
}

// serveSubscribe answers with what changed since, if this node reads the store
// itself and its knowledge is fresh.
func (m *Mirror) serveSubscribe(_ string, message peer.Message, reply func(peer.Message, error)) {
	asked := message.(Subscribe)
	now := time.Now()
	m.mutex.Lock()
	if inner, redirected := m.redirect(asked, now); redirected {
		m.mutex.Unlock()
		reply(Redirect{Address: inner}, nil)
		return
	}
	behind := outside.EraOf(asked.Revision) > m.era
	if behind && m.revision > 0 {
		m.readAgain(asked.Address, now)
	}
	age := now.Sub(m.heardAt())
	update, can := m.known.update(asked.Revision, max(m.revision, asked.Revision), age)
	can = m.bearable(&update, can && !m.partial, len(m.subscribers)) && m.revision > 0 && !behind && age < m.trust()
	update.Era = m.era
	if update.At == m.revision {
		update.Digest = m.digestNow()
	}
	if m.revision > 0 && (!m.through || can) {
		// Also if the knowledge is not fresh now: with a subscriber it soon is.
		m.subscribers[asked.Address] = subscriber{zone: asked.Zone, askedAt: now}
		m.compare(asked.Digest, asked.Revision, asked.Address, now)
	}
	m.mutex.Unlock()
	if !can {
		reply(NotRelay{}, nil)
		return
	}
	reply(update, nil)
}

func (m *Mirror) serveUpdate(from string, message peer.Message, reply func(peer.Message, error)) {
	m.takeUpdate(message.(Update), from)
	reply(nil, nil)
}

// takeUpdate takes over what the relay told.
func (m *Mirror) takeUpdate(update Update, from string) {
	now := time.Now()
	if m.applyUpdate(update, from, now) {
		m.push(now)
	}
}

// freshShare of the time for changes is by how much word must be fresher to be passed on,
// if it says nothing new. Two nodes that tell each other would else never stop.
const freshShare = 0.02

// applyUpdate reports whether the update was one that others have to be told.
func (m *Mirror) applyUpdate(update Update, from string, now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.revision == 0 {
		return false
	}
	if update.Era != m.era {
		if update.Era > m.era {
			m.readAgain(from, now)
		}
		return false
	}
	if update.Base > m.revision && !update.Skipped {
		signal(m.missed)
		return false
	}
	revision, configuration, freshAt := m.revision, m.configuration, m.relayedAt
	if update.Skipped {
		m.skip(update, now)
	} else {
		m.apply(update.changes(now))
	}
	m.noteConfiguration(update, now)
	if confirmed := now.Add(-update.Age); confirmed.After(m.relayedAt) {
		m.relayedAt = confirmed
	}
	m.compare(update.Digest, update.At, from, now)
	signal(m.woken)
	news := m.revision > revision || m.configuration > configuration ||
		m.relayedAt.Sub(freshAt) > share(freshShare, m.config.Times.Changes)
	return news && len(m.subscribers) > 0
}

// changes returns the update as changes without a configuration.
func (u Update) changes(now time.Time) Changes {
	changes := Changes{Base: u.Base, At: u.At, Own: u.Own, Servers: make(map[string]*fleet.Server, len(u.Servers)+len(u.Ended))}
	sets := modelSets{}
	for _, record := range u.Servers {
		changes.Servers[record.ID] = record.server(now, sets)
	}
	for _, id := range u.Ended {
		changes.Servers[id] = nil
	}
	return changes
}

// push tells the subscribers what changed since the last push, or that nothing did.
func (m *Mirror) push(now time.Time) {
	if m.config.Transport == nil {
		return
	}
	m.mutex.Lock()
	subscribers, after := m.liveSubscribers(now), max(m.pushed, m.known.since)
	m.pushed = m.revision
	if len(subscribers) == 0 {
		m.mutex.Unlock()
		return
	}
	age := now.Sub(m.heardAt())
	update, can := m.known.update(after, m.revision, age)
	can = m.bearable(&update, can && !m.partial, len(subscribers))
	update.Era = m.era
	if can {
		update.Content = m.contentToTell(len(subscribers), now)
	}
	m.mutex.Unlock()
	if !can {
		return
	}
	update.Content = packed(update.Content)
	for _, address := range subscribers {
		m.config.Transport.Send(address, update)
	}
}

// liveSubscribers must be called with the lock held. It forgets those that ended.
func (m *Mirror) liveSubscribers(now time.Time) []string {
	var live []string
	for address, known := range m.subscribers {
		if now.Sub(known.askedAt) > subscriptionTime {
			delete(m.subscribers, address)
			continue
		}
		live = append(live, address)
	}
	return live
}
