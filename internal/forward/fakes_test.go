package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

// The tests of this package run in virtual time with testing/synctest, which needs
// plain tests of the testing package rather than Ginkgo specs.

const (
	modelPool = "models"
	plainPool = "plain"
)

func testRoutes() []*fleet.Route {
	route := func(name string, kind fleet.RequestKind, resumable bool, attempts int, pool string, objective time.Duration) *fleet.Route {
		return &fleet.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, MaxAttempts: attempts,
			Timeout: 5 * time.Second, LatencyObjective: objective, GapObjective: 400 * time.Millisecond, Priority: 1,
			Targets: []fleet.Target{{Pool: pool, Weight: 1}},
		}
	}
	declared := func(route *fleet.Route) *fleet.Route {
		route.Events = fleet.EventFormat{DecimalIDs: true, KnownFieldsOnly: true, LeadingField: "weight-versions"}
		return route
	}
	// The route whose requests may run at most once has two attempts as well, so that only
	// its kind prevents a second run.
	return []*fleet.Route{
		route("stream", fleet.KindStream, false, 2, modelPool, 800*time.Millisecond),
		route("patient", fleet.KindStream, true, 2, modelPool, 4*time.Second),
		route("once", fleet.KindOnce, false, 2, plainPool, 100*time.Millisecond),
		route("repeat", fleet.KindRepeatable, false, 2, plainPool, 100*time.Millisecond),
		declared(route("declared", fleet.KindStream, false, 2, modelPool, 800*time.Millisecond)),
		declared(route("declared-patient", fleet.KindStream, true, 2, modelPool, 4*time.Second)),
	}
}

// streamRoutes are the test routes of streams: those with a declared format of events, and those without.
var streamRoutes = []string{"stream", "patient", "declared", "declared-patient"}

func testRoute(name string) *fleet.Route {
	routes := testRoutes()
	return routes[slices.IndexFunc(routes, func(route *fleet.Route) bool { return route.Name == name })]
}

// isPatient reports whether a route of streams may be resumed.
func isPatient(route string) bool { return strings.HasSuffix(route, "patient") }

func isDeclared(route string) bool { return strings.HasPrefix(route, "declared") }

func testPools() []*fleet.Pool {
	engine := &fleet.Engine{Slots: 8, MemoryMB: 200, AdapterSlots: 2, LoadsPerSecond: 4, Models: map[string]*fleet.Model{
		"m": {Name: "m", SizeMB: 70, LoadTime: 2 * time.Second},
		"n": {Name: "n", SizeMB: 70, LoadTime: 2 * time.Second},
	}}
	return []*fleet.Pool{{Name: modelPool, Engine: engine}, {Name: plainPool}}
}

func testConfiguration() *fleet.Configuration {
	return fleet.NewConfiguration(1, 1, testRoutes(), testPools(), fleet.Limits{})
}

// fakeBackend answers each attempt with the function set for its server.
type fakeBackend struct {
	mutex    sync.Mutex
	answer   map[string]func(ctx context.Context, attempt Attempt) (*Reply, error)
	attempts []Attempt
}

func (b *fakeBackend) Send(ctx context.Context, attempt Attempt) (*Reply, error) {
	b.mutex.Lock()
	b.attempts = append(b.attempts, attempt)
	answer := b.answer[attempt.Server.ID]
	b.mutex.Unlock()
	return answer(ctx, attempt)
}

func (b *fakeBackend) servers() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var names []string
	for _, attempt := range b.attempts {
		names = append(names, attempt.Server.ID)
	}
	return names
}

// count is the number of attempts that were sent to a server.
func (b *fakeBackend) count(id string) int {
	count := 0
	for _, server := range b.servers() {
		if server == id {
			count++
		}
	}
	return count
}

// recorder is a responder that keeps what it is given.
type recorder struct {
	mutex sync.Mutex
	begun int
	body  bytes.Buffer
}

func (r *recorder) Begin(*Reply) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.begun++
}

func (r *recorder) Write(part []byte) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, err := r.body.Write(part)
	return err
}

// scriptedBody is a body that returns its parts one by one, each after the pause, and then an error.
type scriptedBody struct {
	ctx   context.Context
	parts []string
	pause time.Duration
	err   error
}

