package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
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

// staleReplay plays requests of many nodes for one model.
type staleReplay struct {
	nodes   int
	servers []*simulatedEngine
	// perSecond is the number of requests of all nodes together, in Poisson arrivals.
	perSecond float64
	length    time.Duration
	// period is the age that loads reach until the next ones are known; zero: no node knows what
	// others observed.
	period time.Duration
	// lowestScore: the rate of arrivals is not known, so that the lowest score wins.
	lowestScore bool
	seed        uint64
	// tokens draws the lengths of a prompt and its answer; nil: 1,900 and 300.
	tokens func(random *rand.Rand) (prompt, answer int)
	// crashed replaces the first server; nil: none crashes. tellSuspicions: nodes tell each other of
	// refused connections within 20 ms.
	crashed        *crashedServer
	tellSuspicions bool
}

// crashedServer refuses connections from some time after the replay's start until its record is
// removed 3.6 s later.
type crashedServer struct {
	after   time.Duration
	refused atomic.Int32
}

// answerUntilCrash answers like the server until it crashes.
func (c *crashedServer) answerUntilCrash(answer func(context.Context, Attempt) (*Reply, error)) func(context.Context, Attempt) (*Reply, error) {
	crash := time.Now().Add(c.after)
	return func(ctx context.Context, attempt Attempt) (*Reply, error) {
		if time.Now().Before(crash) {
			return answer(ctx, attempt)
		}
		c.refused.Add(1)
		return nil, &AttemptError{Reason: FailureConnect, Ran: result.RanNo, Cause: syscall.ECONNREFUSED}
	}
}

// tell passes each node's refused connections on to the others until the time.
func tell(tables []*observation.Table, ends time.Time) {
	cursors := make([]observation.Cursor, len(tables))
	for time.Now().Before(ends) {
		time.Sleep(20 * time.Millisecond)
		for i, from := range tables {
			var observed []observation.Observation
			observed, cursors[i] = from.Unsent(cursors[i], false, time.Now())
			for j, to := range tables {
				if i != j && len(observed) > 0 {
					to.Merge(observed, observation.Origin{Node: fmt.Sprint(i)}, time.Now())
				}
			}
		}
	}
}

// replayResult counts requests that began late, those whose stream paused for too long, and those
// that were refused.
type replayResult struct{ late, paused, refused, served, peak int }

func (r *replayResult) add(other replayResult) {
	r.late, r.paused, r.refused, r.served = r.late+other.late, r.paused+other.paused, r.refused+other.refused, r.served+other.served
	r.peak = max(r.peak, other.peak)
}

