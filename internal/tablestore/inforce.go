package tablestore

import (
	"sync"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/table"
)

// NodeRevision is the revision that one node acts on.
type NodeRevision struct {
	Member   membership.Member
	Revision table.Revision
	// Known is false if the node did not answer.
	Known bool
}

// InForce asks all members which revision they act on. Done as in package
// platform; it receives the members in order of name.
func (s *Store) InForce(done func([]NodeRevision)) {
	survey := &survey{store: s, done: done}
	for _, member := range s.Members.Members() {
		survey.answers = append(survey.answers, NodeRevision{Member: member})
	}
	survey.remaining = len(survey.answers)
	s.Clock.AfterFunc(0, survey.start)
}

func (s *Store) handleRevision(_ string, _ peer.Message, reply func(peer.Message, error)) {
	reply(RevisionReply{Member: s.Members.Self().ID(), Revision: s.Revision()}, nil)
}

// survey is one question to all members.
type survey struct {
	store *Store
	done  func([]NodeRevision)

	mutex     sync.Mutex
	answers   []NodeRevision
	next      int
	remaining int
}

func (s *survey) start() {
	if len(s.answers) == 0 {
		s.done(nil)
		return
	}
	for range min(s.store.options.AskConcurrency, len(s.answers)) {
		s.askNext()
	}
}

func (s *survey) askNext() {
	s.mutex.Lock()
	index := s.next
	s.next++
	s.mutex.Unlock()
	if index >= len(s.answers) {
		return
	}
	member := s.answers[index].Member
	if member.ID() == s.store.Members.Self().ID() {
		s.answered(index, s.store.Revision(), true)
		return
	}
	s.store.Transport.Call(member.PeerAddress, RevisionRequest{}, s.store.options.PeerTimeout, func(message peer.Message, err error) {
		reply, ok := message.(RevisionReply)
		known := err == nil && ok && reply.Member == member.ID()
		s.answered(index, reply.Revision, known)
	})
}

func (s *survey) answered(index int, revision table.Revision, known bool) {
	s.mutex.Lock()
	s.answers[index].Known = known
	if known {
		s.answers[index].Revision = revision
	}
	s.remaining--
	finished := s.remaining == 0
	s.mutex.Unlock()
	if finished {
		s.done(s.answers)
		return
	}
	s.askNext()
}
