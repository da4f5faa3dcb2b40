package emulator

import (
	"time"
)

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
