package forward

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// unframedCheckDelays are the times after the end of an unframed body at which its server is checked, the
// second one if the first shows nothing. A server that ends may close its connections one by one, and
// answer on the last ones meanwhile.
var unframedCheckDelays = [...]time.Duration{20 * time.Millisecond, 40 * time.Millisecond}

// incarnationCheckTimeout limits the checks of a server's incarnation together, for which the end of a
// response waits.
const incarnationCheckTimeout = 200 * time.Millisecond

// minReadWait is how long a read takes at least that waited for data.
const minReadWait = time.Millisecond

// Errors of Config.CheckIncarnation.
var (
	// ErrOtherIncarnation: another incarnation answers at the server's address.
	ErrOtherIncarnation = errors.New("another incarnation answers")
	// ErrIncarnationUnknown: the server doesn't tell its incarnation.
	ErrIncarnationUnknown = errors.New("the server's incarnation is not known")
)

// errEndUnconfirmed breaks a stream that may be complete, so that another server is asked to continue it,
// by this node or by the caller.
var errEndUnconfirmed = errors.New("the response ended with its connection, and its server could not be checked")

// ServerState is what is found out of a server after an unframed response of it has ended.
type ServerState string

// The states of servers after unframed responses.
const (
	// ServerUnknown: it was not reached, in another way than by a refused connection.
	ServerUnknown ServerState = "unknown"
	// ServerListens: something accepts connections at its address.
	ServerListens ServerState = "listens"
	// ServerRuns: it is the incarnation that sent the response.
	ServerRuns ServerState = "runs"
	// ServerEnded: nothing, or another incarnation, listens at its address, and no planned shutdown is known.
	ServerEnded ServerState = "ended"
	// ServerLeft: likewise, after a planned shutdown.
	ServerLeft ServerState = "left"
)

// unframedBody is a body that ends with its connection. It reports the end as io.ErrUnexpectedEOF if the
// server has ended, unless that was a planned shutdown: the system closes the connections of a process that
// crashes in order, also in the middle of a response.
type unframedBody struct {
	io.ReadCloser
	// ctx of the attempt.
	ctx context.Context
	// check tests the server, and its incarnation within the context's time.
	check func(limited context.Context) ServerState
	// mayResume reports whether the caller, or another attempt, can ask for what may be missing.
	mayResume func() bool
	// awaitDeparture waits until the server, which was seen running at the time, is known to have ended as planned, or
	// can't be.
	awaitDeparture func(limited context.Context, seenRunning time.Time) bool
	// onEnd is called with the state of the server once it is found out.
	onEnd func(ServerState)
	// seenRunning is the latest time at which the server is known to have run.
	seenRunning time.Time
	// mayBeEmpty: the response may have no body. Otherwise an empty one may be that of a head that broke off.
	mayBeEmpty bool
	received   bool
	// sourceEnd is the error with which the connection ended, and end the one with which the body does.
	sourceEnd, end error
}

// Read implements io.Reader.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	if b.sourceEnd == nil {
		var count int
		began := time.Now()
		count, b.sourceEnd = b.ReadCloser.Read(buffer)
		if time.Since(began) >= minReadWait {
			// Nothing more had arrived when the read began, so the connection was still open.
			b.seenRunning = began
		}
		b.received = b.received || count > 0
		if count > 0 || b.sourceEnd == nil {
			return count, nil
		}
	}
	b.end = b.sourceEnd
	if errors.Is(b.end, io.EOF) {
		b.end = b.verifiedEnd()
	}
	return 0, b.end
}

// verifiedEnd is the error with which a body ends that was closed in order.
func (b *unframedBody) verifiedEnd() error {
	if !b.received && !b.mayBeEmpty {
		return io.ErrUnexpectedEOF
	}
	state := b.checkRepeatedly()
	if state == ServerEnded && b.hasLeft() {
		state = ServerLeft
	}
	b.onEnd(state)
	switch {
	case state == ServerEnded:
		return io.ErrUnexpectedEOF
	case state == ServerUnknown && b.mayResume():
		return errEndUnconfirmed
	}
	return io.EOF
}

// hasLeft reports whether the server, which no longer runs, has ended as planned, that is, after its last response.
// A stream that another attempt may continue waits only for as long as for other checks.
func (b *unframedBody) hasLeft() bool {
	ctx := b.ctx
	if b.mayResume() {
		limited, cancel := context.WithTimeout(ctx, incarnationCheckTimeout)
		defer cancel()
		ctx = limited
	}
	return b.awaitDeparture(ctx, b.seenRunning)
}

func (b *unframedBody) checkRepeatedly() ServerState {
	began, state := time.Now(), ServerUnknown
	limited, cancel := context.WithDeadline(b.ctx, began.Add(incarnationCheckTimeout))
	defer cancel()
	for _, delay := range unframedCheckDelays {
		time.Sleep(time.Until(began.Add(delay)))
		state = b.check(limited)
		if state != ServerUnknown {
			break
		}
	}
	return state
}

// refusedHere is implemented by the errors of connections that were refused although that is no proof for
// other nodes.
type refusedHere interface{ RefusedHere() bool }

// stateOf returns what the error of a check shows; nil: the server answered.
func stateOf(err error, answered ServerState) ServerState {
	var refused refusedHere
	switch {
	case err == nil:
		return answered
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, ErrOtherIncarnation):
		return ServerEnded
	case errors.As(err, &refused) && refused.RefusedHere():
		return ServerEnded
	}
	return ServerUnknown
}

// checkServer finds out whether a server still runs: by its incarnation, where it tells that in time,
// otherwise by a connection.
func (f *Forwarder) checkServer(ctx, limited context.Context, server *fleet.Server) ServerState {
	if f.checkIncarnation != nil && limited.Err() == nil {
		if state := stateOf(f.checkIncarnation(limited, server), ServerRuns); state != ServerUnknown {
			return state
		}
	}
	return stateOf(f.connect(ctx, server.Address), ServerListens)
}

// hasContent reports whether a response of the status is a success that has a body, maybe an empty one.
func hasContent(status int) bool {
	return status/100 == 2 && status != http.StatusNoContent && status != http.StatusResetContent
}

// verifyEnd makes the body of an unframed response report whether its server has crashed.
func (f *Forwarder) verifyEnd(ctx context.Context, flow *flow, target *candidate, reply *Reply) {
	if !reply.Unframed || f.connect == nil {
		return
	}
	reply.Body = &unframedBody{
		ReadCloser: reply.Body, ctx: ctx,
		check: func(limited context.Context) ServerState { return f.checkServer(ctx, limited, target.server) },
		awaitDeparture: func(limited context.Context, seenRunning time.Time) bool {
			return f.records.AwaitDeparture(limited, target.server.Incarnation(), seenRunning)
		},
		onEnd:       f.onUnframedEnd,
		seenRunning: flow.attemptStarted,
		mayResume:   func() bool { return reply.Events && flow.route.Repeatable() && flow.stream.resumable() },
		// Nothing may follow the last event of a stream that is resumed.
		mayBeEmpty: !hasContent(reply.Status) || cmp.Or(flow.stream.last, flow.request.ResumeAfter) != "",
	}
}