func (p *scriptedBody) Read(buffer []byte) (int, error) {
	if p.pause > 0 {
		select {
		case <-p.ctx.Done():
			return 0, p.ctx.Err()
		case <-time.After(p.pause):
		}
	}
	if len(p.parts) == 0 {
		return 0, p.err
	}
	count := copy(buffer, p.parts[0])
	p.parts = p.parts[1:]
	return count, nil
}

func (p *scriptedBody) Close() error { return nil }

// events returns stream events with the IDs from and to and those between.
func events(from, to int) []string {
	var parts []string
	for number := from; number <= to; number++ {
		parts = append(parts, fmt.Sprintf("id: %d\ndata: x\n\n", number))
	}
	return parts
}

// streams answers with an event stream.
func streams(parts []string, pause time.Duration, end error) func(context.Context, Attempt) (*Reply, error) {
	return func(ctx context.Context, _ Attempt) (*Reply, error) {
		return &Reply{Status: 200, Events: true, Body: &scriptedBody{ctx: ctx, parts: append([]string(nil), parts...), pause: pause, err: end}}, nil
	}
}

// answers replies with a complete body.
func answers(status int, text string) func(context.Context, Attempt) (*Reply, error) {
	return func(ctx context.Context, _ Attempt) (*Reply, error) {
		time.Sleep(5 * time.Millisecond)
		return &Reply{Status: status, Body: &scriptedBody{ctx: ctx, parts: []string{text}, err: io.EOF}}, nil
	}
}

// readsAsNotRun makes callers take the reply for a promise that the request has not run.
func readsAsNotRun(answer func(context.Context, Attempt) (*Reply, error)) func(context.Context, Attempt) (*Reply, error) {
	return func(ctx context.Context, attempt Attempt) (*Reply, error) {
		reply, err := answer(ctx, attempt)
		reply.ReadsAsNotRun = true
		return reply, err
	}
}

// after delays a response head.
func after(delay time.Duration, answer func(context.Context, Attempt) (*Reply, error)) func(context.Context, Attempt) (*Reply, error) {
	return func(ctx context.Context, attempt Attempt) (*Reply, error) {
		time.Sleep(delay)
		return answer(ctx, attempt)
	}
}

func fails(reason FailureReason, ran result.Ran) func(context.Context, Attempt) (*Reply, error) {
	return func(context.Context, Attempt) (*Reply, error) {
		return nil, &AttemptError{Reason: reason, Ran: ran}
	}
}

// hangs never answers.
func hangs(ctx context.Context, _ Attempt) (*Reply, error) {
	<-ctx.Done()
	return nil, &AttemptError{Reason: FailureBroken, Ran: result.RanUnknown, Cause: ctx.Err()}
}

// fakeOrders are the plans of an order holder.
type fakeOrders struct {
	// ordersIn is the time until orders are given; noHolder: no node gives any.
	ordersIn time.Duration
	noHolder bool
	mutex    sync.Mutex
	ready    map[string]time.Time
}

// set sets the time at which a model will be loaded.
func (o *fakeOrders) set(model string, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ready = map[string]time.Time{model: at}
}

func (o *fakeOrders) ReadyAt(key DemandKey) (time.Time, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	at, loading := o.ready[key.Model]
	return at, loading
}

func (o *fakeOrders) OrdersIn() (time.Duration, bool) { return o.ordersIn, !o.noHolder }

// testbed is a forwarder with two servers that hold models and two that need none.
type testbed struct {
	forwarder *Forwarder
	view      *fleet.View
	backend   *fakeBackend
	orders    *fakeOrders

	mutex    sync.Mutex
	observed []Observation
}

// limitRoutes gives all routes a time limit, so that requests with a later deadline have no more time than that.
func (b *testbed) limitRoutes(limit time.Duration) {
	routes := testRoutes()
	for _, route := range routes {
		route.Timeout = limit
	}
	b.view.SetConfiguration(fleet.NewConfiguration(2, 2, routes, testPools(), fleet.Limits{}))
}

func holds(models ...string) map[string]fleet.LoadedModel {
	held := map[string]fleet.LoadedModel{}
	for _, model := range models {
		held[model] = fleet.LoadedModel{Adapters: map[string]bool{}}
	}
	return held
}

