package forward

import (
	"cmp"
	"context"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
)

// fakeLimits are the rate limits of servers, with grants as set.
type fakeLimits struct {
	mutex sync.Mutex
	// grants by server; a server without one has no limit.
	grants map[string]serverlimit.Grant
	// taken and returned count slots; maxWait is the longest wait that was allowed.
	taken, returned int
	maxWait         time.Duration
	// interval of the limits; zero: a second.
	interval time.Duration
}

func (l *fakeLimits) Take(_ context.Context, server *fleet.Server, need serverlimit.Request) serverlimit.Grant {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	grant, limited := l.grants[server.ID]
	if !limited {
		return serverlimit.Grant{Allowed: true}
	}
	l.maxWait = max(l.maxWait, need.MaxWait)
	grant.Limited, grant.Allowed = true, grant.RetryAfter == 0 && grant.Delay <= need.MaxWait
	if grant.Allowed {
		l.taken++
	} else if grant.RetryAfter == 0 {
		grant.RetryAfter = grant.Delay
	}
	return grant
}

func (l *fakeLimits) Return(grant serverlimit.Grant) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if grant.Limited && grant.Allowed {
		l.returned++
	}
}

func (l *fakeLimits) Limited(server *fleet.Server) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, limited := l.grants[server.ID]
	return limited
}

func (l *fakeLimits) NextSlotIn(*fleet.Server, time.Time) time.Duration { return 0 }

func (l *fakeLimits) Interval(server *fleet.Server) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, limited := l.grants[server.ID]; limited {
		return cmp.Or(l.interval, time.Second)
	}
	return 0
}

func (l *fakeLimits) setInterval(interval time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.interval = interval
}

// announce makes servers announce a limit, with the grant for each request.
func (l *fakeLimits) announce(grant serverlimit.Grant, servers ...string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, server := range servers {
		l.grants[server] = grant
	}
}

// withdraw ends the servers' limits.
func (l *fakeLimits) withdraw(servers ...string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, server := range servers {
		delete(l.grants, server)
	}
}

func withLimits(t *testing.T, body func(b *testbed, limits *fakeLimits)) {
	inVirtualTime(t, func(b *testbed) {
		limits := &fakeLimits{grants: map[string]serverlimit.Grant{}}
		b.forwarder.limits = limits
		body(b, limits)
	})
}

func TestRequestWaitsForItsSlot(t *testing.T) {
	withLimits(t, func(b *testbed, limits *fakeLimits) {
		limits.announce(serverlimit.Grant{Delay: 700 * time.Millisecond}, "m1", "m2")
		outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(outcome.Held).To(BeNumerically("~", 700*time.Millisecond, 10*time.Millisecond))
		Expect(outcome.Cold).To(BeFalse())
		Expect(limits.maxWait).To(BeNumerically("~", 4900*time.Millisecond, 50*time.Millisecond), "the time of its caller, less the time to its first event")
		Expect([]int{limits.taken, limits.returned}).To(Equal([]int{1, 0}))
	})
}

// A request without a slot in time is refused at once, with the time of its slot.
func TestRequestWithoutASlotInTimeIsRefusedAtOnce(t *testing.T) {
	for name, grant := range map[string]serverlimit.Grant{
		"later": {Delay: 1200 * time.Millisecond}, "slots are taken": {RetryAfter: 1200 * time.Millisecond},
		"slots are taken, free again within its time": {RetryAfter: 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withLimits(t, func(b *testbed, limits *fakeLimits) {
				b.limitRoutes(time.Second)
				slotIn := max(grant.Delay, grant.RetryAfter)
				limits.announce(grant, "m1", "m2")
				began := time.Now()
				outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 9*time.Second), &recorder{})
				Expect(outcome.Code).To(Equal(result.QueueFull))
				Expect(outcome.Ran).To(Equal(result.RanNo))
				Expect(time.Since(began)).To(BeZero())
				Expect(outcome.RetryAfter).To(BeNumerically(">=", slotIn))
				Expect(outcome.RetryAfter).To(BeNumerically("<=", slotIn+time.Second), "at most an interval later")
				Expect(b.backend.servers()).To(BeEmpty())
				Expect(b.forwarder.Demand()).To(HaveEach(HaveField("Waiting", 0)), "no load is requested")
			})
		})
	}
}

func TestServersWithALimitAreTheLastChoice(t *testing.T) {
	withLimits(t, func(b *testbed, limits *fakeLimits) {
		limits.announce(serverlimit.Grant{}, "m1")
		for range 20 {
			outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
			Expect(outcome.Code).To(Equal(result.OK))
		}
		Expect(b.backend.count("m1")).To(BeZero())
		b.view.UpdateServers(map[string]*fleet.Server{"m2": nil})
		Expect(b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{}).Code).To(Equal(result.OK))
		Expect(b.backend.count("m1")).To(Equal(1))
	})
}

