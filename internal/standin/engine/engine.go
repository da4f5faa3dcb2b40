package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
)

// Engine is the model of one model-engine server. Safe for concurrent use; on
// a virtual clock with a seeded random source it is deterministic.
type Engine struct {
	mutex  sync.Mutex
	clock  clock.Clock
	random *rand.Rand
	config Config
	faults Faults

	alive bool
	// starts counts the incarnations; timers of an earlier one do nothing.
	starts      int
	incarnation outside.Incarnation
	fence       outside.Fence
	// version grows over incarnations too, so that no reader takes a restarted
	// engine for an unchanged one.
	version  uint64
	role     string
	leaving  bool
	leavesAt time.Time

	// replicas in order of model.
	replicas []*replica
	used     int64
	// loads remembers every attempt of a load in this incarnation.
	loads map[outside.AttemptID]struct{}

	attempts attemptSet
	// running generations by attempt, for KV export.
	generations map[outside.AttemptID]*generation
	imports     []kvImport
	feed        cacheFeed
	// touched generations have deliveries to be made; see exclusive.
	touched []*generation

	disk, host           *weights.Link
	ownRemote            *weights.Link
	remote               weights.Fetcher
	diskCache, hostCache checkpointCache

	usages map[string]*ModelUsage
}

// New starts an engine. Random is used by this engine only.
func New(c clock.Clock, random *rand.Rand, config Config) *Engine {
	config = config.WithDefaults()
	engine := &Engine{
		random: random, config: config,
		// Later than any version of an earlier process of the same server.
		version:   uint64(c.Now().UnixNano()),
		diskCache: checkpointCache{capacity: config.DiskCacheBytes},
		usages:    map[string]*ModelUsage{},
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.start(c)
	return engine
}

// start begins an incarnation with empty memory.
func (e *Engine) start(c clock.Clock) {
	e.clock = c
	e.alive = true
	e.starts++
	e.version++
	e.incarnation = outside.Incarnation(fmt.Sprintf("%s-%d", e.config.BootID, e.starts))
	e.fence = outside.Fence{}
	e.role = e.config.Role
	e.leaving = false
	e.leavesAt = time.Time{}
	e.replicas = nil
	e.used = 0
	e.loads = map[outside.AttemptID]struct{}{}
	e.attempts = attemptSet{}
	e.generations = map[outside.AttemptID]*generation{}
	e.imports = nil
	e.hostCache = checkpointCache{capacity: e.config.HostCacheBytes}
	e.disk = weights.NewLink(c, e.config.DiskBytesPerSecond, 1)
	e.host = weights.NewLink(c, e.config.HostBytesPerSecond, e.config.Accelerators)
	e.remote = e.config.Remote
	if e.remote == nil {
		e.ownRemote = weights.NewLink(c, e.config.RemoteBytesPerSecond, 1)
		e.ownRemote.SetSlowDown(e.faults.LoadSlowDown)
		e.remote = e.ownRemote
	}
	e.disk.SetSlowDown(e.faults.LoadSlowDown)
	e.host.SetSlowDown(e.faults.LoadSlowDown)
	e.log(record.Event{Kind: record.KindProcessStarted})
}

// RestartOptions of Restart.
type RestartOptions struct {
	// Clock of the new incarnation; nil keeps the old.
	Clock clock.Clock
	// KeepDisk keeps the checkpoints on the local disk.
	KeepDisk bool
}

// Kill ends the engine's process: everything in flight vanishes without an
// answer. Sinks that are a Dropper are told.
func (e *Engine) Kill() {
	e.mutex.Lock()
	dropped := e.kill()
	e.mutex.Unlock()
	for _, dropper := range dropped {
		dropper.Dropped()
	}
}

// Restart starts the engine's process again, after a Kill if it still ran:
// with a new incarnation, empty memory and no fence.
func (e *Engine) Restart(options RestartOptions) {
	e.mutex.Lock()
	dropped := e.kill()
	if !options.KeepDisk {
		e.diskCache.clear()
	}
	if options.Clock == nil {
		options.Clock = e.clock
	}
	e.start(options.Clock)
	e.mutex.Unlock()
	for _, dropper := range dropped {
		dropper.Dropped()
	}
}

func (e *Engine) kill() []Dropper {
	if !e.alive {
		return nil
	}
	now := e.clock.Now()
	e.alive = false
	var dropped []Dropper
	for _, replica := range e.replicas {
		replica.stopTimers()
		replica.usage.change(now, usageNone)
		for _, generation := range slices.Concat(replica.running, replica.queue) {
			if dropper := generation.drop(); dropper != nil {
				dropped = append(dropped, dropper)
			}
		}
	}
	e.replicas = nil
	e.used = 0
	e.log(record.Event{Kind: record.KindProcessDied})
	return dropped
}

// Alive reports whether the process runs.
func (e *Engine) Alive() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.alive
}