func newTestbed(slack float64) *testbed {
	b := &testbed{view: fleet.NewView(), backend: &fakeBackend{}, orders: &fakeOrders{}}
	b.view.SetConfiguration(testConfiguration())
	b.view.ReplaceServers(map[string]*fleet.Server{
		"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"},
		"m2": {ID: "m2", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "y"},
		"p1": {ID: "p1", Pool: plainPool, Slots: 2, Zone: "z"},
		"p2": {ID: "p2", Pool: plainPool, Slots: 2, Zone: "y"},
	})
	b.backend.answer = map[string]func(context.Context, Attempt) (*Reply, error){
		"m1": streams(events(1, 3), time.Millisecond, io.EOF), "m2": streams(events(1, 3), time.Millisecond, io.EOF),
		"p1": answers(200, "fine"), "p2": answers(200, "fine"),
	}
	b.forwarder = New(Config{
		View: b.view, Backend: b.backend, Orders: b.orders, Zone: "z", Nodes: 1,
		Budget: BudgetLimits{Ratio: 0.2, Slack: slack, Window: 10 * time.Second},
		Observe: func(seen Observation) {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			b.observed = append(b.observed, seen)
		},
	})
	b.forwarder.RetryBudget().SetNoEarlierProcess()
	return b
}

func request(route, model string, wait time.Duration) *Request {
	now := time.Now()
	return &Request{
		ID: "r", Host: "h", Path: "/" + route + "/x", Model: model, PromptTokens: 1000, Accepted: now, Deadline: now.Add(wait),
	}
}

func inVirtualTime(t *testing.T, body func(b *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		body(newTestbed(100))
	})
}

// breaksOff answers with a body that breaks off.
func breaksOff(ctx context.Context, _ Attempt) (*Reply, error) {
	return &Reply{Status: 200, Body: &scriptedBody{ctx: ctx, parts: []string{"fi"}, err: io.ErrUnexpectedEOF}}, nil
}

func answerOf(answer func(context.Context, Attempt) (*Reply, error), ctx context.Context, attempt Attempt) (*Reply, error, bool) {
	reply, err := answer(ctx, attempt)
	return reply, err, true
}

// stallsAfter answers with events after which the stream stalls.
func stallsAfter(parts []string) func(context.Context, Attempt) (*Reply, error) {
	return stallsAfterPauses(parts, 0)
}

// stallsAfterPauses answers with events, each after a pause, after which the stream stalls.
func stallsAfterPauses(parts []string, pause time.Duration) func(context.Context, Attempt) (*Reply, error) {
	return func(ctx context.Context, _ Attempt) (*Reply, error) {
		return &Reply{Status: 200, Events: true, Body: &stalledBody{scriptedBody: scriptedBody{ctx: ctx, parts: parts, pause: pause}}}, nil
	}
}

// stalledBody returns its parts and then blocks until its context ends.
type stalledBody struct{ scriptedBody }

func (s *stalledBody) Read(buffer []byte) (int, error) {
	if len(s.parts) > 0 {
		return s.scriptedBody.Read(buffer)
	}
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// pausing answers with one event, the others after a pause, and the end after another pause.
func pausing(pause time.Duration) func(context.Context, Attempt) (*Reply, error) {
	return func(ctx context.Context, _ Attempt) (*Reply, error) {
		first := &scriptedBody{ctx: ctx, parts: events(1, 1), err: io.EOF}
		rest := &scriptedBody{ctx: ctx, parts: []string{strings.Join(events(2, 5), "")}, pause: pause, err: io.EOF}
		return &Reply{Status: 200, Events: true, Body: &chainedBody{bodies: []io.ReadCloser{first, rest}}}, nil
	}
}

// chainedBody reads one body after the other.
type chainedBody struct{ bodies []io.ReadCloser }

func (c *chainedBody) Read(buffer []byte) (int, error) {
	count, err := c.bodies[0].Read(buffer)
	if errors.Is(err, io.EOF) && len(c.bodies) > 1 {
		c.bodies = c.bodies[1:]
		return count, nil
	}
	return count, err
}

func (c *chainedBody) Close() error { return nil }
