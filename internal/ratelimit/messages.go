package ratelimit

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// TakeRequest takes from a limit at the node that counts it.
type TakeRequest struct {
	// Tenant is the name of the limit. Nodes of an earlier build, which count only tenants'
	// limits, have the field under this name.
	Tenant string
	// Limit as the requesting node has it; zero if it is configured under the name.
	Limit Limit
	// Cost in the limit's unit; 0 only probes whether the node replies.
	Cost float64
	// Rank as in Request.
	Rank float64
	// MaxWait as in Request.
	MaxWait time.Duration
	// TimeLeft as in Request; zero from an earlier build.
	TimeLeft time.Duration
	// Silent: the receiver's last reply reached the sender too late or not at all, so the
	// receiver must not count this message as contact.
	Silent bool
	// Relayed: the sender relays the request of another node, and the receiver must not relay
	// it again.
	Relayed bool
	// Heard is the count that the requesting node received from another node that counted the
	// limit; zero if the receiver counted it last.
	Heard Count
	// Vote identifies the request for the votes of a voted limit.
	Vote uint64
	// List of counter nodes that the sender has; zero from an earlier build.
	List ListVersion
}

// TakeReply is the reply to a TakeRequest.
type TakeReply struct {
	// Within as Allowed in Verdict.
	Within bool
	// In, RoomIn and NextIn as Delay, RetryAfter and NextSlotIn in Verdict.
	In, RoomIn, NextIn time.Duration
	// CountedBy is the address of the node that counted, and Left its count.
	CountedBy string
	// Silent as in TakeRequest: replies of the requesting node reach this one too late.
	Silent bool
	// Process identifies the process of that node; 0 if nothing was counted.
	Process int64
	Left    Count
	// Voted: the node counted a vote, which it takes back by its ID.
	Voted bool
	// List as in TakeRequest, and Counters that list if the requesting node has an older one.
	List     ListVersion
	Counters Counters
}

// ReturnMessage returns the cost of a request that was not executed.
type ReturnMessage struct {
	// Tenant as in TakeRequest.
	Tenant string
	Cost   float64
	// Process that counted the cost. A later process of the node did not count it, and would
	// add it to the capacity: 132 requests were executed in a window in which 119 are
	// tolerated (soak of 4 nodes).
	Process int64
	// Vote is the ID of the vote to be taken back; 0 if the limit is not voted.
	Vote uint64
}

// Messages are registered under the names that earlier builds use, which run beside this one
// during an upgrade.
func init() {
	peer.RegisterAs("tenants.Ask", TakeRequest{})
	peer.RegisterAs("tenants.Answer", TakeReply{})
	peer.RegisterAs("tenants.GiveBack", ReturnMessage{})
}