func (r staleReplay) play() replayResult {
	view := fleet.NewView()
	route := *testRoutes()[0]
	route.LatencyObjective, route.GapObjective = 400*time.Millisecond, 300*time.Millisecond
	route.Timeout = 12 * time.Second
	view.SetConfiguration(fleet.NewConfiguration(1, 1, []*fleet.Route{&route}, []*fleet.Pool{{Name: modelPool, Engine: testConfiguration().Pools[modelPool].Engine}}, fleet.Limits{}))
	backend := &fakeBackend{answer: map[string]func(context.Context, Attempt) (*Reply, error){}}
	listed := map[string]*fleet.Server{}
	for i, server := range r.servers {
		id := fmt.Sprint("s", i)
		backend.answer[id] = server.answer
		listed[id] = &fleet.Server{ID: id, Pool: modelPool, Slots: server.slots, Models: holds("m"), Zone: "z"}
	}
	view.ReplaceServers(listed)
	if r.crashed != nil {
		backend.answer["s0"] = r.crashed.answerUntilCrash(backend.answer["s0"])
		time.AfterFunc(r.crashed.after+3600*time.Millisecond, func() {
			delete(listed, "s0")
			view.ReplaceServers(listed)
		})
	}
	random, draws := rand.New(rand.NewPCG(r.seed, 11)), rand.New(rand.NewPCG(r.seed, 12))
	var mutex sync.Mutex
	draw := func() float64 { mutex.Lock(); defer mutex.Unlock(); return draws.Float64() }
	nodes, tables := make([]*Forwarder, r.nodes), make([]*observation.Table, r.nodes)
	for i := range nodes {
		if r.period > 0 {
			tables[i] = observation.NewTable()
			tables[i].SetNodes(r.nodes, time.Now())
		}
		nodes[i] = New(Config{View: view, Backend: backend, Zone: "z", Nodes: r.nodes, Observations: tables[i], Random: draw, Budget: BudgetLimits{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second}})
		nodes[i].RetryBudget().SetNoEarlierProcess()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var engines sync.WaitGroup
	for _, server := range r.servers {
		engines.Go(func() { server.run(ctx) })
	}
	if r.tokens == nil {
		r.tokens = func(*rand.Rand) (int, int) { return 1900, 300 }
	}
	ends := time.Now().Add(r.length)
	var outcomes replayResult
	var group sync.WaitGroup
	if r.tellSuspicions {
		group.Go(func() { tell(tables, ends) })
		for _, node := range nodes {
			node.connect = func(context.Context, string) error { return syscall.ECONNREFUSED }
		}
	}
	if r.period > 0 {
		group.Go(func() { r.shareLoads(tables, ends) })
	}
	for time.Now().Before(ends) {
		time.Sleep(time.Duration(random.ExpFloat64() / r.perSecond * float64(time.Second)))
		node := nodes[random.IntN(len(nodes))]
		asked := request("stream", "m", 12*time.Second)
		asked.PromptTokens, asked.AnswerTokens = r.tokens(random)
		group.Go(func() {
			outcome := node.Serve(context.Background(), asked, &recorder{})
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case outcome.Code != result.OK:
				outcomes.refused++
			case outcome.Late == LateStart:
				outcomes.late++
			case outcome.LongestGap > route.GapObjective:
				outcomes.paused++
			}
			outcomes.served++
		})
	}
	group.Wait()
	cancel()
	engines.Wait()
	for _, server := range r.servers {
		outcomes.peak = max(outcomes.peak, server.peak)
	}
	return outcomes
}

// shareLoads gives all nodes the servers' loads and the rate of arrivals once per period.
func (r staleReplay) shareLoads(tables []*observation.Table, ends time.Time) {
	for time.Now().Before(ends) {
		time.Sleep(r.period)
		for _, table := range tables {
			if r.lowestScore {
				continue
			}
			table.SetRates([]observation.Rate{{Pool: modelPool, Model: "m", PerSecond: r.perSecond}}, time.Now())
		}
		for i, server := range r.servers {
			if i == 0 && r.crashed != nil && r.crashed.refused.Load() > 0 {
				continue
			}
			load := server.load()
			for _, table := range tables {
				table.RecordLoad(fleet.Incarnation{ID: fmt.Sprint("s", i)}, observation.Load{
					Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown,
				}, time.Now())
			}
		}
	}
}

// playSeeds plays a replay with twenty seeds.
func playSeeds(t *testing.T, name string, replay func() staleReplay) (all replayResult) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			RegisterTestingT(t)
			one := replay()
			one.seed = seed
			all.add(one.play())
		})
	}
	t.Logf("%s: %+v", name, all)
	return all
}

// Guards against late starts at busy servers while others have free slots: each of 91 nodes sends a
// server a request every few seconds, so that its own reports don't show the load; and, where all
// nodes know the same loads, against all of them choosing the same server.
func TestLoadsOfOtherNodesAvoidLateStarts(t *testing.T) {
	play := func(period time.Duration, lowestScore bool) (late int) {
		outcome := playSeeds(t, fmt.Sprintf("period %v, lowest score %v", period, lowestScore), func() staleReplay {
			servers := []*simulatedEngine{newEngine(24), newEngine(24), newEngine(24)}
			return staleReplay{nodes: 91, servers: servers, perSecond: 20, length: 20 * time.Second, period: period, lowestScore: lowestScore}
		})
		return outcome.late + outcome.refused
	}
	before := play(0, false)
	herding := play(500*time.Millisecond, true)
	after := play(250*time.Millisecond, false)
	afterHalfSecond := play(500*time.Millisecond, false)
	NewWithT(t).Expect([]int{after, afterHalfSecond}).To(HaveEach(BeNumerically("<", min(before, herding)/4)))
}

// inVirtualTimeWithTable runs the body with a testbed whose forwarder has a table of observations.
func inVirtualTimeWithTable(t *testing.T, body func(b *testbed, table *observation.Table)) {
	inVirtualTime(t, func(b *testbed) {
		b.forwarder.observations = observation.NewTable()
		body(b, b.forwarder.observations)
	})
}

