package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// Guards against requests that are served in the order in which they happen to wake, so that an urgent one, or one whose
// caller leaves soon, comes after others.
func TestWaitingRequestsAreServedByPriorityAndTheTimeToSpare(t *testing.T) {
	waiting := []struct {
		id, route string
		wait      time.Duration
	}{
		{"urgent, 30 s", "once", 30 * time.Second},
		{"urgent, 40 s", "once", 40 * time.Second},
		{"less urgent, 25 s", "repeat", 25 * time.Second},
		{"less urgent, 30 s", "repeat", 30 * time.Second},
		{"less urgent, 40 s", "repeat", 40 * time.Second},
	}
	for seed := range uint64(20) {
		inVirtualTime(t, func(b *testbed) {
			routes := []*fleet.Route{testRoute("once"), testRoute("repeat")}
			routes[0].Timeout, routes[1].Timeout = time.Minute, time.Minute
			routes[0].Priority, routes[1].Priority = 0, 5
			b.view.SetConfiguration(fleet.NewConfiguration(2, 2, routes, testPools(), fleet.Limits{}))
			b.view.ReplaceServers(map[string]*fleet.Server{"p1": {ID: "p1", Pool: plainPool, Slots: 1, Zone: "z"}})
			release := make(chan struct{})
			b.backend.answer["p1"] = func(ctx context.Context, _ Attempt) (*Reply, error) {
				<-release
				return &Reply{Status: 200, Body: &scriptedBody{ctx: ctx, err: io.EOF}}, nil
			}
			var group sync.WaitGroup
			ask := func(id, route string, wait time.Duration) {
				asked := request(route, "", wait)
				asked.ID = id
				group.Go(func() { b.forwarder.Serve(context.Background(), asked, &recorder{}) })
				synctest.Wait()
			}
			for range maxRequestsPerSlot {
				ask("first", "once", time.Minute)
			}
			for _, i := range rand.New(rand.NewPCG(seed, 1)).Perm(len(waiting)) {
				ask(waiting[i].id, waiting[i].route, waiting[i].wait)
			}
			for _, next := range waiting {
				// All have woken before one of them chooses.
				end := b.forwarder.turns.await(plainPool, 0, time.Time{})
				release <- struct{}{}
				synctest.Wait()
				end()
				synctest.Wait()
				b.backend.mutex.Lock()
				Expect(b.backend.attempts[len(b.backend.attempts)-1].Request.ID).To(Equal(next.id))
				b.backend.mutex.Unlock()
			}
			for range maxRequestsPerSlot {
				release <- struct{}{}
			}
			group.Wait()
			Expect(b.forwarder.turns.byPool).To(BeEmpty())
		})
	}
}
