package gateway

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/table"
)

// fakeTable is a table that tests edit in place.
type fakeTable struct {
	rows     map[string]table.Row
	revision table.Revision
}

func (t *fakeTable) Row(name string) (table.Row, bool) {
	row, known := t.rows[name]
	return row, known
}
func (t *fakeTable) Rows() []table.Row        { return nil }
func (t *fakeTable) Revision() table.Revision { return t.revision }

// fakeDirectory holds snapshots that tests set, and records calls.
type fakeDirectory struct {
	snapshots    map[string]*directory.Snapshot
	demanded     []string
	invalidated  []outside.ServerID
	leaving      []outside.ServerID
	onInvalidate func(model string)
}

func (d *fakeDirectory) Snapshot(name string) *directory.Snapshot { return d.snapshots[name] }
func (d *fakeDirectory) ReportDemand(row string)                  { d.demanded = append(d.demanded, row) }

func (d *fakeDirectory) MarkLeaving(server outside.ServerID) { d.leaving = append(d.leaving, server) }

func (d *fakeDirectory) Invalidate(model string, server outside.ServerID, _ outside.SlotID) {
	d.invalidated = append(d.invalidated, server)
	old := d.snapshots[model]
	kept := &directory.Snapshot{Group: model}
	for _, endpoint := range old.Endpoints {
		if endpoint.Server != server {
			kept.Endpoints = append(kept.Endpoints, endpoint)
		}
	}
	d.snapshots[model] = kept
	d.onInvalidate(model)
}

// set replaces a group's endpoints by one at each server, with the batch size.
func (d *fakeDirectory) set(group string, batch int, servers ...string) {
	snapshot := &directory.Snapshot{Group: group}
	for _, server := range servers {
		snapshot.Endpoints = append(snapshot.Endpoints, directory.Endpoint{
			Server: outside.ServerID(server), Model: group, Version: "1", MaxBatch: batch,
		})
	}
	d.snapshots[group] = snapshot
}

// engineCall is one attempt that the fake engine received.
type engineCall struct {
	request   outside.GenerateRequest
	sink      outside.GenerateSink
	cancelled bool
}

// chunks sends the chunks with the indexes from (inclusive) to (exclusive).
func (c *engineCall) chunks(from, to int) {
	for index := from; index < to; index++ {
		c.sink.Chunk(outside.Chunk{Attempt: c.request.Attempt, Index: index, Text: strconv.Itoa(index), Tokens: 1})
	}
}

func (c *engineCall) end(chunks int) {
	c.sink.End(outside.GenerateEnd{Attempt: c.request.Attempt, Chunks: chunks, FinishReason: "stop"})
}

func (c *engineCall) fail(ran result.Ran, reason string) {
	c.sink.Failed(&outside.AttemptError{Attempt: c.request.Attempt, Ran: ran, Reason: reason})
}

// fakeEngines passes each attempt to serve after one millisecond of virtual time.
type fakeEngines struct {
	outside.EngineService
	loop  *simulation.Loop
	calls []*engineCall
	serve func(call *engineCall)
}

func (f *fakeEngines) Generate(request outside.GenerateRequest, sink outside.GenerateSink) func() {
	call := &engineCall{request: request, sink: sink}
	f.calls = append(f.calls, call)
	f.loop.AfterFunc(time.Millisecond, func() { f.serve(call) })
	return func() { call.cancelled = true }
}

// fakeBackEnds passes each call to serve after one millisecond of virtual time.
type fakeBackEnds struct {
	loop  *simulation.Loop
	calls []outside.BackEndRequest
	serve func(request outside.BackEndRequest, done func(outside.BackEndResponse, error))
}

func (f *fakeBackEnds) Call(request outside.BackEndRequest, done func(outside.BackEndResponse, error)) {
	f.calls = append(f.calls, request)
	f.loop.AfterFunc(time.Millisecond, func() { f.serve(request, done) })
}

func respond(request outside.BackEndRequest, done func(outside.BackEndResponse, error)) {
	done(outside.BackEndResponse{Attempt: request.Attempt, Status: 200, Body: []byte("seat 7")}, nil)
}

// fakeClaims is a claimer that keeps its claims in a map.
type fakeClaims struct {
	loop        *simulation.Loop
	delay       time.Duration
	unavailable bool
	held        map[claims.Key]*fakeClaim
	released    int
	// claimAttempts are the attempts of all Claim calls, in order.
	claimAttempts []outside.AttemptID
}

type fakeClaim struct {
	attempt outside.AttemptID
	digest  uint64
	outcome *claims.Outcome
}

func (f *fakeClaims) Claim(key claims.Key, attempt outside.AttemptID, digest uint64, _ time.Time, done func(claims.Result)) {
	f.claimAttempts = append(f.claimAttempts, attempt)
	f.loop.AfterFunc(f.delay, func() { done(f.decide(key, attempt, digest)) })
}

func (f *fakeClaims) decide(key claims.Key, attempt outside.AttemptID, digest uint64) claims.Result {
	held := f.held[key]
	switch {
	case f.unavailable:
		return claims.Result{Verdict: claims.Unavailable}
	case held == nil:
		f.held[key] = &fakeClaim{attempt: attempt, digest: digest}
		return claims.Result{Verdict: claims.Granted}
	case held.digest != digest:
		return claims.Result{Verdict: claims.Conflict}
	default:
		return claims.Result{Verdict: claims.Denied, Holder: held.attempt, Outcome: held.outcome}
	}
}

