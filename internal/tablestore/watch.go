package tablestore

import (
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// watchRankKey is the rendezvous hashing key that selects a zone's watchers.
const watchRankKey = "table/watchers"

// SetMembers sets the live members; it should be subscribed to the membership
// registry. The first WatchersPerZone members of each zone in rendezvous order
// watch the key-value service.
func (s *Store) SetMembers(members []membership.Member) {
	self := s.Members.Self()
	var zone, zonePeers, remotePeers []membership.Member
	for _, member := range members {
		switch {
		case member.Zone != self.Zone:
			remotePeers = append(remotePeers, member)
		case member.Name == self.Name:
			zone = append(zone, member)
		default:
			zone = append(zone, member)
			zonePeers = append(zonePeers, member)
		}
	}
	watching := isAmongFirst(membership.Rank(watchRankKey, zone), self, s.options.WatchersPerZone)
	s.mutex.Lock()
	s.zonePeers, s.remotePeers = zonePeers, remotePeers
	changed := watching != s.watching && !s.stopped
	s.watching = watching
	s.mutex.Unlock()
	switch {
	case changed && watching:
		s.watcher.Start()
	case changed:
		s.watcher.Stop()
	}
}

func isAmongFirst(ranked []membership.Member, self membership.Member, count int) bool {
	for _, member := range ranked[:min(count, len(ranked))] {
		if member.Name == self.Name {
			return true
		}
	}
	return false
}

// headWatch applies changes of the head record in the key-value service.
type headWatch struct{ store *Store }

// Snapshot implements keywatch.Handler.
func (w headWatch) Snapshot(reading outside.RangeResult) {
	head, exists := findKey(reading.KeyValues, headKey)
	if !exists {
		w.store.replica.setLoaded()
		return
	}
	w.follow(head)
}

// Changes implements keywatch.Handler.
func (w headWatch) Changes(events []outside.WatchEvent) {
	for _, event := range events {
		if !event.Deleted && event.KeyValue.Key == headKey {
			w.follow(event.KeyValue)
		}
	}
}

// Interrupted implements keywatch.Handler.
func (headWatch) Interrupted(error) {}

func (w headWatch) follow(keyValue outside.KeyValue) {
	head, err := decodeRecord[headRecord](keyValue.Value)
	if err != nil {
		w.store.Log.Error().Err(err).Msg("table head can't be decoded")
		return
	}
	if !head.DeltaOmitted {
		w.store.applyEntries([]LogEntry{head.Entry})
	}
	if w.store.Revision() < head.Entry.Revision {
		w.store.catchUp.readTo(head.Entry.Revision, func(error) {})
		return
	}
	w.store.replica.setLoaded()
}

func findKey(keyValues []outside.KeyValue, key string) (outside.KeyValue, bool) {
	for _, keyValue := range keyValues {
		if keyValue.Key == key {
			return keyValue, true
		}
	}
	return outside.KeyValue{}, false
}