// A slot is given back when its request goes elsewhere, its caller leaves, or its server shuts
// down or is unreachable.
func TestUnusedSlotIsGivenBack(t *testing.T) {
	for name, body := range map[string]func(b *testbed, limits *fakeLimits){
		"another server": func(b *testbed, limits *fakeLimits) {
			m2 := b.view.Load().Servers["m2"]
			b.view.UpdateServers(map[string]*fleet.Server{"m2": nil})
			time.AfterFunc(300*time.Millisecond, func() { b.view.UpdateServers(map[string]*fleet.Server{"m2": m2}) })
			outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
			Expect(outcome.Server).To(Equal("m2"))
		},
		"caller leaves": func(b *testbed, _ *fakeLimits) {
			b.view.UpdateServers(map[string]*fleet.Server{"m2": nil})
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(300*time.Millisecond, cancel)
			outcome := b.forwarder.Serve(ctx, request("stream", "m", 5*time.Second), &recorder{})
			Expect(outcome.Code).To(Equal(result.CallerGone))
		},
		"server leaves": func(b *testbed, _ *fakeLimits) {
			b.view.UpdateServers(map[string]*fleet.Server{"m2": nil})
			time.AfterFunc(300*time.Millisecond, func() { b.view.SetLeaving(fleet.Incarnation{ID: "m1"}) })
			outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
			Expect(outcome.Ran).To(Equal(result.RanNo))
			Expect(b.backend.servers()).To(BeEmpty())
		},
		"not reached": func(b *testbed, _ *fakeLimits) {
			b.view.UpdateServers(map[string]*fleet.Server{"m2": nil})
			b.backend.answer["m1"] = fails(FailureConnect, result.RanNo)
			outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
			Expect(outcome.Ran).To(Equal(result.RanNo))
		},
	} {
		t.Run(name, func(t *testing.T) {
			withLimits(t, func(b *testbed, limits *fakeLimits) {
				limits.announce(serverlimit.Grant{Delay: 700 * time.Millisecond}, "m1")
				body(b, limits)
				Expect(limits.returned).To(Equal(limits.taken))
			})
		})
	}
}

// A server may announce a limit between its choice and the attempt.
func TestLimitAnnouncedAfterTheChoiceApplies(t *testing.T) {
	withLimits(t, func(b *testbed, limits *fakeLimits) {
		b.expectNothingSentAfter(func() { limits.announce(serverlimit.Grant{}, "m1") })
	})
}

// A slow attempt is not cancelled for a server whose rate limit has no capacity now.
func TestSlowAttemptGoesOnWhereNoSlotIsFree(t *testing.T) {
	for _, free := range []bool{false, true} {
		withLimits(t, func(b *testbed, limits *fakeLimits) {
			b.backend.answer["m1"] = after(4*time.Second, streams(events(1, 3), time.Millisecond, io.EOF))
			limits.announce(serverlimit.Grant{Delay: time.Second}, "m2")
			if free {
				limits.announce(serverlimit.Grant{}, "m2")
			}
			outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), &recorder{})
			Expect(outcome.Code).To(Equal(result.OK))
			if free {
				Expect(b.backend.servers()).To(Equal([]string{"m1", "m2"}))
				Expect(limits.taken).To(Equal(1))
				return
			}
			Expect(b.backend.servers()).To(Equal([]string{"m1"}))
			Expect(limits.taken).To(Equal(limits.returned))
		})
	}
}

// Once a server's limit ends, slots that it refused don't keep requests from the server.
func TestRefusedSlotIsForgottenWhenTheLimitEnds(t *testing.T) {
	withLimits(t, func(b *testbed, limits *fakeLimits) {
		b.view.UpdateServers(map[string]*fleet.Server{"m2": nil})
		limits.announce(serverlimit.Grant{RetryAfter: time.Minute}, "m1")
		asked := request("patient", "m", 10*time.Second)
		flow := b.forwarder.newFlow(asked, b.view.Load().Configuration.Match(asked.Host, asked.Path))
		_, refusal := b.forwarder.nextTarget(context.Background(), flow)
		Expect(refusal).NotTo(BeNil())
		limits.withdraw("m1")
		target, refusal := b.forwarder.nextTarget(context.Background(), flow)
		Expect(refusal).To(BeNil())
		Expect(target.server.ID).To(Equal("m1"))
	})
}

// Guards against requests that are sent at the rate of an earlier limit, since their slots were granted before the
// server changed it, and against waiting for a slot of a limit that has ended.
func TestSlotOfAChangedLimitIsGivenBack(t *testing.T) {
	for name, change := range map[string]func(limits *fakeLimits){
		"lower": func(limits *fakeLimits) { limits.setInterval(10 * time.Second) },
		"ended": func(limits *fakeLimits) { limits.withdraw("m1", "m2") },
	} {
		t.Run(name, func(t *testing.T) {
			withLimits(t, func(b *testbed, limits *fakeLimits) {
				limits.announce(serverlimit.Grant{Delay: 3 * time.Second}, "m1", "m2")
				time.AfterFunc(time.Second, func() {
					limits.announce(serverlimit.Grant{}, "m1", "m2")
					change(limits)
				})
				outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(outcome.Held).To(BeNumerically("~", time.Second, pollPeriod))
				Expect(limits.returned).To(Equal(1))
			})
		})
	}
}

// Guards against a planned stop that lasts as long as a request waits for its slot, which comes after the node has to be
// gone.
func TestStoppingNodeDoesNotWaitForALaterSlot(t *testing.T) {
	withLimits(t, func(b *testbed, limits *fakeLimits) {
		limits.announce(serverlimit.Grant{Delay: 4 * time.Second}, "m1", "m2")
		started := time.Now()
		time.AfterFunc(time.Second, func() { b.forwarder.Drain(time.Now().Add(time.Second)) })
		outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
		Expect(outcome.Code).To(Or(Equal(result.NodeDraining), Equal(result.QueueFull)))
		Expect(outcome.Ran).To(Equal(result.RanNo))
		Expect(time.Since(started)).To(BeNumerically("<=", time.Second+pollPeriod))
		Expect(limits.returned).To(Equal(limits.taken))
	})
}
