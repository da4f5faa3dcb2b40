package emulator

import (
	"time"
)

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