func othersObserve(table *observation.Table, server string, running int) {
	table.RecordLoad(fleet.Incarnation{ID: server}, observation.Load{Running: running, Slots: 8}, time.Now())
}

// Guards against ignoring what other nodes observed: m1 in the node's zone would win, but has more
// requests; and against counting this node's requests twice: those before the observation are in it.
func TestNewestLoadOfAnyNodeCounts(t *testing.T) {
	inVirtualTimeWithTable(t, func(b *testbed, table *observation.Table) {
		b.backend.answer["m1"] = reportsLoad(3, after(50*time.Millisecond, streams(events(1, 200), 10*time.Millisecond, io.EOF)))
		go b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
		time.Sleep(100 * time.Millisecond)
		load := b.forwarder.tracker.of("m1")
		estimate := func() int {
			load.mutex.Lock()
			defer load.mutex.Unlock()
			b.forwarder.refreshLoad(b.view.Load().Servers["m1"], load, time.Now())
			return load.estimate(time.Now())
		}
		Expect(estimate()).To(Equal(3), "the table holds only what this node observed")
		othersObserve(table, "m1", 20)
		othersObserve(table, "m2", 4)
		time.Sleep(time.Millisecond)
		outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
		Expect(outcome.Server).To(Equal("m2"))
		Expect(outcome.Decision.LoadSource).To(Equal(LoadFromNodes))
		Expect(outcome.Decision.Load).To(Equal(4))
		Expect(outcome.Decision.LoadAge).To(Equal(time.Millisecond))
		Expect(estimate()).To(Equal(20), "the running request is in the observed load")
		time.Sleep(2100 * time.Millisecond)
		Expect(estimate()).To(Equal(19), "it has ended since")
		time.Sleep(time.Second)
		Expect(estimate()).To(BeZero(), "the load has expired")
	})
}

func reportsLoad(running int, answer func(context.Context, Attempt) (*Reply, error)) func(context.Context, Attempt) (*Reply, error) {
	return func(ctx context.Context, attempt Attempt) (*Reply, error) {
		reply, err := answer(ctx, attempt)
		reply.Load = Load{Reported: true, Running: running, Slots: 8, Slowdown: 2}
		return reply, err
	}
}

// Guards against a changed choice where no other node's loads are in force: with a table that holds
// only this node's own observations, the same servers are chosen as without one, for the same
// sequence of requests.
func TestOwnObservationsAloneDoNotChangeTheChoice(t *testing.T) {
	play := func(table *observation.Table) (servers []string) {
		inVirtualTime(t, func(b *testbed) {
			b.forwarder.observations = table
			b.backend.answer["m1"] = reportsLoad(6, after(20*time.Millisecond, streams(events(1, 40), 20*time.Millisecond, io.EOF)))
			b.backend.answer["m2"] = reportsLoad(3, after(30*time.Millisecond, streams(events(1, 40), 30*time.Millisecond, io.EOF)))
			b.backend.answer["p1"] = fails(FailureConnect, result.RanNo)
			random := rand.New(rand.NewPCG(3, 5))
			var group sync.WaitGroup
			for range 200 {
				time.Sleep(time.Duration(random.IntN(100_000)) * time.Microsecond)
				route, model := "stream", "m"
				if random.IntN(3) == 0 {
					route, model = "once", ""
				}
				group.Go(func() { b.forwarder.Serve(context.Background(), request(route, model, 5*time.Second), &recorder{}) })
			}
			group.Wait()
			servers = b.backend.servers()
		})
		return servers
	}
	without := play(nil)
	NewWithT(t).Expect(play(observation.NewTable())).To(Equal(without))
}

