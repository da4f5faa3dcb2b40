package forward

import (
	"context"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

// unframed makes an answer end with its connection.
func unframed(answer func(context.Context, Attempt) (*Reply, error)) func(context.Context, Attempt) (*Reply, error) {
	return func(ctx context.Context, attempt Attempt) (*Reply, error) {
		reply, err := answer(ctx, attempt)
		if reply != nil {
			reply.Unframed = true
		}
		return reply, err
	}
}

// endRecorder records when a body has ended.
type endRecorder struct {
	io.ReadCloser
	ended *time.Time
}

func (r endRecorder) Read(buffer []byte) (int, error) {
	count, err := r.ReadCloser.Read(buffer)
	if err != nil {
		*r.ended = time.Now()
	}
	return count, err
}

// recordsEnd records when the body of an answer has ended.
func recordsEnd(answer func(context.Context, Attempt) (*Reply, error), ended *time.Time) func(context.Context, Attempt) (*Reply, error) {
	return func(ctx context.Context, attempt Attempt) (*Reply, error) {
		reply, err := answer(ctx, attempt)
		if reply != nil {
			reply.Body = endRecorder{reply.Body, ended}
		}
		return reply, err
	}
}

// Guards against a response that ends with its connection and is given to its caller as complete,
// although its server crashed in the middle of it.
func TestUnframedResponseOfACrashedServerIsBroken(t *testing.T) {
	cases := map[string]struct {
		route, model string
		answer       func(context.Context, Attempt) (*Reply, error)
		// refusesAfter is the time from the end of the connection until the server refuses others.
		refusesAfter time.Duration
		body         string
	}{
		"between two events":             {"stream", "m", streams(events(1, 2), time.Millisecond, io.EOF), 0, strings.Join(events(1, 2), "")},
		"sockets are closed one by one":  {"stream", "m", streams(events(1, 2), time.Millisecond, io.EOF), 15 * time.Millisecond, strings.Join(events(1, 2), "")},
		"after the head of a stream":     {"stream", "m", streams(nil, time.Millisecond, io.EOF), 0, ""},
		"in a body that is no stream":    {"once", "", answers(200, "half of an ans"), 0, ""},
		"after the head of a short body": {"once", "", answers(200, ""), 0, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				var ended time.Time
				for id := range b.backend.answer {
					b.backend.answer[id] = unframed(recordsEnd(test.answer, &ended))
				}
				b.forwarder.connect = func(context.Context, string) error {
					if time.Since(ended) < test.refusesAfter {
						return nil
					}
					return syscall.ECONNREFUSED
				}
				seen := &recorder{}
				outcome := b.forwarder.Serve(context.Background(), request(test.route, test.model, 5*time.Second), seen)
				Expect(outcome.Code).NotTo(Equal(result.OK))
				Expect(outcome.Broken).To(Equal(seen.begun > 0))
				Expect(seen.body.String()).To(Equal(test.body))
			})
		})
	}
}

// Guards against a resumable stream that is given to its caller as complete in the middle, instead of
// going on at another server.
func TestUnframedStreamOfACrashedServerContinuesAtAnother(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		crashed := func() bool { return len(b.backend.servers()) == 1 }
		answer := func(ctx context.Context, attempt Attempt) (*Reply, error) {
			if crashed() {
				return streams(events(1, 2), time.Millisecond, io.EOF)(ctx, attempt)
			}
			return streams(events(3, 4), time.Millisecond, io.EOF)(ctx, attempt)
		}
		b.backend.answer["m1"], b.backend.answer["m2"] = unframed(answer), unframed(answer)
		b.forwarder.connect = func(context.Context, string) error {
			if crashed() {
				return syscall.ECONNREFUSED
			}
			return nil
		}
		seen := &recorder{}
		outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), seen)
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(seen.body.String()).To(Equal(strings.Join(events(1, 4), "")))
	})
}

// Guards against complete responses that are taken for broken, since their server is slow to accept a
// connection or is not reached.
func TestUnframedResponseOfALivingServerIsComplete(t *testing.T) {
	for _, probed := range []error{nil, syscall.ETIMEDOUT, context.DeadlineExceeded} {
		inVirtualTime(t, func(b *testbed) {
			b.backend.answer["p1"] = unframed(answers(200, "fine"))
			b.backend.answer["p2"] = b.backend.answer["p1"]
			b.forwarder.connect = func(context.Context, string) error { return probed }
			seen := &recorder{}
			outcome := b.forwarder.Serve(context.Background(), request("once", "", time.Second), seen)
			Expect(outcome.Code).To(Equal(result.OK))
			Expect(seen.body.String()).To(Equal("fine"))
		})
	}
}

// refusedError is the failure of a connection that was refused, which proves nothing to other nodes.
type refusedError struct{ error }

func (refusedError) RefusedHere() bool { return true }

// Guards against a response of a crashed server being given to its caller as complete, since other nodes
// did not reach the server to confirm that it refuses connections.
func TestUnframedResponseIsBrokenWhereTheServerRefusesThisNode(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.inTurn(unframed(streams(events(1, 2), time.Millisecond, io.EOF)))
		b.forwarder.connect = func(context.Context, string) error { return refusedError{syscall.EIO} }
		outcome, seen := serveStream(b, "stream", "")
		Expect(outcome.Broken).To(BeTrue())
		Expect(seen.body.String()).To(Equal(strings.Join(events(1, 2), "")))
	})
}

