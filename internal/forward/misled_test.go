package forward

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/observation"
	"github.com/hatchplank/hatchplank/internal/result"
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

// A server that rejected all requests as full, and reported to be idle, was tried first by each request, also by other
// nodes, which used up the retries: 713 of 1,000 requests were refused beside a sound server.
func TestServerThatIsFullButReportsToBeIdleIsTriedOnceASecond(t *testing.T) {
	for _, route := range []string{"repeat", "once"} {
		for _, every := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond} {
			for _, table := range []*observation.Table{nil, observation.NewTable()} {
				t.Run(fmt.Sprintf("%s, every %v, table %v", route, every, table != nil), func(t *testing.T) {
					inVirtualTime(t, func(b *testbed) {
						if table != nil {
							b.forwarder.observations = table
						}
						b.backend.answer["p1"] = func(context.Context, Attempt) (*Reply, error) {
							return nil, &AttemptError{Reason: FailureFull, Ran: result.RanNo, Load: Load{Reported: true, Slots: 2}}
						}
						b.backend.answer["p2"] = reportsLoad(1, answers(200, "fine"))
						began, served, requests := time.Now(), 0, int(10*time.Second/every)
						for range requests {
							time.Sleep(every)
							if b.forwarder.Serve(context.Background(), request(route, "", 5*time.Second), &recorder{}).Code == result.OK {
								served++
							}
						}
						Expect(served).To(Equal(requests))
						Expect(b.backend.count("p1")).To(BeNumerically("<=", 1+time.Since(began).Seconds()))
						if table != nil {
							_, _, known := table.Load(b.view.Load().Servers["p1"].Incarnation(), time.Now())
							Expect(known).To(BeFalse())
						}
					})
				})
			}
		}
	}
}