// Server returns the engine's name.
func (e *Engine) Server() outside.ServerID { return e.config.Server }

// SetLeaving announces that the machine will be reclaimed at deadline (zero:
// not known). The engine goes on serving; whoever reclaims it calls Kill.
func (e *Engine) SetLeaving(deadline time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = true
	e.leavesAt = deadline
	e.version++
	e.log(record.Event{Kind: record.KindMachinePhase, Phase: string(outside.MachineLeaving), Deadline: deadline})
}

// State reads the engine's state, or nil if its version is sinceVersion or the
// engine is dead. Load figures lag by Config.LoadLag.
func (e *Engine) State(sinceVersion uint64) *outside.EngineState {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.alive || (sinceVersion != 0 && sinceVersion == e.version) {
		return nil
	}
	state := e.state()
	return &state
}

func (e *Engine) state() outside.EngineState {
	now := e.clock.Now()
	state := outside.EngineState{
		Server:       e.config.Server,
		Incarnation:  e.incarnation,
		Fence:        e.fence,
		Version:      e.version,
		Accelerators: e.config.Accelerators,
		MemoryBytes:  e.config.MemoryBytes,
		UsedBytes:    e.used,
		Replicas:     make([]outside.ReplicaState, 0, len(e.replicas)),
		Cached:       e.cached(),
		MaxBatch:     e.config.MaxBatch,
		Role:         e.role,
		Leaving:      e.leaving,
		MeasuredAt:   now.Add(-e.config.LoadLag),
	}
	for _, replica := range e.replicas {
		replicaState, measuredAt := replica.state(now)
		state.Replicas = append(state.Replicas, replicaState)
		if measuredAt.Before(state.MeasuredAt) {
			state.MeasuredAt = measuredAt
		}
	}
	return state
}

// after schedules function under the engine's lock, in this incarnation only.
func (e *Engine) after(delay time.Duration, function func()) clock.Timer {
	return e.clock.AfterFunc(delay, e.incarnationFunc(function))
}

// log records an event of this engine.
func (e *Engine) log(event record.Event) {
	if e.config.Record == nil {
		return
	}
	event.At = e.clock.Now()
	event.Server = e.config.Server
	event.Incarnation = e.incarnation
	event.Leaving = e.leaving
	e.config.Record.Append(event)
}

// reserve changes the memory in use and records it.
func (e *Engine) reserve(bytes int64) {
	e.used += bytes
	e.log(record.Event{
		Kind: record.KindMemory, UsedBytes: e.used, CapacityBytes: e.config.MemoryBytes,
		Overcommitted: e.used > e.config.MemoryBytes,
	})
}

// replicaOf returns the model's replica, or nil.
func (e *Engine) replicaOf(model string) *replica {
	position, found := e.position(model)
	if !found {
		return nil
	}
	return e.replicas[position]
}

func (e *Engine) position(model string) (int, bool) {
	return slices.BinarySearchFunc(e.replicas, model, func(replica *replica, model string) int {
		return strings.Compare(replica.model, model)
	})
}

func (e *Engine) addReplica(added *replica) {
	position, found := e.position(added.model)
	if found {
		e.replicas[position] = added
		return
	}
	e.replicas = slices.Insert(e.replicas, position, added)
}

func (e *Engine) removeReplica(removed *replica) {
	position, found := e.position(removed.model)
	if found && e.replicas[position] == removed {
		e.replicas = slices.Delete(e.replicas, position, position+1)
	}
}
