package forward

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/result"
)

// A server's failure that is written as events was held to the events of a success: the caller got another failure than
// the server's, and its server was taken for a faulty one.
func TestFailureThatIsWrittenAsEventsIsPassedOn(t *testing.T) {
	for name, body := range map[string]string{
		"event without ID": "event: error\ndata: no such model\n\n", "partial event": "data: no such", "no event": ": nothing\n\n", "empty": "",
	} {
		for _, route := range streamRoutes {
			for _, status := range []int{302, 400, 404, 422, 500} {
				if isPatient(route) && status >= minFailureStatus {
					continue // Another server is tried.
				}
				t.Run(fmt.Sprintf("%s, %s, %d", name, route, status), func(t *testing.T) {
					inVirtualTime(t, func(b *testbed) {
						for _, id := range []string{"m1", "m2"} {
							b.backend.answer[id] = func(ctx context.Context, _ Attempt) (*Reply, error) {
								return &Reply{Status: status, Events: true, Body: &scriptedBody{ctx: ctx, parts: []string{body}, err: io.EOF}}, nil
							}
						}
						seen := &recorder{}
						outcome := b.forwarder.Serve(context.Background(), request(route, "m", 5*time.Second), seen)
						Expect(outcome.Code).To(Equal(result.OK))
						Expect(outcome.Status).To(Equal(status))
						Expect(seen.body.String()).To(Equal(body))
						Expect(b.backend.servers()).To(HaveLen(1))
						Expect(b.forwarder.tracker.of(b.backend.servers()[0]).faultLevel).To(BeZero())
					})
				})
			}
		}
	}
}

// Guards against failures that break off being passed on as whole, or joined.
func TestFailureThatIsWrittenAsEventsAndBreaksOffIsNone(t *testing.T) {
	for _, route := range streamRoutes {
		t.Run(route, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				for _, id := range []string{"m1", "m2"} {
					b.backend.answer[id] = func(ctx context.Context, _ Attempt) (*Reply, error) {
						return &Reply{Status: 400, Events: true, Body: &scriptedBody{ctx: ctx, parts: []string{"id: 1\ndata: x\n\n"}, err: io.ErrUnexpectedEOF}}, nil
					}
				}
				outcome, seen := serveStream(b, route, "")
				Expect(outcome.Code).To(Equal(result.OutcomeUnknown))
				Expect(seen.begun).To(BeZero())
			})
		})
	}
}
