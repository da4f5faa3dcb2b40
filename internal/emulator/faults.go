package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/hatchplank/hatchplank/internal/platform"
	"github.com/hatchplank/hatchplank/internal/standin/backend"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

// Fault is one kind of failure that can be injected. Inject begins it and
// arranges its end.
type Fault struct {
	Name   string
	Inject func(*injector)
}

// Faults lists every kind of failure, in a fixed order.
var Faults = []Fault{
	{"node_killed", (*injector).killNode},
	{"node_stopped", (*injector).stopNode},
	{"node_paused", (*injector).pauseNode},
	{"node_clock_drift", (*injector).driftNode},
	{"key_value_outage", (*injector).keyValueOutage},
	{"key_value_slow", (*injector).keyValueSlow},
	{"key_value_lost_replies", (*injector).keyValueLostReplies},
	{"key_value_rate_limit", (*injector).keyValueRateLimit},
	{"key_value_watch_gaps", (*injector).keyValueWatchGaps},
	{"weight_store_slow", (*injector).weightsSlow},
	{"machine_reclaimed_warned", (*injector).reclaimWarned},
	{"machine_reclaimed_unwarned", (*injector).reclaimUnwarned},
	{"back_end_reclaimed", (*injector).reclaimBackEnd},
	{"machine_list_lag", (*injector).machineListLag},
	{"engine_killed", (*injector).killEngine},
	{"engine_paused", (*injector).pauseEngine},
	{"engine_faulty", (*injector).faultyEngine},
	{"back_end_faulty", (*injector).faultyBackEnd},
	{"back_end_killed", (*injector).killBackEnd},
	{"zone_partition", (*injector).partition},
	{"messages_lost", (*injector).loseMessages},
	{"messages_duplicated", (*injector).duplicateMessages},
	{"messages_late", (*injector).delayMessages},
	{"answers_misrouted", (*injector).misrouteAnswers},
	{"operators_race", (*injector).race},
}

// maxMachineListLag is the largest lag that the schedule sets.
const maxMachineListLag = 8 * time.Second

// pairShare of the faults come together with another one at the same moment.
const pairShare = 0.25

// injector draws and injects faults into a world.
type injector struct {
	world  *World
	random *rand.Rand
	// injected counts by fault.
	injected map[string]int
	// keyValueFaults in force; several kinds may overlap.
	keyValueFaults keyvalue.Faults
	// outages of the key-value service so far; a newer one outlasts the older.
	outages int
	// spare machines brought so far.
	spare int
}

// StartFaults injects random faults until a time, with a mean pause between
// them, and returns the counter of what was injected.
func (w *World) StartFaults(meanPause time.Duration, until time.Time) map[string]int {
	i := &injector{world: w, random: w.Loop.Fork(), injected: map[string]int{}}
	i.schedule(meanPause, until)
	return i.injected
}

func (i *injector) schedule(meanPause time.Duration, until time.Time) {
	pause := time.Duration(i.random.ExpFloat64() * float64(meanPause))
	i.world.Loop.AfterFunc(pause, func() {
		if i.world.Loop.Now().After(until) {
			return
		}
		i.injectOne()
		if i.random.Float64() < pairShare {
			i.injectOne()
		}
		i.schedule(meanPause, until)
	})
}

func (i *injector) injectOne() {
	fault := Faults[i.random.IntN(len(Faults))]
	i.injected[fault.Name]++
	i.world.trace.addText(fault.Name)
	fault.Inject(i)
}

// span draws a duration between two bounds.
func (i *injector) span(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(i.random.Int64N(int64(longest-shortest)))
}

func (i *injector) after(delay time.Duration, function func()) {
	i.world.Loop.AfterFunc(delay, function)
}

func (i *injector) node() *SimulatedNode { return i.world.pickNode() }

// living counts the nodes that serve.
func (i *injector) living() int { return len(i.world.livingNodes()) }

// minimumLiving nodes are left alone by kills and stops.
const minimumLiving = 2

func (i *injector) killNode() {
	n := i.node()
	if n == nil || i.living() <= minimumLiving {
		return
	}
	n.Kill()
	i.after(i.span(2*time.Second, 30*time.Second), func() { i.restart(n) })
}

// restart starts a node's next process, once the one before has ended.
func (i *injector) restart(n *SimulatedNode) {
	switch {
	case n.down:
		n.Start()
	case n.stopping:
		i.after(i.span(time.Second, 10*time.Second), func() { i.restart(n) })
	}
}

