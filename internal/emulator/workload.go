package emulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Workload sends random requests for a span of time.
type Workload struct {
	// RequestsPerSecond on average, as a Poisson process.
	RequestsPerSecond float64
	// BackEndShare of the requests go to the back-end pool and carry a key.
	BackEndShare float64
	// RepeatShare of the requests with a key are sent again to another node,
	// at the same time or a little later.
	RepeatShare float64
	// Models that are called; empty: all rows of the deployment.
	Models int
	// MaxTokens of an answer, from 1.
	MaxTokens int
	// TimeLimits from which each request draws one.
	TimeLimits []time.Duration
}

// DefaultWorkload keeps a handful of models busy and calls others now and then.
func DefaultWorkload() Workload {
	return Workload{
		RequestsPerSecond: 12, BackEndShare: 0.2, RepeatShare: 0.3, Models: 24, MaxTokens: 24,
		TimeLimits: []time.Duration{2 * time.Second, 10 * time.Second, 45 * time.Second},
	}
}

// load is a running workload.
type load struct {
	world    *World
	workload Workload
	random   *rand.Rand
	rows     []table.Row
	until    time.Time
	sent     int
}

// StartWorkload begins to send requests until a time.
func (w *World) StartWorkload(workload Workload, until time.Time) {
	l := &load{world: w, workload: workload, random: w.Loop.Fork(), until: until}
	l.rows = l.chooseRows()
	l.schedule()
}

func (l *load) chooseRows() []table.Row {
	rows := append([]table.Row(nil), l.world.Options.Deployment.Rows...)
	l.random.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	if l.workload.Models > 0 && l.workload.Models < len(rows) {
		rows = rows[:l.workload.Models]
	}
	return rows
}

func (l *load) schedule() {
	pause := time.Duration(l.random.ExpFloat64() / l.workload.RequestsPerSecond * float64(time.Second))
	l.world.Loop.AfterFunc(pause, func() {
		if l.world.Loop.Now().After(l.until) {
			return
		}
		l.sendOne()
		l.schedule()
	})
}

func (l *load) sendOne() {
	target := l.world.pickNode()
	if target == nil {
		return
	}
	l.sent++
	limit := l.workload.TimeLimits[l.random.IntN(len(l.workload.TimeLimits))]
	if l.world.Options.Deployment.BackEndPool != "" && l.random.Float64() < l.workload.BackEndShare {
		l.sendKeyed(target, l.backEndRequest(), limit)
		return
	}
	// Squaring the draw makes some rows much more popular than others.
	draw := l.random.Float64()
	row := l.rows[int(draw*draw*float64(len(l.rows)))]
	limit = min(limit, row.TimeLimit)
	request := l.generation(row)
	if !row.Repeatable {
		l.sendKeyed(target, request, limit)
		return
	}
	l.world.calls.send(target, request, limit, nil)
}

// generation builds a completion request with a body of its own.
func (l *load) generation(row table.Row) gateway.Request {
	request := gateway.Request{
		Tenant: row.Tenant, Model: row.Name, Method: "POST", Path: "/v1/completions",
		ContentType: "application/json", Priority: row.Priority, Repeatable: row.Repeatable,
	}
	tokens := 1 + l.random.IntN(l.workload.MaxTokens)
	prompt := strings.Repeat("dossier ", 1+l.random.IntN(40))
	request.Body = fmt.Appendf(nil, `{"model":%q,"prompt":"%s %d","max_tokens":%d,"stream":true}`,
		row.Name, prompt, l.sent, tokens)
	request.Prefix = []byte(prompt)
	if !row.Repeatable {
		request.Key = fmt.Sprintf("key-%06d", l.sent)
	}
	return request
}

func (l *load) backEndRequest() gateway.Request {
	deployment := l.world.Options.Deployment
	return gateway.Request{
		Tenant: deployment.Rows[0].Tenant, Pool: deployment.BackEndPool, Method: "POST", Path: "/v1/confirmations",
		ContentType: "application/json", Body: fmt.Appendf(nil, `{"seat":%d}`, l.sent),
		Priority: 5, Key: fmt.Sprintf("key-%06d", l.sent),
	}
}

// sendKeyed sends a request with a key, and often once more elsewhere, as
// callers do that lost patience, their connection, or heard "not run".
func (l *load) sendKeyed(target *SimulatedNode, request gateway.Request, limit time.Duration) {
	l.world.calls.send(target, request, limit, func(ended EndedCall) {
		again := ended.Lost || (!ended.Served && ended.Refusal.Ran != result.RanYes)
		if again && l.random.Float64() < l.workload.RepeatShare {
			l.repeat(request, limit)
		}
	})
	if l.random.Float64() < l.workload.RepeatShare {
		pause := time.Duration(l.random.ExpFloat64() * float64(300*time.Millisecond))
		l.world.Loop.AfterFunc(pause, func() { l.repeat(request, limit) })
	}
}

func (l *load) repeat(request gateway.Request, limit time.Duration) {
	if target := l.world.pickNode(); target != nil {
		l.world.calls.send(target, request, limit, nil)
	}
}
