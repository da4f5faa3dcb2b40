package serverpath

import (
	"errors"
	"fmt"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// OpenRequest asks another node to connect to a server by its own path. The stream that it begins then
// carries the bytes of that connection.
type OpenRequest struct {
	// Server is the server's address.
	Server string
}

// OpenReply is the reply to an OpenRequest.
type OpenReply struct{ Outcome Outcome }

// Outcome is the result of an OpenRequest.
type Outcome uint8

// The outcomes. Their numbers are sent between nodes.
const (
	// Opened: the stream is connected to the server.
	Opened Outcome = iota + 1
	// Refused: the server's address refuses connections.
	Refused
	// Unreached: the node does not reach the server either.
	Unreached
	// Busy: the node carries as many connections as it may, or is stopping.
	Busy
	// UnknownServer: the node knows no server with the address.
	UnknownServer
)

// String returns the outcome's name for logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Opened:
		return "opened"
	case Refused:
		return "refused"
	case Unreached:
		return "unreached"
	case Busy:
		return "busy"
	case UnknownServer:
		return "unknown_server"
	}
	return fmt.Sprintf("outcome %d", uint8(o))
}

func init() {
	peer.RegisterAs("serverpath.OpenRequest", OpenRequest{})
	peer.RegisterAs("serverpath.OpenReply", OpenReply{})
}

// errNoIntermediary means that no other node can be asked for a connection.
var errNoIntermediary = errors.New("no other node to connect through")

// unconfirmedError is the failure to connect to a server that no other node confirmed. It does not
// match the refusal of a connection: a partition refuses connections, too.
type unconfirmedError struct{ cause error }

// Error implements error.
func (e unconfirmedError) Error() string { return e.cause.Error() + " (not confirmed by another node)" }

// RefusedHere reports that this node's connection was refused. Where a connection to the server ended just
// before, that shows that the server has ended, too.
func (e unconfirmedError) RefusedHere() bool { return true }