func (i *injector) stopNode() {
	n := i.node()
	if n == nil || i.living() <= minimumLiving {
		return
	}
	n.Stop()
	i.after(i.span(90*time.Second, 120*time.Second), func() { i.restart(n) })
}

func (i *injector) pauseNode() {
	n := i.node()
	if n == nil {
		return
	}
	i.world.pause(n.identity(), n.Process, i.span(time.Second, 40*time.Second))
}

// driftNode lets the next incarnations' clock run apart by up to 0.02 percent
// and half a minute. A running process keeps its clock.
func (i *injector) driftNode() {
	n := i.node()
	if n == nil || i.living() <= minimumLiving {
		return
	}
	n.driftRate = (i.random.Float64() - 0.5) * 4e-4
	n.driftOffset = i.span(-30*time.Second, 30*time.Second)
	n.Kill()
	i.after(i.span(time.Second, 5*time.Second), func() { i.restart(n) })
}

func (i *injector) setKeyValue(change func(*keyvalue.Faults)) {
	change(&i.keyValueFaults)
	i.world.KeyValue.SetFaults(i.keyValueFaults)
}

func (i *injector) keyValueOutage() {
	i.setKeyValue(func(f *keyvalue.Faults) { f.Outage = true })
	i.outages++
	begun := i.outages
	span := i.span(2*time.Second, 30*time.Second)
	if i.random.Float64() < longOutageShare {
		span = i.span(time.Minute, 5*time.Minute)
	}
	i.after(span, func() {
		if begun == i.outages {
			i.setKeyValue(func(f *keyvalue.Faults) { f.Outage = false })
		}
	})
}

// longOutageShare of the key-value service's outages last minutes. Most are
// short, so that the nodes take over from each other between them.
const longOutageShare = 0.15

func (i *injector) keyValueSlow() {
	delay := i.span(50*time.Millisecond, 1500*time.Millisecond)
	i.setKeyValue(func(f *keyvalue.Faults) { f.Delay = delay })
	i.after(i.span(5*time.Second, time.Minute), func() {
		i.setKeyValue(func(f *keyvalue.Faults) { f.Delay = 0 })
	})
}

func (i *injector) keyValueLostReplies() {
	share := 0.1 + 0.6*i.random.Float64()
	i.setKeyValue(func(f *keyvalue.Faults) { f.LostReplies = share })
	i.after(i.span(5*time.Second, time.Minute), func() {
		i.setKeyValue(func(f *keyvalue.Faults) { f.LostReplies = 0 })
	})
}

func (i *injector) keyValueRateLimit() {
	i.setKeyValue(func(f *keyvalue.Faults) { f.OperationsPerSecond = 20 })
	i.after(i.span(5*time.Second, time.Minute), func() {
		i.setKeyValue(func(f *keyvalue.Faults) { f.OperationsPerSecond = 0 })
	})
}

func (i *injector) keyValueWatchGaps() {
	i.setKeyValue(func(f *keyvalue.Faults) {
		f.WatchGaps = 0.3
		f.WatchGapDelay = time.Second
	})
	i.after(i.span(5*time.Second, time.Minute), func() {
		i.setKeyValue(func(f *keyvalue.Faults) { f.WatchGaps = 0 })
	})
}

func (i *injector) weightsSlow() {
	i.world.Weights.SetSlowDown(2 + 10*i.random.Float64())
	i.after(i.span(10*time.Second, time.Minute), func() { i.world.Weights.SetSlowDown(1) })
}

// engineServer returns a random engine whose machine is still there.
func (i *injector) engineServer() (platform.ServerID, *engine.Host) {
	servers := i.world.EngineServers
	server := servers[i.random.IntN(len(servers))]
	return server, i.world.Fleet.Host(server)
}

// minimumEngines are left alone by reclaims.
const minimumEngines = 6

func (i *injector) reclaim(warning time.Duration) {
	if len(i.world.EngineServers) <= minimumEngines {
		return
	}
	server, _ := i.engineServer()
	zone := i.world.zoneOf(string(server))
	i.world.removeEngine(server)
	if !i.world.Machines.Reclaim(server, warning) {
		return
	}
	i.spare++
	number := i.spare
	i.after(i.span(5*time.Second, time.Minute), func() { i.world.replaceEngine(number, zone) })
}

func (i *injector) reclaimWarned()   { i.reclaim(i.span(10*time.Second, 2*time.Minute)) }
func (i *injector) reclaimUnwarned() { i.reclaim(0) }

