package nodestatus

import (
	"sync"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// part is one node's answer.
type part struct {
	member membership.Member
	reply  PartReply
	// known is false if the node did not answer.
	known bool
}

func (p part) memberStatus() api.MemberStatus {
	return api.MemberStatus{
		Name: p.member.Name, Zone: p.member.Zone, Address: p.member.CallerAddress,
		Draining: p.member.Draining, Revision: p.reply.Revision,
	}
}

// survey asks all members for their parts, some at a time.
type survey struct {
	collector *Collector
	done      func([]part)

	mutex     sync.Mutex
	parts     []part
	next      int
	remaining int
}

func newSurvey(collector *Collector, done func([]part)) *survey {
	s := &survey{collector: collector, done: done}
	for _, member := range collector.Members.Members() {
		s.parts = append(s.parts, part{member: member})
	}
	s.remaining = len(s.parts)
	return s
}

// start begins on the clock, so that done is never called before the caller of
// Status returned.
func (s *survey) start() {
	s.collector.Clock.AfterFunc(0, func() {
		if len(s.parts) == 0 {
			s.done(nil)
			return
		}
		for range min(askConcurrency, len(s.parts)) {
			s.askNext()
		}
	})
}

func (s *survey) askNext() {
	s.mutex.Lock()
	index := s.next
	s.next++
	s.mutex.Unlock()
	if index >= len(s.parts) {
		return
	}
	member := s.parts[index].member
	if member.ID() == s.collector.Members.Self().ID() {
		s.answered(index, s.collector.localPart(), true)
		return
	}
	s.collector.Transport.Call(member.PeerAddress, PartRequest{}, peerTimeout, func(message peer.Message, err error) {
		reply, ok := message.(PartReply)
		known := err == nil && ok && reply.Member == member.ID()
		s.answered(index, reply, known)
	})
}

func (s *survey) answered(index int, reply PartReply, known bool) {
	s.mutex.Lock()
	if known {
		s.parts[index].reply = reply
		s.parts[index].known = true
	}
	s.remaining--
	finished := s.remaining == 0
	s.mutex.Unlock()
	if finished {
		s.done(s.parts)
		return
	}
	s.askNext()
}
