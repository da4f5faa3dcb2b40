package applier_test

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/simulation"
)

// gateway reports demand every half second and stores the endpoints that it is sent.
type gateway struct {
	cluster   *cluster
	process   *simulation.Process
	transport *simulation.PeerTransport
	owner     string
	// otherOwner is sent the same reports, like those of gateways with another view of ownership.
	otherOwner string
	sequence   uint64
	waiting    map[string]int
	endpoints  map[string]directory.RowEndpoints
	// reportsDigests: reports include the digests of cached endpoints.
	reportsDigests bool
	// rowsReceived counts the rows of the updates received.
	rowsReceived int
}

func newGateway(c *cluster) *gateway {
	g := &gateway{
		cluster: c, process: simulation.NewProcess(c.loop, "gateway"),
		waiting: map[string]int{}, endpoints: map[string]directory.RowEndpoints{},
	}
	g.transport = c.peers.Transport(g.process)
	g.transport.Handle(directory.EndpointUpdate{}, func(_ string, message peer.Message, reply func(peer.Message, error)) {
		g.receive(message)
		reply(nil, nil)
	})
	clock.Repeat(g.process, 500*time.Millisecond, g.report)
	return g
}

func (g *gateway) member() membership.Member {
	return membership.Member{Name: "gateway", Incarnation: "1", PeerAddress: "gateway"}
}

func (g *gateway) receive(message peer.Message) {
	if update, ok := message.(directory.EndpointUpdate); ok {
		for _, row := range update.Rows {
			g.endpoints[row.Model] = row
			g.rowsReceived++
		}
	}
}

// setWaiting sets the number of requests waiting for a row, and reports it.
func (g *gateway) setWaiting(row string, requests int) {
	g.waiting[row] = requests
	g.report()
}

func (g *gateway) report() {
	now := g.process.Now()
	g.sequence++
	report := directory.DemandReport{Cell: cellName, Gateway: g.member().ID(), PeerAddress: "gateway", Sequence: g.sequence}
	for _, row := range g.cluster.rows {
		if requests := g.waiting[row.Name]; requests > 0 {
			report.Demands = append(report.Demands, directory.Demand{
				Row: row.Name, Waiting: requests, OldestWait: now, EarliestDeadline: now.Add(time.Minute),
			})
		}
	}
	for _, demand := range report.Demands {
		if g.reportsDigests {
			report.Known = append(report.Known, directory.CachedRow{Model: demand.Row, Digest: g.endpoints[demand.Row].Digest})
		}
	}
	if g.owner == "" || len(report.Demands) == 0 {
		return
	}
	g.transport.Call(g.owner, report, time.Second, func(message peer.Message, _ error) { g.receive(message) })
	if g.otherOwner != "" && g.otherOwner != g.owner {
		g.transport.Call(g.otherOwner, report, time.Second, func(peer.Message, error) {})
	}
}
