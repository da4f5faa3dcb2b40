package tenants

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// Ask takes from a tenant's limit at the node that counts it.
type Ask struct {
	Tenant string
	// Cost in the unit of the tenant's limit; 0 only asks whether the node answers.
	Cost float64
	// Rank of the request among its tenant's, see Need.
	Rank float64
	// Silent: the receiver's last answer came too late for the sender, or not at all, so
	// it must not take this for a sign that it is heard.
	Silent bool
	// Relayed: the sender was asked itself, and the receiver must answer for itself.
	Relayed bool
	// Heard is what the asking node heard from another node that counted the tenant;
	// nothing, if the receiver counted it last.
	Heard Count
}

// Answer to an Ask.
type Answer struct {
	Within bool
	// RoomIn is the time until there is room, if the request is not within.
	RoomIn time.Duration
	// CountedBy is the address of the node that counted, and Left its count.
	CountedBy string
	// Silent as in Ask: the asking node's own answers come too late for this one.
	Silent bool
	// Process tells the processes of that node apart.
	Process int64
	Left    Count
}

// GiveBack returns the cost of a request that has not run.
type GiveBack struct {
	Tenant string
	Cost   float64
	// Process that counted the cost. A later one of the node never did, and would take it
	// for room: 132 requests ran in a window in which 119 are tolerated (soak of 4 nodes).
	Process int64
}

func init() {
	peer.Register(Ask{})
	peer.Register(Answer{})
	peer.Register(GiveBack{})
}
