package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/observation"
	"github.com/hatchplank/hatchplank/internal/result"
)

// suspect tells the table that another node found the server unreachable.
func suspect(table *observation.Table, server string) {
	table.Merge([]observation.Observation{{Server: fleet.Incarnation{ID: server}, Unreachable: true, ReachAge: time.Millisecond}}, observation.Origin{Node: "other"}, time.Now())
}

// withSuspicions runs the body with a testbed that checks suspected servers, and counts the checks,
// which take 10 ms.
func withSuspicions(t *testing.T, outcome error, body func(b *testbed, table *observation.Table, checks *atomic.Int32)) {
	inVirtualTimeWithTable(t, func(b *testbed, table *observation.Table) {
		for _, server := range []string{"m1", "m2"} {
			b.backend.answer[server] = after(20*time.Millisecond, b.backend.answer[server])
		}
		var checks atomic.Int32
		b.forwarder.connect = func(context.Context, string) error {
			checks.Add(1)
			time.Sleep(10 * time.Millisecond)
			return outcome
		}
		body(b, table, &checks)
	})
}

func serveFromModel(b *testbed) Outcome {
	return b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
}

// Guards against attempts at a server that another node found unreachable, and against a false
// suspicion that lasts: after 300 ms one check ends it.
func TestSuspectedServerIsAvoidedAndCheckedOnce(t *testing.T) {
	withSuspicions(t, nil, func(b *testbed, table *observation.Table, checks *atomic.Int32) {
		suspect(table, "m1")
		for range 5 {
			outcome := serveFromModel(b)
			Expect(outcome.Server).To(Equal("m2"))
			Expect(outcome.Decision.Suspected).To(Equal(1))
			time.Sleep(20 * time.Millisecond)
		}
		Expect(checks.Load()).To(BeZero())
		time.Sleep(checkSuspectedAfter)
		for range 3 {
			go serveFromModel(b)
		}
		synctest.Wait()
		Expect(checks.Load()).To(Equal(int32(1)))
		time.Sleep(50 * time.Millisecond)
		Expect(table.Suspected(fleet.Incarnation{ID: "m1"}, time.Now())).To(BeFalse())
		Expect(serveFromModel(b).Server).To(Equal("m1"), "the server in the node's zone is chosen again")
	})
}

// Guards against refusing a request because its only server is suspected by mistake, and against
// several checks of one suspicion.
func TestOnlyServerIsCheckedAtOnce(t *testing.T) {
	withSuspicions(t, nil, func(b *testbed, table *observation.Table, checks *atomic.Int32) {
		b.view.ReplaceServers(map[string]*fleet.Server{"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"}})
		suspect(table, "m1")
		var served atomic.Int32
		for range 4 {
			go func() {
				if serveFromModel(b).Code == result.OK {
					served.Add(1)
				}
			}()
		}
		time.Sleep(time.Second)
		Expect(served.Load()).To(Equal(int32(4)))
		Expect(checks.Load()).To(Equal(int32(1)))
	})
}

// Guards against spending attempts on a crashed server, and against keeping a refused check from the
// other nodes. A check that times out may be the fault of this node's link.
func TestFailedCheckCountsAsOwnRefusedConnection(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		told bool
	}{"refused": {syscall.ECONNREFUSED, true}, "timed out": {errors.New("timeout"), false}} {
		t.Run(name, func(t *testing.T) {
			withSuspicions(t, test.err, func(b *testbed, table *observation.Table, checks *atomic.Int32) {
				suspect(table, "m1")
				// The table renews what it tells other nodes after a second.
				time.Sleep(1100 * time.Millisecond)
				Expect(serveFromModel(b).Server).To(Equal("m2"))
				time.Sleep(20 * time.Millisecond)
				load := b.forwarder.tracker.of("m1")
				Expect(load.pausedUntil).To(BeTemporally(">", time.Now()))
				if test.told {
					Expect(table.Urgent()).To(Receive())
				} else {
					Expect(table.Urgent()).NotTo(Receive())
				}
				time.Sleep(500 * time.Millisecond)
				serveFromModel(b)
				Expect(checks.Load()).To(Equal(int32(1)), "a suspicion is checked once")
				Expect(b.backend.count("m1")).To(BeZero())
			})
		})
	}
}

