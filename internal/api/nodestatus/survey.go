package nodestatus

import (
	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/membership/survey"
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

// ask asks all members for their parts, some at a time.
func (c *Collector) ask(done func([]part)) {
	survey.Query[PartReply]{
		Clock: c.Clock, Transport: c.Transport, Members: c.Members, Message: PartRequest{},
		Timeout: peerTimeout, Concurrency: askConcurrency, Local: c.localPart,
		ResponderID: func(reply PartReply) string { return reply.Member },
	}.Run(func(answers []survey.Result[PartReply]) {
		parts := make([]part, 0, len(answers))
		for _, answer := range answers {
			parts = append(parts, part{member: answer.Member, reply: answer.Reply, known: answer.Answered})
		}
		done(parts)
	})
}
