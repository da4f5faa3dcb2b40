package emulator

import (
	"math/rand/v2"
	"time"

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
