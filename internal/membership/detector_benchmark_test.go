package membership_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

// The conditions of BenchmarkDetectors.
const (
	benchmarkZones         = 19
	benchmarkLoss          = 0.05
	benchmarkSteadyState   = 20 * time.Minute
	benchmarkCrashes       = 20
	benchmarkCrashInterval = 30 * time.Second
	benchmarkOutage        = time.Hour
	benchmarkRecovery      = 2 * time.Minute
	benchmarkObservers     = 12
	// sampledSizes is the number of messages of each type that are encoded to
	// measure their size.
	sampledSizes = 20
)

// BenchmarkDetectors runs members without cells on virtual time, with 5% of the
// messages between members lost and one member paused, and reports the cost of
// failure detection. With lossyService, 5% of the requests, replies and watch events
// of the key-value service are lost as well:
//
//	go test ./internal/membership -run '^$' -bench Detectors -benchtime 1x -timeout 30m
func BenchmarkDetectors(b *testing.B) {
	for _, nodes := range []int{10, 38, 95, 209, 418, 840} {
		benchmarkBothDetectors(b, nodes, false)
	}
	benchmarkBothDetectors(b, 95, true)
}

func benchmarkBothDetectors(b *testing.B, nodes int, lossyService bool) {
	for _, heartbeat := range []bool{false, true} {
		b.Run(fmt.Sprintf("nodes=%d/heartbeat=%v/lossyService=%v", nodes, heartbeat, lossyService), func(b *testing.B) {
			for range b.N {
				measureDetector(b, newDetectorTrial(heartbeat, nodes, lossyService))
			}
		})
	}
}

// detectorTrial is one benchmark run on a cluster of members without cells.
type detectorTrial struct {
	*cluster
	names     []string
	observers []string
	paused    string
	// killedAt is when a member was killed; detection times are measured from it.
	killedAt map[string]time.Time
	// startedAt is when a member was last started. A removal shortly after that is
	// the late removal of the previous incarnation, not a false positive.
	startedAt      map[string]time.Time
	detections     []time.Duration
	falsePositives map[string]bool
	messages       int
	bytes          float64
	sizes          map[reflect.Type][]int
}

func measureDetector(b *testing.B, t *detectorTrial) {
	t.loop.RunFor(3 * time.Minute)
	t.measureSteadyState(b)
	t.measureCrashes(b)
	t.measureZoneFailure(b)
	t.measureStoreOutage(b)
	b.ReportMetric(0, "ns/op")
}

func newDetectorTrial(heartbeat bool, nodes int, lossyService bool) *detectorTrial {
	t := &detectorTrial{
		cluster: newCluster(1, 0), killedAt: map[string]time.Time{}, startedAt: map[string]time.Time{}, falsePositives: map[string]bool{},
		sizes: map[reflect.Type][]int{},
	}
	t.heartbeat = heartbeat
	t.zoneOf = func(name string) string { return name[:6] }
	t.network.ConditionsOf = func(from, to string) simulation.Conditions {
		conditions := simulation.Conditions{Delay: 1500 * time.Microsecond, Jitter: time.Millisecond}
		if lossyService || (from != "kv" && to != "kv") {
			conditions.Loss = benchmarkLoss
		}
		return conditions
	}
	for index := range nodes {
		t.names = append(t.names, fmt.Sprintf("zone%02d-node%03d", index%benchmarkZones, index))
	}
	random := rand.New(rand.NewPCG(1, 2))
	order := random.Perm(nodes)
	t.paused = t.names[order[0]]
	for _, index := range order[1:min(nodes, benchmarkObservers+1)] {
		t.observers = append(t.observers, t.names[index])
	}
	for _, name := range t.names {
		t.loop.AfterFunc(time.Duration(random.Int64N(int64(30*time.Second))), func() { t.startMember(name) })
	}
	return t
}

func (t *detectorTrial) startMember(name string) {
	delete(t.killedAt, name)
	t.startedAt[name] = t.loop.Now()
	n := &node{process: simulation.NewProcess(t.loop, name)}
	t.nodes[name] = n
	n.meter = membership.NewMeter(keyvalue.NewSimulated(t.network, t.server, n.process, t.store))
	self := membership.Member{
		Name: name, Incarnation: fmt.Sprint(t.loop.Executed()), Zone: t.zoneOf(name), Region: "region",
		PeerAddress: name, CallerAddress: name,
	}
	n.registry = membership.NewRegistry(self, t.countingDetector(n))
	if slices.Contains(t.observers, name) {
		n.registry.Subscribe(t.observer())
	}
	n.registry.Start()
}

// countingDetector returns the cluster's detector on a transport that counts
// messages.
func (t *detectorTrial) countingDetector(n *node) membership.Detector {
	if !t.heartbeat {
		return t.detector(n)
	}
	transport := &countingTransport{Transport: t.peers.Transport(n.process), trial: t}
	options := membership.DefaultHeartbeatOptions(time.Second)
	return membership.NewHeartbeatDetector(n.meter, transport, n.process, t.loop.Fork(), options, zerolog.Nop())
}

// observer returns a subscriber that reports each removal to the trial.
func (t *detectorTrial) observer() func([]membership.Member) {
	known := map[string]bool{}
	return func(members []membership.Member) {
		present := make(map[string]bool, len(members))
		for _, member := range members {
			present[member.Name] = true
		}
		for name := range known {
			if !present[name] {
				t.removed(name)
			}
		}
		known = present
	}
}

