package observation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// Origin is who sent observations.
type Origin struct {
	// Node is the address of the node.
	Node string
	// Holder is set if the node sent them as the order holder. The observations are then those
	// of any node, and are never sent on.
	Holder bool
}

// Cursor is the version up to which a receiver has the observations of a table; the zero value is
// that of a receiver that has none.
type Cursor struct {
	loads, reach uint64
}

// Merge stores observations that another node sent, unless newer ones are stored. It reports
// whether it became known or renewed that a server is unreachable, or that it answers again. Of too
// long a message it takes the first MaxPerMessage.
func (t *Table) Merge(observations []Observation, from Origin, now time.Time) (reachChanged bool) {
	t.update(func() {
		before := t.reachVersion
		for i := range observations[:min(len(observations), MaxPerMessage)] {
			t.merge(&observations[i], origin{node: from.Node, forwarded: from.Holder}, now)
		}
		reachChanged = t.reachVersion != before
	})
	return reachChanged
}

// merge stores one observation. It must be called with the lock held.
func (t *Table) merge(observed *Observation, from origin, now time.Time) {
	found := t.entryOf(observed.Server, now)
	if found == nil {
		return
	}
	// Ages are from another clock only as durations; one that is negative is an error.
	loadAge, reachAge := max(observed.LoadAge, 0), max(observed.ReachAge, 0)
	if observed.LoadKnown && loadAge < LoadLifetime {
		t.setLoad(found, observed.Load, now.Add(-loadAge), from)
	}
	switch {
	case !observed.reachKnown() || reachAge >= SuspicionLifetime:
	case observed.Unreachable:
		t.setUnreachable(found, now.Add(-reachAge), now, from)
	default:
		t.setReachable(found, now.Add(-reachAge), now, from)
	}
}

// Unsent returns this node's own observations that a receiver with the cursor does not have, and
// the cursor after it received them. Observations of whether servers are reachable come first. At
// most MaxPerMessage are returned, so that some may stay unsent; without withLoads, no loads.
func (t *Table) Unsent(cursor Cursor, withLoads bool, now time.Time) ([]Observation, Cursor) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	var message message
	if SharesSuspicions(t.Nodes()) {
		cursor.reach = t.collectReach(&message, cursor.reach, func(from origin) bool { return from.local() }, now)
	}
	if withLoads {
		cursor.loads = t.collectOwnLoads(&message, cursor.loads, now)
	}
	return message.observations, cursor
}

// collectOwnLoads adds this node's own loads after a version, and returns the version up to which
// it did. It must be called with the lock held.
func (t *Table) collectOwnLoads(message *message, after uint64, now time.Time) uint64 {
	if t.version == after {
		return after
	}
	var unsent []*entry
	for _, found := range t.entries {
		if found.loadVersion > after && found.loadFrom.local() && found.loadInForce(now) && SharesLoads(found.load.Slots, t.Nodes()) {
			unsent = append(unsent, found)
		}
	}
	slices.SortFunc(unsent, func(a, b *entry) int { return cmp.Compare(a.loadVersion, b.loadVersion) })
	sent := after
	for _, found := range unsent {
		if !message.setLoad(found, now) {
			return sent
		}
		sent = found.loadVersion
	}
	return t.version
}

// ReachChanges returns what the order holder sends to all nodes after a version: which servers
// became unreachable or answer again, with the address of the node that sent each observation, and
// the version up to which they are returned.
func (t *Table) ReachChanges(after uint64, now time.Time) (observations []Observation, senders []string, version uint64) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	if t.reachVersion <= after || !SharesSuspicions(t.Nodes()) {
		return nil, nil, t.reachVersion
	}
	var message message
	version = t.collectReach(&message, after, func(from origin) bool { return !from.forwarded }, now)
	for i := range message.observations {
		senders = append(senders, t.entries[message.observations[i].Server.ID].reachFrom().node)
	}
	return message.observations, senders, version
}

// ReachVersion returns the version of the last observation of whether a server is reachable.
func (t *Table) ReachVersion() uint64 {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.reachVersion
}

// HasSharedLoads reports whether loads may be in force that nodes tell each other.
func (t *Table) HasSharedLoads(now time.Time) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.SharesLoads(t.fewestSlots) && now.Sub(t.loadAt) < LoadLifetime
}

