package emulator

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

func (i *injector) setKeyValue(change func(*keyvalue.Faults)) {
	change(&i.keyValueFaults)
	i.world.KeyValue.SetFaults(i.keyValueFaults)
}

// setOutage begins or ends an outage; one that goes on already is left alone.
func (i *injector) setOutage(out bool) {
	if i.keyValueFaults.Outage == out {
		return
	}
	i.setKeyValue(func(f *keyvalue.Faults) { f.Outage = out })
	if out {
		i.world.Checker.KeyValueUnavailable(i.world.Loop.Now())
		return
	}
	i.world.Checker.KeyValueRestored(i.world.Loop.Now())
}

func (i *injector) keyValueOutage() {
	i.setOutage(true)
	i.outages++
	begun := i.outages
	span := i.span(2*time.Second, 30*time.Second)
	if i.random.Float64() < longOutageShare {
		span = i.span(time.Minute, 5*time.Minute)
	}
	i.after(span, func() {
		if begun == i.outages {
			i.setOutage(false)
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
