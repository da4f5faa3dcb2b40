package nodestatus

import (
	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/membership/survey"
)

// memberReply is the result of querying one node.
type memberReply struct {
	member membership.Member
	reply  PartReply
	// answered is false if the node did not answer.
	answered bool
}

func (p memberReply) memberStatus() api.MemberStatus {
	return api.MemberStatus{
		Name: p.member.Name, Zone: p.member.Zone, Address: p.member.CallerAddress,
		Draining: p.member.Draining, Revision: p.reply.Revision,
	}
}

// queryMembers queries all members for their parts of the status, at most queryConcurrency
// at a time.
func (c *Collector) queryMembers(done func([]memberReply)) {
	survey.Query[PartReply]{
		Clock: c.Clock, Transport: c.Transport, Members: c.Members, Message: PartRequest{},
		Timeout: queryTimeout, Concurrency: queryConcurrency, Local: c.localReply,
		ResponderID: func(reply PartReply) string { return reply.Member },
	}.Run(func(answers []survey.Result[PartReply]) {
		replies := make([]memberReply, 0, len(answers))
		for _, answer := range answers {
			replies = append(replies, memberReply{member: answer.Member, reply: answer.Reply, answered: answer.Answered})
		}
		done(replies)
	})
}