// collectReach adds the selected observations of whether servers are reachable after a version, and
// returns the version up to which it did. It must be called with the lock held.
func (t *Table) collectReach(message *message, after uint64, selects func(from origin) bool, now time.Time) uint64 {
	if t.reachVersion <= after {
		return after
	}
	var unsent []*entry
	for _, found := range t.entries {
		if found.reachVersion > after && selects(found.reachFrom()) && now.Sub(found.reachAt()) < SuspicionLifetime {
			unsent = append(unsent, found)
		}
	}
	slices.SortFunc(unsent, func(a, b *entry) int { return cmp.Compare(a.reachVersion, b.reachVersion) })
	sent := after
	for _, found := range unsent {
		if !message.setReach(found, now) {
			return sent
		}
		sent = found.reachVersion
	}
	return t.reachVersion
}

// Received is what a node has received from the order holder: the version of the load by server.
type Received map[string]uint64

// candidate is a load that a node may be sent, and the version that it has received before.
type candidate struct {
	entry    *entry
	received uint64
}

// LoadsFor returns the loads that the order holder sends to the node at an address: those of the
// servers in the lists that the node does not have and did not send itself. It records them as
// received, which no other goroutine may use. Shared reports whether loads of any of the servers are
// shared.
//
// If there are more than MaxPerMessage, it returns those that the node received longest ago.
func (t *Table) LoadsFor(address string, lists [][]*fleet.Server, received Received, now time.Time) (observations []Observation, shared bool) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	var candidates []candidate
	inForce, nodes := 0, t.Nodes()
	for _, servers := range lists {
		for _, server := range servers {
			found := t.entries[server.ID]
			if found == nil || !found.sharesLoad(nodes, now) || !found.matches(server.Incarnation()) {
				continue
			}
			inForce++
			version := received[server.ID]
			if found.loadVersion <= version || found.loadFrom.node == address {
				continue
			}
			// A server may be in several lists.
			received[server.ID] = found.loadVersion
			candidates = append(candidates, candidate{found, version})
		}
	}
	if len(received) > inForce+MaxPerMessage {
		t.pruneReceived(received, now)
	}
	observations = make([]Observation, 0, min(len(candidates), MaxPerMessage))
	for _, one := range longestAgo(candidates, received) {
		observations = append(observations, Observation{Server: one.entry.server})
		one.entry.copyLoad(&observations[len(observations)-1], now)
	}
	return observations, inForce > 0
}

// longestAgo returns the candidates that were received longest ago, at most MaxPerMessage. The
// others are no longer recorded as received.
func longestAgo(candidates []candidate, received Received) []candidate {
	if len(candidates) <= MaxPerMessage {
		return candidates
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.received, b.received) })
	for _, one := range candidates[MaxPerMessage:] {
		received[one.entry.server.ID] = one.received
	}
	return candidates[:MaxPerMessage]
}

// pruneReceived discards the versions of loads that are no longer in force, which are not sent again.
// It must be called with the lock held.
func (t *Table) pruneReceived(received Received, now time.Time) {
	for id := range received {
		if found := t.entries[id]; found == nil || !found.loadInForce(now) {
			delete(received, id)
		}
	}
}

// message collects the observations of a message, at most one for each server.
type message struct {
	observations []Observation
	indexes      map[string]int
}

// of returns the server's observation; nil if the message is full. The result is valid until the
// next call.
func (m *message) of(server fleet.Incarnation) *Observation {
	if index, exists := m.indexes[server.ID]; exists {
		return &m.observations[index]
	}
	if len(m.observations) == MaxPerMessage {
		return nil
	}
	if m.indexes == nil {
		m.indexes = map[string]int{}
	}
	m.indexes[server.ID] = len(m.observations)
	m.observations = append(m.observations, Observation{Server: server})
	return &m.observations[len(m.observations)-1]
}

// setLoad adds a server's load, and reports whether there was room.
func (m *message) setLoad(found *entry, now time.Time) bool {
	observed := m.of(found.server)
	if observed == nil {
		return false
	}
	found.copyLoad(observed, now)
	return true
}

// setReach adds whether a server is reachable, and reports whether there was room.
func (m *message) setReach(found *entry, now time.Time) bool {
	observed := m.of(found.server)
	if observed == nil {
		return false
	}
	observed.Unreachable = found.unreachableAt.After(found.reachableAt)
	observed.ReachAge = max(now.Sub(found.reachAt()), 1)
	return true
}

// RoundForMessage returns the number with an error below 0.4%. Gob encodes it in 4 bytes instead of
// 9.
func RoundForMessage(number float64) float64 {
	const mantissa = 1 << 7
	fraction, exponent := math.Frexp(number)
	return math.Ldexp(math.Round(fraction*mantissa)/mantissa, exponent)
}
