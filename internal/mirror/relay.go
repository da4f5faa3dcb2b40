package mirror

import (
	"context"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

const (
	// subscribePeriod is the time between a node's subscriptions, which expire after
	// subscriptionTTL.
	subscribePeriod = 2 * time.Second
	subscriptionTTL = 5 * time.Second
	// relayCheckPeriod is the time between checks for another relay.
	relayCheckPeriod = 200 * time.Millisecond
	// initialSubscribePeriod is the time between subscriptions of a node that has not received an
	// update from any relay yet. A relay refuses connections while hundreds of nodes connect at
	// once; with subscribePeriod instead, 615 of 985 nodes watched 10,000 servers in the store
	// until they tried again.
	initialSubscribePeriod = 400 * time.Millisecond
	// subscribeTimeout bounds the wait for the reply to a subscription.
	subscribeTimeout = 400 * time.Millisecond
	// maxRecordsPushed and minRecordsPushed bound how many records are pushed at once to each
	// subscriber; see recordLimit. A larger change, such as all servers when a deployment starts, is
	// read from the store by each node, as it would exceed the relay's link and memory.
	maxRecordsPushed, minRecordsPushed = 2000, 8
	// pushShare of the time between two pushes is how long one push may occupy a node's link. At
	// twice that time, nodes with some thirty subscribers on 20 Mbit/s fell behind by two seconds
	// while 1,700 servers a second registered.
	pushShare = 0.5
	// recordBytes and packedRecordBytes are the sizes of a record in a message, and in a packed one.
	recordBytes, packedRecordBytes = 120, 32
)

// Subscribe asks the relay for the changes after the revision.
type Subscribe struct {
	// Address and Zone of the subscriber.
	Address, Zone string
	Revision      int64
	// Digest of the subscriber's records at the revision.
	Digest Digest
	// Avoid is a node that did not answer, and that the relay should not name again; empty: none.
	Avoid string
	// Unpacks is set if the subscriber understands packed records. Earlier builds don't.
	Unpacks bool
}

// Update carries the changes of the store after Base, up to At; none if the two are equal.
type Update struct {
	Base, At int64
	// Era of the store that the sender is in; zero from builds without eras.
	Era int64
	// Age of the sender's state when it sent this.
	Age time.Duration
	// Configuration is the revision of the newest one.
	Configuration int64
	// Content is that configuration, compressed; empty if it is not sent, so that it has to be read
	// from the store unless it follows soon.
	Content []byte
	// Digest of all records at the revision At; zero in updates that are pushed.
	Digest Digest
	// Skipped is set if more records changed than are sent, so that they have to be read from the
	// snapshot in the store. Own then holds all own keys that exist, whatever the base.
	Skipped bool
	Servers []ServerRecord
	Ended   []string
	Own     []outside.WatchEvent
	// Confirmation of the sender's state by the store that Age counts from.
	Confirmation Confirmation
	// Packed holds the records in place of Servers, if there are many and the receiver unpacks
	// them.
	Packed []byte
	// Rejected are the servers whose records in the store can't be used, as in Changes. Earlier builds
	// ignore them.
	Rejected []ServerRecord
}

// subscriber is a node that subscribed to updates.
type subscriber struct {
	zone         string
	subscribedAt time.Time
	// unpacks is set if it understands packed records.
	unpacks bool
}

// size is the number of records and removals.
func (u Update) size() int { return len(u.Servers) + len(u.Ended) + len(u.Rejected) }

// recordLimit returns how many records may be sent at once to each of a number of subscribers, in so
// many bytes each: what the machine's link can carry, up to maxRecordsPushed, but no less than a
// subscriber's share of maxRecordsPushed, and no less than minRecordsPushed. The share alone is two of
// 2,000 records for each of 985 subscribers, so that any change sent all nodes to the store.
func (m *Mirror) recordLimit(subscribers, bytesPerRecord int) int {
	subscribers = max(subscribers, 1)
	bytes := m.config.LinkBytesPerSecond * share(pushShare*relayPollShare, m.config.Times.Changes).Seconds()
	capacity := min(int(bytes)/bytesPerRecord/subscribers, maxRecordsPushed)
	return max(capacity, maxRecordsPushed/subscribers, minRecordsPushed)
}

// limitUpdate reports whether an update, whose changes are complete if ok is set, can be sent to
// each of a number of subscribers. In a large fleet it omits the records if they are incomplete or
// too many. It must be called with the lock held.
func (m *Mirror) limitUpdate(update *Update, ok bool, subscribers int) bool {
	bytesPerRecord := packedRecordBytes
	for _, entry := range m.subscribers {
		if !entry.unpacks {
			bytesPerRecord = recordBytes
		}
	}
	if ok && update.size() <= m.recordLimit(subscribers, bytesPerRecord) {
		return true
	}
	if !m.largeFleet || m.revision == 0 {
		return false
	}
	update.Servers, update.Ended, update.Rejected, update.Skipped = nil, nil, nil, true
	update.At, update.Configuration, update.Own = m.revision, m.state.configuration, m.state.ownAfter(0)
	return true
}

// NotRelay is the reply of a node that can't provide the changes asked for.
type NotRelay struct{}

func init() {
	peer.RegisterAs("mirror.Subscribe", Subscribe{})
	peer.RegisterAs("mirror.Update", Update{})
	peer.RegisterAs("mirror.NotRelay", NotRelay{})
	peer.RegisterAs("mirror.Redirect", Redirect{})
}

// subscribe renews the subscription periodically, and at once when there is another relay or an
// update was missed.
func (m *Mirror) subscribe(ctx context.Context) {
	ticker := time.NewTicker(relayCheckPeriod)
	defer ticker.Stop()
	var lastParent string
	var lastSubscribed time.Time
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-m.resubscribe:
			requested = true
		case <-ticker.C:
		}
		parent := m.parent()
		if parent != "" && (requested || parent != lastParent || time.Since(lastSubscribed) >= m.subscribePeriod()) {
			m.subscribeTo(parent)
			lastSubscribed = time.Now()
		}
		lastParent = parent
	}
}

