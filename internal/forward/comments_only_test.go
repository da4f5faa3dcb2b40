package forward

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/result"
)

// A server that sent comments or pings in place of events kept its stream until the deadline, though another server
// could go on with it: comments counted as events where the time without one is limited.
func TestStreamGoesOnAtAnotherServerWhereOnlyCommentsCome(t *testing.T) {
	for _, comment := range []string{": wait\n\n", "event: ping\n\n", "retry: 100\n\n", ":\n"} {
		for _, route := range []string{"patient", "declared-patient"} {
			for _, begun := range []int{0, 1, 3} {
				t.Run(fmt.Sprintf("%q, %s, after %d events", comment, route, begun), func(t *testing.T) {
					inVirtualTime(t, func(b *testbed) {
						first := true
						answer := func(ctx context.Context, attempt Attempt) (*Reply, error) {
							if first {
								first = false
								return &Reply{Status: 200, Events: true, Body: &scriptedBody{ctx: ctx, parts: append(events(1, begun), slices.Repeat([]string{comment}, 1000)...), pause: 50 * time.Millisecond, err: io.EOF}}, nil
							}
							return raw(events(begun+1, 6)...)(ctx, attempt)
						}
						b.backend.answer["m1"], b.backend.answer["m2"] = answer, answer
						began := time.Now()
						outcome, seen := serveStream(b, route, "")
						Expect(outcome.Code).To(Equal(result.OK))
						Expect(strings.Count(seen.body.String(), "data: x")).To(Equal(6))
						Expect(time.Since(began)).To(BeNumerically("<", testRoute(route).LatencyObjective+500*time.Millisecond))
					})
				})
			}
		}
	}
}
