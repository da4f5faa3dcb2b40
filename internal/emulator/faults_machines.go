package emulator

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/backend"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
)

func (i *injector) weightsSlow() {
	i.world.Weights.SetSlowDown(2 + 10*i.random.Float64())
	i.after(i.span(10*time.Second, time.Minute), func() { i.world.Weights.SetSlowDown(1) })
}

// engineServer returns a random engine whose machine is still there.
func (i *injector) engineServer() (outside.ServerID, *engine.Host) {
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