// subscribePeriod returns the time between subscriptions.
func (m *Mirror) subscribePeriod() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.relayConfirmedAt.IsZero() ||
		m.confirmations.looselyBound(m.relayConfirmation.Origin, share(looseRoundTripShare, m.config.Times.Changes)) {
		return initialSubscribePeriod
	}
	return subscribePeriod
}

// subscribeTo sends a subscription to the relay or parent, and processes the reply.
func (m *Mirror) subscribeTo(relay string) {
	m.mutex.Lock()
	revision, digest, avoid := m.revision, m.currentDigest(), m.tree.avoid
	m.mutex.Unlock()
	if revision == 0 {
		return
	}
	message := Subscribe{Address: m.config.Address, Zone: m.config.Zone, Revision: revision, Digest: digest, Avoid: avoid, Unpacks: true}
	asked := time.Now()
	m.config.Transport.Call(relay, message, subscribeTimeout, func(reply peer.Message, err error) {
		now := time.Now()
		if err == nil {
			m.noteRoundTrip(relay, asked, now)
		}
		if update, isUpdate := reply.(Update); isUpdate && err == nil {
			m.receive(update, receipt{from: relay, asked: asked, received: now})
			return
		}
		m.handleRefusal(reply, relay)
	})
}

// serveSubscribe replies with the changes since the subscriber's revision if this node's state is
// fresh, or names another node to subscribe to.
func (m *Mirror) serveSubscribe(_ string, message peer.Message, reply func(peer.Message, error)) {
	request := message.(Subscribe)
	now := time.Now()
	m.mutex.Lock()
	if inner, redirected := m.redirect(request, now); redirected {
		m.mutex.Unlock()
		reply(Redirect{Address: inner}, nil)
		return
	}
	behind := outside.EraOf(request.Revision) > m.era
	if behind && m.revision > 0 {
		m.rereadForEra(request.Address, now)
	}
	age := now.Sub(m.confirmedAsOf())
	update, ok := m.state.updateSince(request.Revision, max(m.revision, request.Revision), age)
	ok = m.limitUpdate(&update, ok && !m.partial, len(m.subscribers)) && m.revision > 0 && !behind && age < m.maxRelayAge()
	update.Era, update.Confirmation = m.era, m.confirmation()
	if update.At == m.revision {
		update.Digest = m.currentDigest()
	}
	if m.revision > 0 && (!m.following || ok) {
		// The subscription counts even if the state is not fresh now: a node with subscribers polls
		// the store often, so that it soon is.
		m.subscribers[request.Address] = subscriber{zone: request.Zone, subscribedAt: now, unpacks: request.Unpacks}
		m.compareDigest(request.Digest, request.Revision, request.Address, now)
	}
	m.mutex.Unlock()
	if !ok {
		reply(NotRelay{}, nil)
		return
	}
	if request.Unpacks {
		update = update.packed()
	}
	reply(update, nil)
}

