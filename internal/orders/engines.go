package orders

import (
	"context"
	"errors"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/placement"
)

// Order is an order to a server: a command to load or unload a model or an adapter.
type Order struct {
	Server  *fleet.Server
	Kind    placement.Kind
	Model   string
	Adapter string
	// Holder is the name of the node that sends the order, and Token its term's fencing
	// token.
	Holder string
	Token  int64
	// ExpectSequence is the number of orders that the server must have accepted before, so
	// that an order that arrives late has no effect once another one was accepted.
	ExpectSequence int64
	// MaySend reports whether the order may still be sent. It is asked once a connection is open; nil: it
	// may.
	MaySend func() bool
}

// Reply is a server's reply to an order.
type Reply uint8

// The replies.
const (
	// ReplyAccepted means that the order is being carried out.
	ReplyAccepted Reply = iota
	// ReplyAlreadyApplied means that the server is in the ordered state already.
	ReplyAlreadyApplied
	// ReplyConflict means that another order is in progress, or that the server has accepted
	// another number of orders than expected.
	ReplyConflict
	// ReplyFenced means that the server has received a higher token.
	ReplyFenced
	// ReplyInvalid means that the server does not understand the order.
	ReplyInvalid
	// ReplyOtherInstance means that another incarnation of the server has the address.
	ReplyOtherInstance
)

// String returns the reply's name for logs and metrics.
func (r Reply) String() string {
	return [...]string{"accepted", "holds", "conflict", "fenced", "invalid", "other_instance"}[r]
}

// Report is the state that a server reports.
type Report struct {
	// Sequence is the number of orders that the server has accepted.
	Sequence int64
	// Busy is set while an order is in progress.
	Busy   bool
	Models map[string]fleet.LoadedModel
	// InMemory and OnDisk are the models whose weights are cached there.
	InMemory, OnDisk map[string]bool
}

// ErrNotSent means that no byte of an order was sent.
var ErrNotSent = errors.New("order not sent")

// Engines calls the model servers.
type Engines interface {
	// Order sends one order. After an error other than ErrNotSent the server may have accepted it, or
	// may still carry it out later.
	Order(ctx context.Context, order Order) (Reply, error)
	// Report asks a server for its state. The state returned may be some 100 ms old.
	Report(ctx context.Context, server *fleet.Server) (Report, error)
}