func (f *fakeClaims) Record(key claims.Key, attempt outside.AttemptID, outcome claims.Outcome) {
	if held := f.held[key]; held != nil && held.attempt == attempt {
		held.outcome = &outcome
	}
}

func (f *fakeClaims) Release(key claims.Key, attempt outside.AttemptID) {
	if held := f.held[key]; held != nil && held.attempt == attempt {
		delete(f.held, key)
		f.released++
	}
}

// caller is a responder that records its calls.
type caller struct {
	chunks  []outside.Chunk
	answer  *Answer
	refusal *result.Refusal
	finals  int
	stale   int // chunks of an attempt that is not the request's latest
	finalAt time.Time
	clock   *simulation.Loop
	onFinal func()
	onChunk func(chunk outside.Chunk)
}

func (c *caller) Chunk(chunk outside.Chunk) {
	if c.finals > 0 {
		// No chunk may follow the final call: make the checks that finals is 1 fail.
		c.finals += 100
	}
	c.chunks = append(c.chunks, chunk)
	if c.onChunk != nil {
		c.onChunk(chunk)
	}
}

func (c *caller) Finish(answer Answer) {
	c.answer = &answer
	c.final()
}

func (c *caller) Refuse(refusal result.Refusal) {
	c.refusal = &refusal
	c.final()
}

func (c *caller) final() {
	c.finals++
	c.finalAt = c.clock.Now()
	if c.onFinal != nil {
		c.onFinal()
	}
}

func (c *caller) code() result.Code {
	if c.refusal == nil {
		return result.OK
	}
	return c.refusal.Code
}

// harness is a gateway whose dependencies are fakes, on virtual time.
type harness struct {
	loop      *simulation.Loop
	table     *fakeTable
	directory *fakeDirectory
	pools     *fakeDirectory
	engines   *fakeEngines
	backEnds  *fakeBackEnds
	claims    *fakeClaims
	gateway   *Gateway
	requests  int
}

const (
	testModel = "glossa-small"
	testPool  = "eggrafi"
)

func newHarness(seed uint64, limits Limits) *harness {
	loop := simulation.NewLoop(seed)
	h := &harness{
		loop: loop,
		table: &fakeTable{revision: 1, rows: map[string]table.Row{
			testModel: {Name: testModel, Kind: table.KindModel, Version: "1", Weight: 1, MaxReplicas: 2, TimeLimit: time.Minute, Repeatable: true},
			"tone":    {Name: "tone", Kind: table.KindAdapter, Base: testModel, Weight: 1, MaxReplicas: 2, TimeLimit: time.Minute, Repeatable: true},
		}},
		directory: &fakeDirectory{snapshots: map[string]*directory.Snapshot{}},
		pools:     &fakeDirectory{snapshots: map[string]*directory.Snapshot{}},
		engines:   &fakeEngines{loop: loop},
		backEnds:  &fakeBackEnds{loop: loop, serve: respond},
		claims:    &fakeClaims{loop: loop, delay: 2 * time.Millisecond, held: map[claims.Key]*fakeClaim{}},
	}
	h.engines.serve = func(call *engineCall) {
		call.chunks(call.request.ResumeFrom, 3)
		call.end(3)
	}
	random := func() *rand.Rand { return loop.Fork() }
	h.gateway = New(Config{
		Clock: loop, Random: random(), Node: "node-1#a", Table: h.table, Logger: zerolog.Nop(), Limits: limits,
		Directory: h.directory, Engines: h.engines, Claims: h.claims, Pools: h.pools, BackEnds: h.backEnds,
		Router:     router.New(router.Config{Clock: loop, Random: random(), Source: h.directory, Slack: 1}),
		PoolRouter: router.New(router.Config{Clock: loop, Random: random(), Source: h.pools, Slack: 1}),
	})
	h.directory.onInvalidate = h.gateway.EndpointsChanged
	return h
}

// warm makes the test model ready at the servers.
func (h *harness) warm(batch int, servers ...string) {
	h.directory.set(testModel, batch, servers...)
	h.gateway.EndpointsChanged(testModel)
}

// generation returns a repeatable request for the test model.
func (h *harness) generation(limit time.Duration) Request {
	h.requests++
	now := h.loop.Now()
	return Request{
		ID: fmt.Sprintf("r%d", h.requests), Tenant: "alpha", Model: testModel, Path: "/v1/completions", Body: []byte("{}"),
		Priority: 5, Accepted: now, Deadline: now.Add(limit), Repeatable: true,
	}
}

// poolRequest returns a non-repeatable request for the test pool.
func (h *harness) poolRequest(limit time.Duration, key string) Request {
	request := h.generation(limit)
	request.Model, request.Pool, request.Key, request.Repeatable = "", testPool, key, false
	return request
}

// latest returns the id of a request's latest generation attempt.
func (h *harness) latest(request string) outside.AttemptID {
	for index := len(h.engines.calls) - 1; index >= 0; index-- {
		if h.engines.calls[index].request.RequestID == request {
			return h.engines.calls[index].request.Attempt
		}
	}
	return ""
}

func (h *harness) submit(request Request) (*caller, func()) {
	c := &caller{clock: h.loop}
	c.onChunk = func(chunk outside.Chunk) {
		if chunk.Attempt != h.latest(request.ID) {
			c.stale++
		}
	}
	return c, h.gateway.Submit(request, c)
}
