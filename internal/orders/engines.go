package orders

import (
	"context"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/placement"
)

// Order is one order to one server.
type Order struct {
	Server  *fleet.Server
	Kind    placement.Kind
	Model   string
	Adapter string
	// Holder and Token tell who orders.
	Holder string
	Token  int64
	// ExpectSequence is the number of orders that the server must have taken:
	// an order carried out late does nothing once another one was taken.
	ExpectSequence int64
}

// Reply is a server's answer to an order.
type Reply uint8

// The replies.
const (
	// ReplyAccepted: it is being done.
	ReplyAccepted Reply = iota
	// ReplyAlreadyApplied: what was ordered holds already.
	ReplyAlreadyApplied
	// ReplyConflict: another order is under way, or others were taken before.
	ReplyConflict
	// ReplyFenced: a higher token was seen.
	ReplyFenced
	// ReplyInvalid: the server does not understand the order.
	ReplyInvalid
	// ReplyOtherInstance: another incarnation has the address.
	ReplyOtherInstance
)

// String returns the reply's word for logs.
func (r Reply) String() string {
	return [...]string{"accepted", "holds", "conflict", "fenced", "invalid", "other_instance"}[r]
}

// Report is what a server tells of itself.
type Report struct {
	Sequence int64
	// Busy: an order is under way.
	Busy             bool
	Models           map[string]fleet.LoadedModel
	InMemory, OnDisk map[string]bool
}

// Engines reaches the model servers.
type Engines interface {
	// Order gives one order. On an error it may have been taken, or may be
	// carried out later.
	Order(ctx context.Context, order Order) (Reply, error)
	// Report asks a server for its state, which may be some 100 ms old.
	Report(ctx context.Context, server *fleet.Server) (Report, error)
}
