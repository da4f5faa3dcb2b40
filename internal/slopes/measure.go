package slopes

import (
	"runtime"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// Cost is what one role, or all together, costs one node.
type Cost struct {
	BytesPerSecond    float64
	MessagesPerSecond float64
	CorePercent       float64
	MegaBytes         float64
	// KeyValuePerSecond are operations of one node at the key-value service.
	KeyValuePerSecond float64
}

func (c *Cost) add(other Cost) {
	c.BytesPerSecond += other.BytesPerSecond
	c.MessagesPerSecond += other.MessagesPerSecond
	c.CorePercent += other.CorePercent
	c.MegaBytes += other.MegaBytes
	c.KeyValuePerSecond += other.KeyValuePerSecond
}

// Limits on a node's control work.
var Limits = Cost{BytesPerSecond: 5_000, CorePercent: 1.6, MegaBytes: 128}

// Measurement is one run of a World.
type Measurement struct {
	Size   Size
	Seed   uint64
	Window time.Duration
	// Costs of one node by role; without the data path.
	Costs map[Role]Cost
	Kinds []KindCounts
	// Delays of the table's revisions.
	Delays Delays
	// Requests sent, served and refused in the whole run.
	Sent, Served, Refused int
	// HeapMegaBytes of the whole process, and Elapsed real time of the run.
	HeapMegaBytes float64
	Elapsed       time.Duration
	// DataCorePercent and DataMegaBytes of the data path.
	DataCorePercent, DataMegaBytes float64
	// KeyValueCounted operations were seen by the meter in the window and
	// KeyValueServed by the service.
	KeyValueCounted, KeyValueServed float64
	// PeerCounted messages between nodes were seen by the meter, with
	// PeerBytes, and PeerObserved with PeerBytesObserved by the simulated peer
	// network if it was asked to count.
	PeerCounted, PeerObserved    uint64
	PeerBytes, PeerBytesObserved float64
}

// Total sums the roles.
func (m *Measurement) Total() Cost {
	total := Cost{}
	for _, role := range Roles {
		total.add(m.Costs[role])
	}
	return total
}

// Plan of one measurement: how much virtual time passes.
type Plan struct {
	// Settle before the requests begin, Warm before the window, Window counted.
	Settle, Warm, Window time.Duration
	// Verify also counts in the simulated network, where each message is
	// encoded, which is slow.
	Verify bool
}

// Measure runs a World of a size.
func Measure(size Size, seed uint64, plan Plan) (*Measurement, error) {
	startedAt := time.Now()
	runtime.GC()
	world := NewWorld(size, seed)
	world.Loop.RunFor(time.Second)
	world.ImportTable()
	world.Loop.RunFor(plan.Settle)
	world.StartTraffic()
	world.StartChanges()
	world.Loop.RunFor(plan.Warm)
	m := &Measurement{Size: size, Seed: seed, Window: plan.Window}
	if plan.Verify {
		world.peers.OnMessage = func(_, _ string, _ peer.Message, size int) {
			m.PeerObserved++
			m.PeerBytesObserved += float64(size)
		}
	}
	if err := m.measure(world); err != nil {
		return nil, err
	}
	m.Elapsed = time.Since(startedAt)
	return m, nil
}

func (m *Measurement) measure(world *World) error {
	from := world.Loop.Now()
	servedBefore := world.KeyValue.Counters().Total()
	world.Meter.Start()
	times, err := cpuByRole(func() { world.Loop.RunFor(m.Window) })
	if err != nil {
		return err
	}
	world.Meter.Stop()
	m.PeerCounted, m.PeerBytes = world.Meter.peerMessages, world.Meter.peerBytes
	m.KeyValueServed = float64(world.KeyValue.Counters().Total() - servedBefore)
	heap, total, err := heapByRole()
	if err != nil {
		return err
	}
	m.HeapMegaBytes = total / megaByte
	shareCollector(times)
	m.costs(world, times, heap)
	m.Kinds = world.Meter.Kinds()
	m.Delays = world.Distribution.Delays(from, world.Loop.Now().Add(-delaysMargin))
	m.Sent, m.Served, m.Refused = world.requests.sent, world.requests.served, world.requests.refused
	runtime.KeepAlive(world)
	return nil
}

// delaysMargin: revisions accepted so shortly before the end are left out.
const delaysMargin = 5 * time.Second

const megaByte = 1e6

// costs divides what was counted by nodes and seconds.
func (m *Measurement) costs(world *World, times map[Role]time.Duration, heap map[Role]float64) {
	nodes, seconds := float64(m.Size.Nodes), m.Window.Seconds()
	byRole := world.Meter.ByRole()
	m.Costs = make(map[Role]Cost, len(Roles))
	for _, role := range Roles {
		counts := byRole[role]
		m.KeyValueCounted += counts.KeyValueOperations
		m.Costs[role] = Cost{
			BytesPerSecond:    counts.Bytes / nodes / seconds,
			MessagesPerSecond: counts.Messages / nodes / seconds,
			CorePercent:       100 * (times[role] + counts.Codec).Seconds() / nodes / seconds,
			MegaBytes:         heap[role] / megaByte / nodes,
			KeyValuePerSecond: counts.KeyValueOperations / nodes / seconds,
		}
	}
	m.DataCorePercent = 100 * times[RoleData].Seconds() / nodes / seconds
	m.DataMegaBytes = heap[RoleData] / megaByte / nodes
}