// Guards against a draw that doesn't follow the shares, or is made where no rate is known: with two
// servers of equal score and many arrivals, half of the numbers draw each.
func TestServersAreDrawnWhereRequestsOfOtherNodesArrive(t *testing.T) {
	inVirtualTimeWithTable(t, func(b *testbed, table *observation.Table) {
		drawn := 0.0
		b.forwarder.random = func() float64 { drawn += 0.1; return drawn - 0.1 }
		choose := func() (first int) {
			drawn = 0
			othersObserve(table, "m1", 2)
			othersObserve(table, "m2", 2)
			for range 10 {
				flow := b.forwarder.newFlow(request("stream", "m", time.Second), testRoutes()[0])
				found := b.forwarder.choose(flow, b.view.Load(), time.Now())
				if found.best.server.ID == "m1" {
					first++
				}
				b.forwarder.release(flow, found.best, nil)
			}
			return first
		}
		Expect(choose()).To(Equal(10), "the lowest score wins where no rate is known")
		table.SetRates([]observation.Rate{{Pool: modelPool, Model: "m", PerSecond: 1000}}, time.Now())
		Expect(choose()).To(BeNumerically("~", 5, 1))
	})
}

// Guards against telling all nodes that a server is unreachable when this node gave up or its link
// failed, and against not telling them of a refused connection.
func TestOnlyRefusedConnectionsAreRecordedAsUnreachable(t *testing.T) {
	for name, test := range map[string]struct {
		failure  AttemptError
		cancel   bool
		recorded bool
	}{
		"refused":            {failure: AttemptError{Reason: FailureConnect, Cause: fmt.Errorf("dial: %w", syscall.ECONNREFUSED)}, recorded: true},
		"refused, cancelled": {failure: AttemptError{Reason: FailureConnect, Cause: syscall.ECONNREFUSED}, cancel: true},
		"timed out":          {failure: AttemptError{Reason: FailureConnect, Cause: context.DeadlineExceeded}},
		"other incarnation":  {failure: AttemptError{Reason: FailureOtherInstance}, recorded: true},
		"broken":             {failure: AttemptError{Reason: FailureBroken}},
		"full":               {failure: AttemptError{Reason: FailureFull}},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTimeWithTable(t, func(b *testbed, table *observation.Table) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if test.cancel {
					cancel()
				}
				target := &candidate{server: b.view.Load().Servers["m1"], load: b.forwarder.tracker.of("m1")}
				b.forwarder.recordFailedAttempt(ctx, target, &test.failure, time.Now())
				if test.recorded {
					Expect(table.Urgent()).To(Receive())
					return
				}
				Expect(table.Urgent()).NotTo(Receive())
			})
		})
	}
}

// Guards against sharing the load in a response's head as new when the response ends.
func TestLoadIsSharedAsOfTheResponseHead(t *testing.T) {
	inVirtualTimeWithTable(t, func(b *testbed, table *observation.Table) {
		b.backend.answer["m1"] = reportsLoad(6, streams(events(1, 2), 500*time.Millisecond, io.EOF))
		started := time.Now()
		b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), &recorder{})
		load, at, known := table.Load(fleet.Incarnation{ID: "m1"}, time.Now())
		Expect(known).To(BeTrue())
		Expect(load).To(Equal(observation.Load{Running: 6, Slots: 8, Slowdown: 2}))
		Expect(at).To(Equal(started))
	})
}

// Guards against taking a restarted server for as slow as before, and against a late message of the
// earlier incarnation that discards what is known of the new one.
func TestSpeedBelongsToOneIncarnation(t *testing.T) {
	RegisterTestingT(t)
	now, load := time.Unix(1_700_000_000, 0), &serverLoad{}
	first, second := fleet.Incarnation{ID: "s", Born: 1}, fleet.Incarnation{ID: "s", Born: 2}
	load.adoptIncarnation(first)
	load.speed = load.speed.with(3, now)
	load.adoptIncarnation(second)
	Expect(load.speed.sustainedAt(now)).To(Equal(1.0))
	load.speed = load.speed.with(2, now)
	load.adoptIncarnation(first)
	load.adoptIncarnation(second)
	Expect(load.speed.sustainedAt(now)).To(Equal(1.5))
}

// Guards against choosing the lowest score among the servers of a pool without models, for want of an
// arrival rate: demand counts only requests for models.
func TestRequestsToPoolsWithoutModelsAreCounted(t *testing.T) {
	inVirtualTimeWithTable(t, func(b *testbed, table *observation.Table) {
		for range 3 {
			b.forwarder.Serve(context.Background(), request("once", "", time.Second), &recorder{})
		}
		b.forwarder.Serve(context.Background(), request("stream", "m", time.Second), &recorder{})
		Expect(table.Arrivals()).To(Equal(map[string]uint64{plainPool: 3}))
	})
}