// Guards against a response being taken for complete since something accepts connections at the address
// of its server, which has crashed.
func TestUnframedResponseOfAnotherIncarnationIsBroken(t *testing.T) {
	for name, test := range map[string]struct {
		check  error
		broken bool
	}{
		"another incarnation answers": {ErrOtherIncarnation, true},
		"the same one answers":        {nil, false},
		"it does not tell":            {ErrIncarnationUnknown, false},
		"it does not answer":          {syscall.ECONNRESET, false},
		"it does not answer in time":  {context.DeadlineExceeded, false},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(unframed(streams(events(1, 2), time.Millisecond, io.EOF)))
				b.forwarder.connect = func(context.Context, string) error { return nil }
				b.forwarder.checkIncarnation = func(context.Context, *fleet.Server) error { return test.check }
				for _, route := range []string{"stream", "patient"} {
					outcome, _ := serveStream(b, route, "")
					Expect(outcome.Broken).To(Equal(test.broken), route)
				}
			})
		})
	}
}

// Guards against a stream being given to its caller as complete although its server could not be checked
// and another one has more of it.
func TestUnconfirmedEndOfAStreamIsConfirmedByAnotherServer(t *testing.T) {
	for name, test := range map[string]struct {
		last   int
		slack  float64
		broken bool
	}{
		"the stream was complete": {3, 100, false}, "events were missing": {5, 100, false}, "the retry budget is spent": {5, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				if test.slack == 0 {
					b.forwarder.budgets = newBudgets(BudgetLimits{Window: 10 * time.Second}, 1)
				}
				b.inTurn(unframed(streams(events(1, 3), time.Millisecond, io.EOF)), streams(events(4, test.last), time.Millisecond, io.EOF))
				b.forwarder.connect = func(context.Context, string) error { return syscall.ETIMEDOUT }
				outcome, seen := serveStream(b, "patient", "")
				Expect(outcome.Broken).To(Equal(test.broken))
				if !test.broken {
					Expect(seen.body.String()).To(Equal(strings.Join(events(1, test.last), "")))
				}
			})
		})
	}
}

// Guards against the end of a response waiting for long for a server that accepts connections and does
// not answer.
func TestEndOfAnUnframedResponseWaitsForABoundedTime(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.inTurn(unframed(streams(events(1, 2), time.Millisecond, io.EOF)))
		b.forwarder.connect = func(context.Context, string) error { return nil }
		b.forwarder.checkIncarnation = func(ctx context.Context, _ *fleet.Server) error {
			<-ctx.Done()
			return ctx.Err()
		}
		began := time.Now()
		outcome, _ := serveStream(b, "patient", "")
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(time.Since(began)).To(BeNumerically("<=", incarnationCheckTimeout+10*time.Millisecond))
	})
}

// Guards against a response being given to its caller as complete although its server was about to end:
// it answered on its last connections while it closed them.
func TestUnframedResponseOfAServerThatIsEndingIsBroken(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		var ended time.Time
		for id := range b.backend.answer {
			b.backend.answer[id] = unframed(recordsEnd(answers(200, "half of an ans"), &ended))
		}
		b.forwarder.connect = func(context.Context, string) error { return nil }
		b.forwarder.checkIncarnation = func(context.Context, *fleet.Server) error {
			if time.Since(ended) < 5*time.Millisecond {
				return nil
			}
			return ErrOtherIncarnation
		}
		outcome := b.forwarder.Serve(context.Background(), request("once", "", 5*time.Second), &recorder{})
		Expect(outcome.Code).NotTo(Equal(result.OK))
	})
}

// Guards against a head that broke off behind an early blank line being given to its caller as a whole response
// without a body. Behind a caller's last event nothing may be left.
func TestEmptyUnframedSuccessIsBroken(t *testing.T) {
	for name, test := range map[string]struct {
		route, model, last string
		answer             func(context.Context, Attempt) (*Reply, error)
		code               result.Code
	}{
		"no stream":       {"once", "", "", answers(200, ""), result.OutcomeUnknown},
		"a stream":        {"stream", "m", "", streams(nil, time.Millisecond, io.EOF), result.OutcomeUnknown},
		"a rest":          {"patient", "m", "3", streams(nil, time.Millisecond, io.EOF), result.OK},
		"another status":  {"once", "", "", answers(404, ""), result.OK},
		"without content": {"once", "", "", answers(205, ""), result.OK},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				for id := range b.backend.answer {
					b.backend.answer[id] = unframed(test.answer)
				}
				b.forwarder.connect = func(context.Context, string) error { return nil }
				request := request(test.route, test.model, 5*time.Second)
				request.ResumeAfter = test.last
				seen := &recorder{}
				outcome := b.forwarder.Serve(context.Background(), request, seen)
				Expect(outcome.Code).To(Equal(test.code))
				Expect(seen.begun > 0).To(Equal(test.code == result.OK))
			})
		})
	}
}
