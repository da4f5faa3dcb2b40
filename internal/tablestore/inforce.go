package tablestore

import (
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/membership/survey"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/table"
)

// NodeRevision is the table revision that one node uses.
type NodeRevision struct {
	Member   membership.Member
	Revision table.Revision
	// Answered is false if the node did not answer.
	Answered bool
}

// InForce queries the revision that each member uses. done follows the callback
// contract of package outside; it receives the members in order of name.
func (s *Store) InForce(done func([]NodeRevision)) {
	survey.Query[RevisionReply]{
		Clock: s.Clock, Transport: s.Transport, Members: s.Members, Message: RevisionRequest{},
		Timeout: s.options.PeerTimeout, Concurrency: s.options.QueryConcurrency, Local: s.localRevision,
		ResponderID: func(reply RevisionReply) string { return reply.Member },
	}.Run(func(answers []survey.Result[RevisionReply]) {
		nodes := make([]NodeRevision, 0, len(answers))
		for _, answer := range answers {
			nodes = append(nodes, NodeRevision{Member: answer.Member, Revision: answer.Reply.Revision, Answered: answer.Answered})
		}
		done(nodes)
	})
}

func (s *Store) localRevision() RevisionReply {
	return RevisionReply{Member: s.Members.Self().ID(), Revision: s.Revision()}
}

func (s *Store) handleRevision(_ string, _ peer.Message, reply func(peer.Message, error)) {
	reply(s.localRevision(), nil)
}
