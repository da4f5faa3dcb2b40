package tablestore

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// push sends new entries to some peers, who push them on in turn.
func (s *Store) push(entries []LogEntry) {
	message := PushMessage{Sender: s.Members.Self().PeerAddress, Entries: entries}
	s.mutex.Lock()
	targets := s.drawLocked(s.zonePeers, s.options.ZoneFanout)
	targets = append(targets, s.drawLocked(s.remotePeers, s.options.RemoteFanout)...)
	s.mutex.Unlock()
	for _, target := range targets {
		s.Transport.Send(target.PeerAddress, message)
	}
}

// drawLocked draws different members at random.
func (s *Store) drawLocked(members []membership.Member, count int) []membership.Member {
	if len(members) <= count {
		return append([]membership.Member(nil), members...)
	}
	drawn := make([]membership.Member, 0, count)
	chosen := make(map[int]bool, count)
	for len(drawn) < count {
		index := s.Random.IntN(len(members))
		if !chosen[index] {
			chosen[index] = true
			drawn = append(drawn, members[index])
		}
	}
	return drawn
}

func (s *Store) handlePush(_ string, message peer.Message, reply func(peer.Message, error)) {
	defer reply(nil, nil)
	push, ok := message.(PushMessage)
	if !ok || len(push.Entries) == 0 {
		return
	}
	s.take(push.Entries)
	if s.Revision() < push.Entries[len(push.Entries)-1].Revision {
		s.repair(push.Sender)
	}
}

// repair pulls what is missing from the peer that is ahead, one pull at a
// time.
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

// pull asks one peer for what is newer than the present revision; done is told
// whether the peer answered.
func (s *Store) pull(address string, done func(answered bool)) {
	request := PullRequest{Sender: s.Members.Self().PeerAddress, Revision: s.Revision()}
	s.Transport.Call(address, request, s.options.PeerTimeout, func(message peer.Message, err error) {
		reply, answered := message.(PullReply)
		if err == nil && answered {
			s.takeReply(reply)
		}
		done(err == nil && answered)
	})
}

func (s *Store) takeReply(reply PullReply) {
	if reply.HasSnapshot {
		s.takeSnapshot(reply.Revision, reply.Rows)
	}
	s.take(reply.Entries)
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
	reply(s.replyTo(request), nil)
	if request.Revision > s.Revision() {
		s.repair(request.Sender)
	}
}

func (s *Store) replyTo(request PullRequest) PullReply {
	entries, complete := s.replica.since(request.Revision)
	if complete && !s.options.AcceptOlder {
		answer := PullReply{Revision: s.Revision(), Loaded: s.Loaded(), Entries: entries}
		return answer
	}
	snapshot := s.Snapshot()
	return PullReply{Revision: snapshot.Revision(), Loaded: true, HasSnapshot: true, Rows: snapshot.Rows()}
}

// schedulePullLocked arms the next pull, between half and one and a half times
// the period from now.
func (s *Store) schedulePullLocked() {
	if s.stopped {
		return
	}
	pause := s.options.PullInterval/2 + time.Duration(s.Random.Int64N(int64(s.options.PullInterval)))
	s.pullTimer = s.Clock.AfterFunc(pause, s.pullFromAnyone)
}

func (s *Store) pullFromAnyone() {
	s.mutex.Lock()
	target, found := s.drawPeerLocked()
	s.schedulePullLocked()
	s.mutex.Unlock()
	if found {
		s.pull(target.PeerAddress, func(answered bool) { s.pullElsewhere(target, answered) })
	}
}

// drawPeerLocked draws a peer, mostly of the own zone.
func (s *Store) drawPeerLocked() (peer membership.Member, found bool) {
	peers := s.zonePeers
	if len(peers) == 0 || (len(s.remotePeers) > 0 && s.Random.Float64() < s.options.RemotePullShare) {
		peers = s.remotePeers
	}
	if len(peers) == 0 {
		return membership.Member{}, false
	}
	return peers[s.Random.IntN(len(peers))], true
}

// pullElsewhere asks some other peers at once when one did not answer, since
// that one's zone may be cut off.
func (s *Store) pullElsewhere(silent membership.Member, answered bool) {
	if answered {
		return
	}
	s.mutex.Lock()
	targets := s.drawLocked(s.zonePeers, pullsAfterSilence)
	targets = append(targets, s.drawLocked(s.remotePeers, pullsAfterSilence)...)
	stopped := s.stopped
	s.mutex.Unlock()
	for _, target := range targets {
		if target.Zone != silent.Zone && !stopped {
			s.pull(target.PeerAddress, func(bool) {})
		}
	}
}

// pullsAfterSilence is how many peers of the zone and of others are asked when
// one did not answer.
const pullsAfterSilence = 2