// BenchmarkChoose measures a choice among 60 servers, with this node's own reports and with loads of
// other nodes; the bound is 50 µs.
func BenchmarkChoose(b *testing.B) {
	for name, table := range map[string]*observation.Table{"own": nil, "nodes": observation.NewTable()} {
		b.Run(name, func(b *testing.B) { benchmarkChoose(b, table) })
	}
}

func benchmarkChoose(b *testing.B, table *observation.Table) {
	view, now := fleet.NewView(), time.Now()
	view.SetConfiguration(testConfiguration())
	listed := map[string]*fleet.Server{}
	for i := range 60 {
		id := fmt.Sprint("s", i)
		listed[id] = &fleet.Server{ID: id, Pool: modelPool, Slots: 24, Models: holds("m"), Zone: "z"}
	}
	view.ReplaceServers(listed)
	node := New(Config{View: view, Backend: &fakeBackend{}, Zone: "z", Nodes: 91, Observations: table})
	if table != nil {
		table.SetRates([]observation.Rate{{Pool: modelPool, Model: "m", PerSecond: 30}}, now)
		for i := range 60 {
			table.RecordLoad(fleet.Incarnation{ID: fmt.Sprint("s", i)}, observation.Load{Running: i % 24, Slots: 24}, now)
		}
	}
	flow := node.newFlow(request("stream", "m", time.Hour), testRoutes()[0])
	snapshot := view.Load()
	for b.Loop() {
		node.release(flow, node.choose(flow, snapshot, now).best, nil)
	}
}

// Guards against sending slow servers as much as fast ones: three servers that share their machines
// run at 0.7, 1 and 1.7 of the usual speed and are slowed for moments. A quarter of the prompts are
// long.
func TestReportedSlowdownAvoidsLateStartsAndPauses(t *testing.T) {
	mixed := func(random *rand.Rand) (prompt, answer int) {
		if random.IntN(4) == 0 {
			return min(int(1800*(0.3+0.7*random.ExpFloat64())), 6870), 250
		}
		return 500 + random.IntN(500), 200
	}
	play := func(reports bool) int {
		outcome := playSeeds(t, fmt.Sprintf("slowdown reported %v", reports), func() staleReplay {
			servers := []*simulatedEngine{newEngine(24).slowedTo(1/0.7, 0), newEngine(24).slowedTo(1, 200*time.Millisecond), newEngine(24).slowedTo(1/1.7, 400*time.Millisecond)}
			for _, server := range servers {
				server.reports = reports
			}
			return staleReplay{nodes: 91, servers: servers, perSecond: 24, length: 20 * time.Second, period: 250 * time.Millisecond, tokens: mixed}
		})
		return outcome.late + outcome.paused + outcome.refused
	}
	before := play(false)
	NewWithT(t).Expect(play(true)).To(BeNumerically("<", before*3/4))
}

// Guards against a moment of slowness that counts as a lasting one, and against a slowdown that
// lasts longer than the reports.
func TestSustainedSlowdownFollowsReportsAndExpires(t *testing.T) {
	RegisterTestingT(t)
	now := time.Unix(1_700_000_000, 0)
	var known speed
	Expect(known.sustainedAt(now)).To(Equal(1.0))
	for i := range 400 {
		slowdown := 1.4
		if i%6 == 0 {
			slowdown = 3.5
		}
		known = known.with(slowdown, now.Add(time.Duration(i)*100*time.Millisecond))
	}
	now = now.Add(40 * time.Second)
	Expect(known.sustainedAt(now)).To(BeNumerically("~", 1.75, 0.1), "the mean of the reports")
	Expect(known.with(9, known.at.Add(-time.Second))).To(Equal(known), "an older report changes nothing")
	Expect(known.with(0, now)).To(Equal(known), "nor does one without a slowdown")
	Expect(known.with(3.5, now).sustainedAt(now)).To(BeNumerically("<", 1.85))
	Expect(known.sustainedAt(now.Add(30 * time.Second))).To(BeNumerically("~", 1, 0.01))
}