func (t *detectorTrial) removed(name string) {
	if killedAt, killed := t.killedAt[name]; killed {
		t.detections = append(t.detections, t.loop.Now().Sub(killedAt))
		return
	}
	if !t.nodes[name].process.Paused() && t.loop.Now().Sub(t.startedAt[name]) > benchmarkCrashInterval {
		t.falsePositives[name+t.loop.Now().Truncate(10*time.Second).String()] = true
	}
}

func (t *detectorTrial) kill(name string) {
	t.killedAt[name] = t.loop.Now()
	t.nodes[name].process.Kill()
}

func (t *detectorTrial) measureSteadyState(b *testing.B) {
	t.nodes[t.paused].process.Pause()
	t.loop.RunFor(time.Minute)
	operations := t.store.Counters().Total()
	t.messages, t.bytes = 0, 0
	t.loop.RunFor(benchmarkSteadyState)
	perNode := benchmarkSteadyState.Seconds() * float64(len(t.names))
	b.ReportMetric(float64(t.messages)/perNode, "messages/s/node")
	b.ReportMetric(t.bytes/perNode, "bytes/s/node")
	b.ReportMetric(float64(t.store.Counters().Total()-operations)/benchmarkSteadyState.Seconds(), "kv/s")
}

func (t *detectorTrial) measureCrashes(b *testing.B) {
	victims := slices.DeleteFunc(slices.Clone(t.names), func(name string) bool {
		return name == t.paused || slices.Contains(t.observers, name)
	})
	if len(victims) == 0 {
		t.observers = t.observers[:len(t.observers)/2]
		victims = t.names[len(t.names)/2:]
	}
	victims = slices.DeleteFunc(victims, func(name string) bool { return name == t.paused })
	t.detections = nil
	for index := range benchmarkCrashes {
		victim := victims[index*7%len(victims)]
		t.kill(victim)
		t.loop.RunFor(benchmarkCrashInterval)
		t.startMember(victim)
		t.loop.RunFor(benchmarkCrashInterval)
	}
	slices.Sort(t.detections)
	if len(t.detections) > 0 {
		b.ReportMetric(t.detections[len(t.detections)/2].Seconds(), "s-detection-p50")
		b.ReportMetric(t.detections[len(t.detections)*99/100].Seconds(), "s-detection-p99")
	}
	hours := (benchmarkSteadyState + 2*benchmarkCrashes*benchmarkCrashInterval).Hours()
	b.ReportMetric(float64(len(t.falsePositives))/hours, "false/h")
}

func (t *detectorTrial) measureZoneFailure(b *testing.B) {
	t.detections = nil
	zone := t.zoneOf(t.observers[0])
	for _, name := range t.names {
		if t.zoneOf(name) == zone && name != t.paused {
			t.kill(name)
		}
	}
	peak, total := t.operations(benchmarkRecovery)
	b.ReportMetric(peak, "kv/s-zone-peak")
	b.ReportMetric(total, "kv-zone")
	if len(t.detections) > 0 {
		b.ReportMetric(slices.Max(t.detections).Seconds(), "s-zone-last")
	}
}

func (t *detectorTrial) measureStoreOutage(b *testing.B) {
	t.falsePositives = map[string]bool{}
	t.store.SetFaults(keyvalue.Faults{Outage: true})
	_, refused := t.operations(benchmarkOutage)
	t.store.SetFaults(keyvalue.Faults{})
	peak, total := t.operations(benchmarkRecovery)
	b.ReportMetric(refused/benchmarkOutage.Seconds(), "kv/s-outage")
	b.ReportMetric(peak, "kv/s-after-peak")
	b.ReportMetric(total, "kv-after")
	b.ReportMetric(float64(len(t.falsePositives)), "false-outage")
}

// operations runs for a span and returns the maximum number of key-value operations
// requested in a second, and the total.
func (t *detectorTrial) operations(span time.Duration) (peak, total float64) {
	requested := func() float64 {
		sum := uint64(0)
		for _, n := range t.nodes {
			sum += n.meter.Counts().Total()
		}
		return float64(sum)
	}
	begin := requested()
	before := begin
	for range int(span / time.Second) {
		t.loop.RunFor(time.Second)
		now := requested()
		peak = max(peak, now-before)
		before = now
	}
	return peak, before - begin
}

// countingTransport counts messages and their encoded bytes, each once as sent and
// once as received.
type countingTransport struct {
	peer.Transport
	trial *detectorTrial
}

func (c *countingTransport) Call(address string, message peer.Message, timeout time.Duration, done func(peer.Message, error)) {
	c.trial.count(message)
	c.Transport.Call(address, message, timeout, done)
}

func (c *countingTransport) Handle(prototype peer.Message, handler peer.Handler) {
	c.Transport.Handle(prototype, func(from string, message peer.Message, reply func(peer.Message, error)) {
		handler(from, message, func(answer peer.Message, err error) {
			c.trial.count(membership.ProbeReply{})
			reply(answer, err)
		})
	})
}

func (t *detectorTrial) count(message peer.Message) {
	kind := reflect.TypeOf(message)
	if len(t.sizes[kind]) < sampledSizes {
		t.sizes[kind] = append(t.sizes[kind], simulation.EncodedSize(message))
	}
	t.messages += 2
	t.bytes += 2 * float64(t.sizes[kind][t.messages%len(t.sizes[kind])])
}
