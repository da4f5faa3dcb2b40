package tablestore

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// push sends new entries to random peers, which push them on in turn.
func (s *Store) push(entries []LogEntry) {
	message := PushMessage{Sender: s.Members.Self().PeerAddress, Entries: entries}
	s.mutex.Lock()
	targets := s.sampleLocked(s.zonePeers, s.options.ZoneFanout)
	targets = append(targets, s.sampleLocked(s.remotePeers, s.options.RemoteFanout)...)
	s.mutex.Unlock()
	for _, target := range targets {
		s.Transport.Send(target.PeerAddress, message)
	}
}

// sampleLocked returns up to count distinct members, chosen at random.
func (s *Store) sampleLocked(members []membership.Member, count int) []membership.Member {
	if len(members) <= count {
		return append([]membership.Member(nil), members...)
	}
	sample := make([]membership.Member, 0, count)
	chosen := make(map[int]bool, count)
	for len(sample) < count {
		index := s.Random.IntN(len(members))
		if !chosen[index] {
			chosen[index] = true
			sample = append(sample, members[index])
		}
	}
	return sample
}

func (s *Store) handlePush(_ string, message peer.Message, reply func(peer.Message, error)) {
	defer reply(nil, nil)
	push, ok := message.(PushMessage)
	if !ok || len(push.Entries) == 0 {
		return
	}
	s.applyEntries(push.Entries)
	if s.Revision() < push.Entries[len(push.Entries)-1].Revision {
		s.repair(push.Sender)
	}
}

// repair pulls missing entries from a peer with a newer revision, unless
// another repair is running.
func (s *Store) repair(address string) {
	s.mutex.Lock()
	busy := s.repairing || s.stopped
	s.repairing = true
	s.mutex.Unlock()
	if busy {
		return
	}
	s.pull(address, func(bool) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.repairing = false
	})
}

// pull requests all that is newer than the present revision from one peer;
// answered reports whether the peer replied.
func (s *Store) pull(address string, done func(answered bool)) {
	request := PullRequest{Sender: s.Members.Self().PeerAddress, Revision: s.Revision()}
	s.Transport.Call(address, request, s.options.PeerTimeout, func(message peer.Message, err error) {
		reply, answered := message.(PullReply)
		if err == nil && answered {
			s.applyPullReply(reply)
		}
		done(err == nil && answered)
	})
}

func (s *Store) applyPullReply(reply PullReply) {
	if reply.HasSnapshot {
		s.installSnapshot(reply.Revision, reply.Rows)
	}
	s.applyEntries(reply.Entries)
	if reply.Loaded {
		s.replica.setLoaded()
	}
}

func (s *Store) handlePull(_ string, message peer.Message, reply func(peer.Message, error)) {
	request, ok := message.(PullRequest)
	if !ok {
		reply(nil, eris.New("not a pull request"))
		return
	}
	reply(s.pullReplyTo(request), nil)
	if request.Revision > s.Revision() {
		s.repair(request.Sender)
	}
}

func (s *Store) pullReplyTo(request PullRequest) PullReply {
	entries, complete := s.replica.since(request.Revision)
	if complete && !s.options.AcceptOlder {
		answer := PullReply{Revision: s.Revision(), Loaded: s.Loaded(), Entries: entries}
		return answer
	}
	snapshot := s.Snapshot()
	return PullReply{Revision: snapshot.Revision(), Loaded: true, HasSnapshot: true, Rows: snapshot.Rows()}
}

// schedulePullLocked schedules the next pull after 0.5 to 1.5 times
// PullInterval.
func (s *Store) schedulePullLocked() {
	if s.stopped {
		return
	}
	delay := s.options.PullInterval/2 + time.Duration(s.Random.Int64N(int64(s.options.PullInterval)))
	s.pullTimer = s.Clock.AfterFunc(delay, s.pullFromRandomPeer)
}

func (s *Store) pullFromRandomPeer() {
	s.mutex.Lock()
	target, found := s.randomPeerLocked()
	s.schedulePullLocked()
	s.mutex.Unlock()
	if found {
		s.pull(target.PeerAddress, func(answered bool) { s.pullFromOtherZones(target, answered) })
	}
}

// randomPeerLocked chooses a peer: from another zone with the probability
// RemotePullShare, else from this node's zone.
func (s *Store) randomPeerLocked() (peer membership.Member, found bool) {
	peers := s.zonePeers
	if len(peers) == 0 || (len(s.remotePeers) > 0 && s.Random.Float64() < s.options.RemotePullShare) {
		peers = s.remotePeers
	}
	if len(peers) == 0 {
		return membership.Member{}, false
	}
	return peers[s.Random.IntN(len(peers))], true
}

// pullFromOtherZones pulls from peers outside the zone of a peer that did not
// answer, since that zone may be partitioned.
func (s *Store) pullFromOtherZones(unresponsive membership.Member, answered bool) {
	if answered {
		return
	}
	s.mutex.Lock()
	targets := s.sampleLocked(s.zonePeers, pullsAfterTimeout)
	targets = append(targets, s.sampleLocked(s.remotePeers, pullsAfterTimeout)...)
	stopped := s.stopped
	s.mutex.Unlock()
	for _, target := range targets {
		if target.Zone != unresponsive.Zone && !stopped {
			s.pull(target.PeerAddress, func(bool) {})
		}
	}
}

// pullsAfterTimeout is the number of peers in this node's zone, and of peers
// in other zones, that are considered for a pull after one did not answer.
const pullsAfterTimeout = 2