// serveUpdate handles an update that was pushed to this node.
func (m *Mirror) serveUpdate(from string, message peer.Message, reply func(peer.Message, error)) {
	m.handleUpdate(message.(Update), from)
	reply(nil, nil)
}

// handleUpdate handles an update that a node pushed.
func (m *Mirror) handleUpdate(update Update, from string) {
	m.receive(update, receipt{from: from, received: time.Now()})
}

// receive applies an update from the relay and passes it on.
func (m *Mirror) receive(update Update, by receipt) {
	update, err := update.unpacked()
	if err != nil {
		m.config.Logger.Error().Err(err).Str("node", by.from).Msg("packed records are not understood")
		return
	}
	if m.applyUpdate(update, by) {
		m.push(by.received)
	}
}

// minFresherShare of Times.Changes is by how much an update without changes must be fresher than
// the last one to be passed on, so that the same confirmation from several nodes is passed on once.
const minFresherShare = 0.02

// applyUpdate reports whether the update has to be passed on to subscribers.
func (m *Mirror) applyUpdate(update Update, by receipt) bool {
	from, now := by.from, by.received
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.revision == 0 {
		return false
	}
	if update.Era != m.era {
		if update.Era > m.era {
			m.rereadForEra(from, now)
		}
		return false
	}
	if update.Base > m.revision && !update.Skipped {
		signal(m.resubscribe)
		return false
	}
	revision, configuration, confirmedBefore := m.revision, m.configurationRevision, m.relayConfirmedAt
	if update.Skipped {
		m.applySkipped(update, now)
	} else {
		m.apply(update.changes(now))
	}
	m.applyConfigurationUpdate(update, now)
	m.adoptConfirmation(update, by)
	m.compareDigest(update.Digest, update.At, from, now)
	signal(m.wakeup)
	changed := m.revision > revision || m.configurationRevision > configuration ||
		m.relayConfirmedAt.Sub(confirmedBefore) > share(minFresherShare, m.config.Times.Changes)
	return changed && len(m.subscribers) > 0
}

// changes returns the update as Changes without a configuration.
func (u Update) changes(now time.Time) Changes {
	changes := Changes{Base: u.Base, At: u.At, Own: u.Own, Servers: make(map[string]*fleet.Server, len(u.Servers)+len(u.Ended))}
	sets := modelSets{}
	for _, record := range u.Servers {
		changes.Servers[record.ID] = record.server(now, sets)
	}
	for _, id := range u.Ended {
		changes.Servers[id] = nil
	}
	changes.Rejected = rejectedServers(u.Rejected, now, sets)
	return changes
}

// push sends the subscribers the changes since the last push, or an empty update if there are none.
func (m *Mirror) push(now time.Time) {
	if m.config.Transport == nil {
		return
	}
	m.mutex.Lock()
	subscribers, after := m.liveSubscribers(now), max(m.pushedRevision, m.state.baseRevision)
	m.pushedRevision = m.revision
	if len(subscribers) == 0 {
		m.mutex.Unlock()
		return
	}
	age := now.Sub(m.confirmedAsOf())
	update, ok := m.state.updateSince(after, m.revision, age)
	ok = m.limitUpdate(&update, ok && !m.partial, len(subscribers))
	update.Era, update.Confirmation = m.era, m.confirmation()
	unpacks := m.unpackingSubscribers()
	if ok {
		update.Content = m.contentToPush(len(subscribers), now)
	}
	m.mutex.Unlock()
	if !ok {
		return
	}
	update.Content = compress(update.Content)
	packed := update.packed()
	for _, address := range subscribers {
		if unpacks[address] {
			m.config.Transport.Send(address, packed)
		} else {
			m.config.Transport.Send(address, update)
		}
	}
}

// liveSubscribers returns the subscribers' addresses and removes expired subscriptions. It must be
// called with the lock held.
func (m *Mirror) liveSubscribers(now time.Time) []string {
	var live []string
	for address, entry := range m.subscribers {
		if now.Sub(entry.subscribedAt) > subscriptionTTL {
			delete(m.subscribers, address)
			continue
		}
		live = append(live, address)
	}
	return live
}

// unpackingSubscribers returns the addresses of the subscribers that understand packed records. It
// must be called with the lock held.
func (m *Mirror) unpackingSubscribers() map[string]bool {
	unpacks := make(map[string]bool, len(m.subscribers))
	for address, entry := range m.subscribers {
		unpacks[address] = entry.unpacks
	}
	return unpacks
}
