package orders

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/observation"
)

// observedFleet is the load of a benchmark: requests to a fleet, each of which a node observes by the
// server's answer.
type observedFleet struct {
	nodes, servers, models, replicas int
	// requestsPerSecond of all nodes.
	requestsPerSecond int
}

// snapshot has the models at their servers, and three servers without models.
func (f observedFleet) snapshot() *fleet.Snapshot {
	view := fleet.NewView()
	engine := &fleet.Engine{Slots: 24, MemoryMB: 200_000, Models: map[string]*fleet.Model{}}
	records := map[string]*fleet.Server{}
	for i := range f.servers {
		id := fmt.Sprintf("server-%05d", i)
		records[id] = &fleet.Server{ID: id, Pool: "models", Slots: 24, Born: 1_796_000_000_000 + int64(i), Created: 1, Models: map[string]fleet.LoadedModel{}}
	}
	for i := range f.models * f.replicas {
		model := fmt.Sprint("model-", i%f.models)
		records[fmt.Sprintf("server-%05d", (i/f.replicas+i*7)%f.servers)].Models[model] = fleet.LoadedModel{}
		engine.Models[model] = &fleet.Model{Name: model, SizeMB: 70_000}
	}
	for i := range 3 {
		id := fmt.Sprint("small-", i)
		records[id] = &fleet.Server{ID: id, Pool: "small", Slots: 6, Born: 1_796_000_000_000, Created: 1}
	}
	view.SetConfiguration(fleet.NewConfiguration(1, 1, nil, []*fleet.Pool{{Name: "models", Engine: engine}, {Name: "small"}}, fleet.Limits{}))
	view.ReplaceServers(records)
	return view.Load()
}

// countingStream is the gob stream of a connection between two nodes; it counts what it is sent
// after the description of the types.
type countingStream struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	bytes   int
}

func (s *countingStream) send(message any) {
	if s.encoder == nil {
		s.encoder = gob.NewEncoder(&s.buffer)
		_ = s.encoder.Encode(filledMessage(message))
	}
	s.buffer.Reset()
	_ = s.encoder.Encode(message)
	s.bytes += s.buffer.Len()
}

// filledMessage is a message that describes all types.
func filledMessage(message any) any {
	if _, isReport := message.(DemandReport); isReport {
		return DemandReport{Observations: []observation.Observation{{LoadKnown: true}}}
	}
	return Update{Observations: []observation.Observation{{LoadKnown: true}}, Rates: []observation.Rate{{}}}
}

// BenchmarkHolderObservations measures what an order holder spends on observations in a second of
// virtual time: its own work, that of encoding what it sends, and the bytes. 253 requests a second
// at 91 nodes and 60 servers, and 840 at 985 nodes and 10,000 servers.
func BenchmarkHolderObservations(b *testing.B) {
	for _, load := range []observedFleet{
		{nodes: 91, servers: 60, models: 185, replicas: 1, requestsPerSecond: 253},
		{nodes: 985, servers: 10_000, models: 400, replicas: 33, requestsPerSecond: 840},
	} {
		b.Run(fmt.Sprint(load.nodes, " nodes"), func(b *testing.B) { load.run(b) })
	}
}

func (f observedFleet) run(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	snapshot := f.snapshot()
	streams := map[string]*countingStream{}
	holder := holderOf(snapshot, &countingEngines{}, func(address string, update Update) { streams[address].send(update) })
	holder.config.Observations.SetNodes(f.nodes, time.Now())
	term := newTerm(5, time.Now(), time.Now().Add(time.Hour), true)
	holder.term = term
	tables := make([]*observation.Table, f.nodes)
	cursors := make([]observation.Cursor, f.nodes)
	arrived, reported := make([]map[string]uint64, f.nodes), make([]map[string]uint64, f.nodes)
	now := time.Now()
	for node := range f.nodes {
		streams[nodeAddress(node)] = &countingStream{}
		tables[node] = observation.NewTable()
		tables[node].SetNodes(f.nodes, time.Now())
		arrived[node], reported[node] = map[string]uint64{}, map[string]uint64{}
	}
	incoming := &countingStream{}
	var work time.Duration
	sequence := uint64(0)
	// second is a second of virtual time, in steps of 10 ms. Each node reports once in it.
	second := func() {
		for step := range 100 {
			now = now.Add(10 * time.Millisecond)
			for range f.requestsPerSecond / 100 {
				node, model := random.IntN(f.nodes), fmt.Sprint("model-", popular(random, f.models))
				arrived[node][model]++
				servers := snapshot.Holders("models", model)
				server := servers[random.IntN(len(servers))]
				tables[node].RecordLoad(server.Incarnation(), observation.Load{Running: random.IntN(30), Waiting: random.IntN(5), Slots: 24, Slowdown: 1.15}, now)
			}
			var messages []any
			for node := step; node < f.nodes; node += 100 {
				sequence++
				messages = append(messages, f.report(node, sequence, arrived[node], reported[node]))
			}
			for node := range f.nodes {
				if (node+step)%int(observation.UpdatePeriod(f.nodes)/(10*time.Millisecond)) == 0 {
					var unsent []observation.Observation
					unsent, cursors[node] = tables[node].Unsent(cursors[node], true, now)
					if len(unsent) > 0 {
						update := Update{Observations: unsent}
						incoming.send(update)
						messages = append(messages, observationsFrom{nodeAddress(node), unsent})
					}
				}
			}
			for _, message := range messages {
				if report, isReport := message.(DemandReport); isReport {
					// Reports are not part of the measurement.
					holder.demand.add(report, now)
				}
			}
			began := time.Now()
			for _, message := range messages {
				if sent, isSent := message.(observationsFrom); isSent {
					holder.config.Observations.Merge(sent.observations, observation.Origin{Node: sent.address}, now)
				}
			}
			holder.pushReachChanges(term, now)
			holder.pushLoads(term, snapshot, now)
			work += time.Since(began)
		}
	}
	for range 12 {
		second()
	}
	work, incoming.bytes = 0, 0
	for _, stream := range streams {
		stream.bytes = 0
	}
	for b.Loop() {
		second()
	}
	outgoing := 0
	for _, stream := range streams {
		outgoing += stream.bytes
	}
	b.ReportMetric(float64(work.Microseconds())/1000/float64(b.N), "ms-work/s")
	b.ReportMetric(float64(outgoing)/float64(b.N), "sent-B/s")
	b.ReportMetric(float64(incoming.bytes)/float64(b.N), "received-B/s")
	b.ReportMetric(float64(outgoing+incoming.bytes)/float64(b.N)/float64(f.nodes), "B/s-per-node")
}

// observationsFrom are the observations that a node sent.
type observationsFrom struct {
	address      string
	observations []observation.Observation
}

// report is a node's demand report.
func (f observedFleet) report(node int, sequence uint64, arrived, reported map[string]uint64) DemandReport {
	report := DemandReport{Node: fmt.Sprint("n", node), Address: nodeAddress(node), Sequence: sequence, Started: 1}
	for model, count := range arrived {
		if count != reported[model] {
			report.Rows = append(report.Rows, DemandRow{Pool: "models", Model: model, Arrived: count})
			reported[model] = count
		}
	}
	return report
}

func nodeAddress(node int) string { return fmt.Sprint("n", node, ":1") }

// popular picks a model: 20 get half of the requests.
func popular(random *rand.Rand, models int) int {
	if random.IntN(2) == 0 {
		return random.IntN(20)
	}
	return random.IntN(models)
}
