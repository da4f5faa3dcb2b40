package forward

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The time to a failure that comes at once was taken for the speed of its server and pool: one server that answers
// everything with a failure drew the requests of sound ones.
func TestFailuresTeachNoSpeed(t *testing.T) {
	for _, route := range []string{"repeat", "once"} {
		for _, status := range []int{302, 400, 404, 422, 500, 502} {
			t.Run(fmt.Sprintf("%s %d", route, status), func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					for _, id := range []string{"p1", "p2"} {
						b.backend.answer[id] = after(time.Millisecond, func(ctx context.Context, _ Attempt) (*Reply, error) {
							return &Reply{Status: status, Body: &scriptedBody{ctx: ctx, parts: []string{"failure"}, pause: time.Millisecond, err: io.EOF}}, nil
						})
					}
					for range 20 {
						time.Sleep(200 * time.Millisecond)
						b.forwarder.Serve(context.Background(), request(route, "", 5*time.Second), &recorder{})
					}
					Expect(b.forwarder.tracker.averageTokenTime(plainPool)).To(Equal(defaultTokenTime))
					Expect(b.forwarder.tracker.averageRunTime(plainPool)).To(BeZero())
					for _, id := range []string{"p1", "p2"} {
						Expect(b.forwarder.tracker.of(id).latency).To(BeEquivalentTo(1))
					}
				})
			})
		}
	}
}
