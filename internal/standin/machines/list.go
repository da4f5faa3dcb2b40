// Package machines is a stand-in for the platform's machine list. Readers see
// the list as it was some time ago, with one exception: a machine that lives is
// never missing.
package machines

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// ErrOutage means that the list does not answer.
var ErrOutage = errors.New("machine list outage")

// phaseGone is the phase recorded for a machine that is gone.
const phaseGone = "gone"

// Faults that the list shows.
type Faults struct {
	// Lag is how old the list is that readers see.
	Lag time.Duration `json:"lag_nanoseconds"`
	// Outage: readers get no answer.
	Outage bool `json:"outage"`
}

// List holds the machines. It is safe for concurrent use.
type List struct {
	clock clock.Clock
	log   *record.Log
	hooks Hooks

	mutex  sync.Mutex
	faults Faults
	// entries are the machines that readers may still see, in order of server.
	entries []*entry
	version uint64
	// visibleVersion and visible are the reading given last.
	visibleVersion uint64
	visible        []outside.Machine
}

// entry is one machine with the changes that readers do not see yet.
type entry struct {
	machine outside.Machine
	gone    bool
	// pending changes, oldest first.
	pending []change
	shown   outside.Machine
}

// change is a state of a machine and the time from which it was true.
type change struct {
	at      time.Time
	machine outside.Machine
	gone    bool
}

// Hooks are called without a lock when a machine's phase changes, whatever the
// lag, so that its server can be told or ended. Each may be nil.
type Hooks struct {
	// Leaving: the machine will be gone at a time.
	Leaving func(server outside.ServerID, leavesAt time.Time)
	// Gone: the machine was taken away.
	Gone func(server outside.ServerID)
}

// NewList returns an empty list. What happens to the machines is appended to
// the log, which may be nil.
func NewList(listClock clock.Clock, log *record.Log, hooks Hooks) *List {
	if hooks.Leaving == nil {
		hooks.Leaving = func(outside.ServerID, time.Time) {}
	}
	if hooks.Gone == nil {
		hooks.Gone = func(outside.ServerID) {}
	}
	// Later than any version of an earlier process.
	version := uint64(listClock.Now().UnixNano())
	return &List{clock: listClock, log: log, hooks: hooks, version: version}
}

// Add lists a live machine at once, whatever the lag. A machine of the same
// server is replaced.
func (l *List) Add(machine outside.Machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	machine.Phase = outside.MachineLive
	machine.LeavesAt = time.Time{}
	added := &entry{machine: machine, shown: machine}
	index, found := l.find(machine.Server)
	if found {
		l.entries[index] = added
	} else {
		l.entries = slices.Insert(l.entries, index, added)
	}
	l.version++
	l.note(machine, string(machine.Phase))
}

// Reclaim takes a machine away after a warning: it is leaving now and gone
// then. It reports whether the machine was there.
func (l *List) Reclaim(server outside.ServerID, warning time.Duration) bool {
	leavesAt := l.clock.Now().Add(warning)
	if !l.announce(server, leavesAt, warning) {
		return false
	}
	l.hooks.Leaving(server, leavesAt)
	return true
}

func (l *List) announce(server outside.ServerID, leavesAt time.Time, warning time.Duration) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	machine, present := l.livingEntry(server)
	if !present {
		return false
	}
	leaving := machine.machine
	leaving.Phase = outside.MachineLeaving
	leaving.LeavesAt = leavesAt
	l.change(machine, leaving, false)
	l.clock.AfterFunc(warning, func() { l.remove(server, machine) })
	return true
}

// SetPhase makes a machine live or leaving without an end.
func (l *List) SetPhase(server outside.ServerID, phase outside.MachinePhase) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	machine, present := l.livingEntry(server)
	if !present {
		return false
	}
	changed := machine.machine
	changed.Phase = phase
	changed.LeavesAt = time.Time{}
	l.change(machine, changed, false)
	return true
}

// Remove takes a machine away without warning.
func (l *List) Remove(server outside.ServerID) bool {
	l.mutex.Lock()
	machine, present := l.livingEntry(server)
	l.mutex.Unlock()
	if !present {
		return false
	}
	return l.remove(server, machine)
}

// remove ends the machine unless it is gone or replaced already.
func (l *List) remove(server outside.ServerID, expected *entry) bool {
	l.mutex.Lock()
	machine, present := l.livingEntry(server)
	if !present || machine != expected {
		l.mutex.Unlock()
		return false
	}
	l.change(machine, machine.machine, true)
	l.mutex.Unlock()
	l.hooks.Gone(server)
	return true
}

// SetFaults replaces the faults.
func (l *List) SetFaults(faults Faults) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults = faults
}

// Faults returns the faults in force.
func (l *List) Faults() Faults {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.faults
}

func (l *List) find(server outside.ServerID) (index int, found bool) {
	return slices.BinarySearchFunc(l.entries, server, func(e *entry, target outside.ServerID) int {
		switch {
		case e.machine.Server < target:
			return -1
		case e.machine.Server > target:
			return 1
		default:
			return 0
		}
	})
}

// livingEntry returns the entry of a machine that is not gone.
func (l *List) livingEntry(server outside.ServerID) (*entry, bool) {
	index, found := l.find(server)
	if !found || l.entries[index].gone {
		return nil, false
	}
	return l.entries[index], true
}

func (l *List) change(changed *entry, machine outside.Machine, gone bool) {
	changed.machine = machine
	changed.gone = gone
	changed.pending = append(changed.pending, change{at: l.clock.Now(), machine: machine, gone: gone})
	phase := string(machine.Phase)
	if gone {
		phase = phaseGone
	}
	l.note(machine, phase)
}

func (l *List) note(machine outside.Machine, phase string) {
	l.log.Append(record.Event{
		At:       l.clock.Now(),
		Kind:     record.KindMachinePhase,
		Server:   machine.Server,
		Phase:    phase,
		Deadline: machine.LeavesAt,
	})
}