// minimumBackEnds are left alone by reclaims.
const minimumBackEnds = 2

func (i *injector) reclaimBackEnd() {
	servers := i.world.BackEndServers
	if len(servers) <= minimumBackEnds {
		return
	}
	server := servers[i.random.IntN(len(servers))]
	zone := i.world.zoneOf(string(server))
	i.world.removeBackEnd(server)
	if !i.world.Machines.Reclaim(server, i.span(10*time.Second, time.Minute)) {
		return
	}
	i.spare++
	number := i.spare
	i.after(i.span(5*time.Second, time.Minute), func() { i.world.replaceBackEnd(number, zone) })
}

func (i *injector) machineListLag() {
	i.world.setMachineListLag(i.span(time.Second, maxMachineListLag))
	i.after(i.span(20*time.Second, 2*time.Minute), func() { i.world.setMachineListLag(0) })
}

func (i *injector) killEngine() {
	_, host := i.engineServer()
	if host.Process.Killed() {
		return
	}
	host.Kill()
	keepDisk := i.random.IntN(2) == 0
	i.after(i.span(time.Second, 30*time.Second), func() { host.Restart(keepDisk) })
}

func (i *injector) pauseEngine() {
	_, host := i.engineServer()
	if !host.Process.Paused() && !host.Process.Killed() {
		i.world.pause(host.Process.Name, host.Process, i.span(time.Second, 30*time.Second))
	}
}

func (i *injector) faultyEngine() {
	_, host := i.engineServer()
	host.Engine.SetFaults(engine.Faults{
		SlowDown: 1 + 3*i.random.Float64(), LoadSlowDown: 1 + 3*i.random.Float64(),
		LoadFailure: 0.3, TruncateStream: 0.1, DropAnswer: 0.05, DuplicateChunk: 0.1,
		Refuse: 0.1, LoseOrderReply: 0.3, Hang: i.random.IntN(4) == 0,
	})
	i.after(i.span(5*time.Second, time.Minute), func() { host.Engine.SetFaults(engine.Faults{}) })
}

func (i *injector) backEndServer() *backEndHost {
	servers := i.world.BackEndServers
	if len(servers) == 0 {
		return nil
	}
	return i.world.BackEnds[servers[i.random.IntN(len(servers))]]
}

func (i *injector) faultyBackEnd() {
	host := i.backEndServer()
	if host == nil {
		return
	}
	host.server.SetFaults(backend.Faults{
		SlowFactor: 1 + 20*i.random.Float64(), RefuseShare: 0.2, LoseAnswerShare: 0.2, HangShare: 0.05,
	})
	i.after(i.span(5*time.Second, time.Minute), func() { host.server.SetFaults(backend.Faults{}) })
}

func (i *injector) killBackEnd() {
	host := i.backEndServer()
	if host == nil {
		return
	}
	host.server.Kill()
	i.after(i.span(time.Second, 20*time.Second), host.server.Restart)
}

func (i *injector) partition() {
	zones := i.world.Options.Deployment.Zones
	zone := zones[i.random.IntN(len(zones))]
	i.world.cutZone(zone)
	i.after(i.span(5*time.Second, time.Minute), func() {
		if i.world.Faults.CutZone == zone {
			i.world.cutZone("")
		}
	})
}

func (i *injector) loseMessages() {
	i.world.Faults.Loss = 0.02 + 0.1*i.random.Float64()
	i.after(i.span(5*time.Second, time.Minute), func() { i.world.Faults.Loss = 0 })
}

func (i *injector) duplicateMessages() {
	i.world.Faults.Duplication = 0.02 + 0.1*i.random.Float64()
	i.after(i.span(5*time.Second, time.Minute), func() { i.world.Faults.Duplication = 0 })
}

func (i *injector) delayMessages() {
	i.world.setLateness(0.02+0.1*i.random.Float64(), i.span(100*time.Millisecond, 5*time.Second))
	i.after(i.span(5*time.Second, time.Minute), func() { i.world.setLateness(0, 0) })
}

// misrouteAnswers lets pieces of answers reach other requests as well, as from
// a connection that is used again too early.
func (i *injector) misrouteAnswers() {
	i.world.Faults.Misrouted = 0.02 + 0.2*i.random.Float64()
	i.after(i.span(5*time.Second, time.Minute), func() { i.world.Faults.Misrouted = 0 })
}

func (i *injector) race() { i.world.EditRace() }
