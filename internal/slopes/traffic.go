package slopes

import (
	"fmt"
	"math"
	"time"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
	"github.com/hatchplank/hatchplank/internal/tablestore"
)

// requestLimit is the time limit of the hollow requests.
const requestLimit = 30 * time.Second

// requestCounts count the ends of the hollow requests.
type requestCounts struct {
	sent, served, refused int
	refusals              map[result.Code]int
}

// responder counts the end of one request.
type responder struct{ counts *requestCounts }

// Chunk implements gateway.Responder.
func (responder) Chunk(outside.Chunk) {}

// Finish implements gateway.Responder.
func (r responder) Finish(gateway.Answer) { r.counts.served++ }

// Refuse implements gateway.Responder.
func (r responder) Refuse(refusal result.Refusal) {
	r.counts.refused++
	r.counts.refusals[refusal.Code]++
}

// hollowTokens are generated for each request: few, because the control work
// does not depend on them.
const hollowTokens = 16

var hollowBody = fmt.Appendf(nil,
	`{"model":"m","messages":[{"role":"user","content":"Draft a short reply."}],"max_tokens":%d}`, hollowTokens)

// ImportTable writes the table through the first node until it is accepted.
func (w *World) ImportTable() {
	first := w.Nodes[0]
	first.Process.Run(func() {
		first.Node.Table.Propose(tablestore.Edit{Changed: w.rows, Author: "import"}, func(outcome tablestore.Outcome) {
			if outcome.Code != result.OK {
				w.Loop.AfterFunc(time.Second, w.ImportTable)
				return
			}
			w.Distribution.Accepted(outcome.Revision, w.Loop.Now())
		})
	})
}

// StartTraffic begins the requests of all nodes' callers.
func (w *World) StartTraffic() {
	w.requests.refusals = map[result.Code]int{}
	perNode := w.Size.RequestsPerSecond / float64(len(w.Nodes))
	if perNode <= 0 {
		return
	}
	for _, node := range w.Nodes {
		w.scheduleRequest(node, perNode)
	}
}

// scheduleRequest sends a node's next request after an exponential pause.
func (w *World) scheduleRequest(node *HollowNode, rate float64) {
	pause := time.Duration(-math.Log(1-w.random.Float64()) / rate * float64(time.Second))
	w.Loop.AfterFunc(pause, func() {
		if !node.restarting {
			node.Process.Run(func() { w.submit(node) })
		}
		w.scheduleRequest(node, rate)
	})
}

func (w *World) submit(node *HollowNode) {
	w.requests.sent++
	now := node.Process.Now()
	request := gateway.Request{
		ID: fmt.Sprintf("request-%08d", w.requests.sent), Tenant: tenantName,
		Model: modelName(w.random.IntN(w.Size.ActiveRows)), Method: "POST", Path: "/v1/chat/completions",
		ContentType: "application/json", Body: hollowBody, Priority: 5,
		Accepted: now, Deadline: now.Add(requestLimit), Repeatable: true,
	}
	if w.random.Float64() < w.Size.ClaimShare {
		request.Repeatable = false
		request.Key = request.ID
	}
	node.Node.Gateway.Submit(request, responder{counts: &w.requests})
}

// StartChanges begins the edits of the table, the restarts of nodes and the
// replacements of servers.
func (w *World) StartChanges() {
	w.every(period(w.Size.TableChangesPerDay), w.editTable)
	w.every(period(w.Size.NodeRestartsPerDay), w.restartNode)
	w.every(period(w.Size.MachineChangesPerDay), w.replaceServer)
}

func (w *World) every(pause time.Duration, act func()) {
	if pause <= 0 {
		return
	}
	w.Loop.AfterFunc(pause, func() {
		act()
		w.every(pause, act)
	})
}

func (w *World) pickNode() *HollowNode {
	for {
		node := w.Nodes[w.random.IntN(len(w.Nodes))]
		if !node.restarting {
			return node
		}
	}
}

// editTable changes the priority of an idle row.
func (w *World) editTable() {
	target := w.pickNode()
	row := w.rows[w.Size.ActiveRows+w.random.IntN(max(1, len(w.rows)-w.Size.ActiveRows))]
	current, known := target.Node.Table.Row(row.Name)
	if !known {
		return
	}
	current.Priority = (current.Priority + 1) % 10
	edit := tablestore.Edit{Base: target.Node.Table.Revision(), Changed: []table.Row{current}, Author: "operator"}
	w.Distribution.proposed++
	target.Process.Run(func() {
		target.Node.Table.Propose(edit, func(outcome tablestore.Outcome) {
			if outcome.Code != result.OK {
				w.Distribution.failed++
				return
			}
			w.Distribution.Accepted(outcome.Revision, w.Loop.Now())
		})
	})
}

func (w *World) restartNode() { w.pickNode().Restart() }

// replaceServer takes a server away without warning and brings a new one.
func (w *World) replaceServer() {
	living := w.Machines.Living()
	gone := living[w.random.IntN(len(living))]
	w.fleet.Host(gone.Server).Vanish()
	w.Machines.Remove(gone.Server)
	w.replaced++
	w.startServer(fmt.Sprintf("server-new-%05d", w.replaced), zone{name: gone.Zone, region: gone.Region})
}
