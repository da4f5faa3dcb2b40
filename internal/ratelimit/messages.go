package ratelimit

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// TakeRequest takes from a limit at the node that counts it.
type TakeRequest struct {
	// Tenant is the name of the limit. Nodes that run an earlier build, which counts
	// tenants only, know the field by this name.
	Tenant string
	// Limit as the asking node knows it; zero if it is known by its name.
	Limit Limit
	// Cost in the limit's unit; 0 only asks whether the node answers.
	Cost float64
	// Rank as in Request.
	Rank float64
	// MaxWait as in Request.
	MaxWait time.Duration
	// Silent: the receiver's last answer came too late for the sender, or not at all, so
	// it must not take this for a sign that it is heard.
	Silent bool
	// Relayed: the sender was asked itself, and the receiver must answer for itself.
	Relayed bool
	// Heard is what the asking node heard from another node that counted the limit;
	// nothing, if the receiver counted it last.
	Heard Count
}

// TakeReply to an Ask.
type TakeReply struct {
	Within bool
	// In, RoomIn and NextIn as in Verdict.
	In, RoomIn, NextIn time.Duration
	// CountedBy is the address of the node that counted, and Left its count.
	CountedBy string
	// Silent as in Ask: the asking node's own answers come too late for this one.
	Silent bool
	// Process tells the processes of that node apart; 0 if nothing was counted.
	Process int64
	Left    Count
}

// ReturnMessage returns the cost of a request that has not run.
type ReturnMessage struct {
	// Tenant as in Ask.
	Tenant string
	Cost   float64
	// Process that counted the cost. A later one of the node never did, and would take it
	// for room: 132 requests ran in a window in which 119 are tolerated (soak of 4 nodes).
	Process int64
}

// The names are those of earlier builds, which run beside this one while nodes are replaced.
func init() {
	peer.RegisterAs("tenants.Ask", TakeRequest{})
	peer.RegisterAs("tenants.Answer", TakeReply{})
	peer.RegisterAs("tenants.GiveBack", ReturnMessage{})
}