// Guards against counting a slowdown twice in the wait for a slot, and so refusing a request that would
// start in time: the run times are measured at servers that are all slowed, as they report.
func TestReportedSlowdownIsNotCountedTwiceInTheWait(t *testing.T) {
	inVirtualTimeWithTable(t, func(b *testbed, table *observation.Table) {
		for _, server := range []string{"m1", "m2"} {
			b.backend.answer[server] = reportsLoad(0, streams(events(1, 11), 100*time.Millisecond, io.EOF))
		}
		for range 30 {
			Expect(b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{}).Code).To(Equal(result.OK))
		}
		time.Sleep(time.Millisecond)
		for _, server := range []string{"m1", "m2"} {
			table.RecordLoad(fleet.Incarnation{ID: server}, observation.Load{Running: 8, Waiting: 3, Slots: 8, Slowdown: 2}, time.Now())
		}
		time.Sleep(time.Millisecond)
		outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(outcome.Held).To(BeZero())
	})
}

// Guards against taking this node's own load for that of another node when two responses arrive at
// about the same time and are recorded in the other order: the load would count for 3 s instead of 1 s.
func TestOwnLoadRecordedOutOfOrderStaysOwn(t *testing.T) {
	inVirtualTimeWithTable(t, func(b *testbed, _ *observation.Table) {
		target := &candidate{server: b.view.Load().Servers["m1"], load: b.forwarder.tracker.of("m1")}
		first := time.Now()
		second := first.Add(time.Microsecond)
		b.forwarder.recordAnswer(target, Load{Reported: true, Running: 4, Slots: 8}, second)
		b.forwarder.recordAnswer(target, Load{Reported: true, Running: 3, Slots: 8}, first)
		time.Sleep(time.Millisecond)
		target.load.mutex.Lock()
		defer target.load.mutex.Unlock()
		b.forwarder.refreshLoad(target.server, target.load, time.Now())
		Expect(target.load.usesShared()).To(BeFalse())
	})
}

// Guards against discarding what is known about a restarted server when a response of its earlier
// incarnation arrives late.
func TestLateResponseOfAnEarlierIncarnationChangesNothing(t *testing.T) {
	inVirtualTimeWithTable(t, func(b *testbed, table *observation.Table) {
		load := b.forwarder.tracker.of("m1")
		earlier := &candidate{server: &fleet.Server{ID: "m1", Born: 1, Slots: 8}, load: load}
		later := &candidate{server: &fleet.Server{ID: "m1", Born: 2, Slots: 8}, load: load}
		flow := b.forwarder.newFlow(request("stream", "m", time.Second), testRoutes()[0])
		respond := func(target *candidate, slowdown float64) {
			b.forwarder.recordResponse(flow, target, &Reply{Status: 200, Load: Load{Reported: true, Running: 2, Slots: 8, Slowdown: slowdown}}, time.Millisecond)
			time.Sleep(time.Millisecond)
		}
		respond(earlier, 1)
		respond(later, 3)
		respond(earlier, 1)
		load.mutex.Lock()
		defer load.mutex.Unlock()
		b.forwarder.refreshLoad(later.server, load, time.Now())
		Expect(load.usesShared()).To(BeFalse(), "no other node observed the server")
		Expect(load.speed.sustainedAt(time.Now())).To(BeNumerically("~", 2, 0.01))
	})
}

// Guards against refusing an urgent request for the queues of its servers, which serve it first: a
// server whose waiting requests are nearly all less urgent starts it when the next request ends. A
// request that is as urgent as the others waits for all of them and is refused.
func TestUrgentRequestIsSentToAServerWithAQueue(t *testing.T) {
	for _, others := range []int{lowestPriority, 0} {
		inVirtualTimeWithTable(t, func(b *testbed, table *observation.Table) {
			b.forwarder.tracker.recordRunTime(modelPool, 2*time.Second)
			for range 1000 {
				b.forwarder.priorities.record(modelPool, others)
			}
			for _, server := range []string{"m1", "m2"} {
				table.RecordLoad(fleet.Incarnation{ID: server}, observation.Load{Running: 8, Waiting: 8, Slots: 8}, time.Now())
			}
			time.Sleep(time.Millisecond)
			outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 2*time.Second), &recorder{})
			if others == lowestPriority {
				Expect(outcome.Code).To(Equal(result.OK))
			} else {
				Expect(outcome.Code).To(Equal(result.QueueFull))
			}
		})
	}
}