// Guards against each of 91 nodes finding out a crash with attempts of its own. One of three servers
// refuses connections after 2 s and is listed for 3.6 s more. With the suspicions of other nodes, at
// most a quarter of the attempts is refused.
func TestCrashIsNotFoundOutByEachNode(t *testing.T) {
	play := func(told bool) (refused int32) {
		synctest.Test(t, func(t *testing.T) {
			RegisterTestingT(t)
			crashed := &crashedServer{after: 2 * time.Second}
			replay := staleReplay{nodes: 91, servers: []*simulatedEngine{newEngine(24), newEngine(24), newEngine(24)}, perSecond: 15, length: 6 * time.Second, period: 250 * time.Millisecond, crashed: crashed, tellSuspicions: told}
			outcome := replay.play()
			refused = crashed.refused.Load()
			t.Logf("told of suspicions %v: %d attempts refused, %+v", told, refused, outcome)
		})
		return refused
	}
	alone := play(false)
	NewWithT(t).Expect(play(true)).To(BeNumerically("<=", alone/4))
}

// Guards against holding a request until a hanging check of a suspected server ends, although another
// server can take it meanwhile.
func TestRequestWaitingForACheckTakesAFreedServer(t *testing.T) {
	withSuspicions(t, nil, func(b *testbed, table *observation.Table, checks *atomic.Int32) {
		b.forwarder.connect = func(ctx context.Context, _ string) error {
			checks.Add(1)
			<-ctx.Done()
			return ctx.Err()
		}
		b.view.ReplaceServers(map[string]*fleet.Server{
			"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"},
			"m2": {ID: "m2", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z", Draining: true},
		})
		suspect(table, "m1")
		time.AfterFunc(20*time.Millisecond, func() {
			b.view.ReplaceServers(map[string]*fleet.Server{
				"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"},
				"m2": {ID: "m2", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"},
			})
		})
		outcome := serveFromModel(b)
		Expect(outcome.Server).To(Equal("m2"))
		Expect(outcome.Held).To(BeNumerically("~", 20*time.Millisecond, time.Millisecond))
		time.Sleep(suspicionCheckTimeout)
		Expect(checks.Load()).To(Equal(int32(1)))
	})
}

// Guards against refusing requests with an objective of 100 ms, less than the shortest expected delay,
// because another request of the node waits for the check of their servers, which takes 10 ms.
func TestRequestsWithAShortObjectiveAreHeldDuringACheck(t *testing.T) {
	withSuspicions(t, nil, func(b *testbed, table *observation.Table, checks *atomic.Int32) {
		suspect(table, "p1")
		suspect(table, "p2")
		var served atomic.Int32
		for range 4 {
			go func() {
				outcome := b.forwarder.Serve(context.Background(), request("once", "", 600*time.Millisecond), &recorder{})
				if outcome.Code == result.OK {
					served.Add(1)
				}
			}()
		}
		time.Sleep(time.Second)
		Expect(served.Load()).To(Equal(int32(4)))
	})
}

// Guards against holding a request until a hanging check ends, although the check of another server
// found it reachable: it is sent there at once.
func TestRequestDoesNotWaitForAllChecks(t *testing.T) {
	for _, hanging := range []string{"m1", "m2"} {
		withSuspicions(t, nil, func(b *testbed, table *observation.Table, _ *atomic.Int32) {
			b.forwarder.connect = func(ctx context.Context, address string) error {
				if address == hanging {
					<-ctx.Done()
					return ctx.Err()
				}
				time.Sleep(10 * time.Millisecond)
				return nil
			}
			servers := map[string]*fleet.Server{}
			for _, id := range []string{"m1", "m2"} {
				servers[id] = &fleet.Server{ID: id, Address: id, Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"}
				suspect(table, id)
			}
			b.view.ReplaceServers(servers)
			outcome := serveFromModel(b)
			Expect(outcome.Server).NotTo(Equal(hanging))
			Expect(outcome.Held).To(BeNumerically("~", 10*time.Millisecond, time.Millisecond))
			time.Sleep(suspicionCheckTimeout)
		})
	}
}
