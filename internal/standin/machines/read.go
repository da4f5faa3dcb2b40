package machines

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Read returns the list as readers see it now, or nil if its version is the one
// given. The listing must not be changed.
func (l *List) Read(sinceVersion uint64) (*outside.MachineListing, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.faults.Outage {
		return nil, ErrOutage
	}
	l.showUntil(l.clock.Now().Add(-l.faults.Lag))
	l.refreshVisible()
	if sinceVersion != 0 && sinceVersion == l.version {
		return nil, nil
	}
	return &outside.MachineListing{Version: l.version, Machines: l.visible}, nil
}

// showUntil shows the changes made up to a time.
func (l *List) showUntil(limit time.Time) {
	for _, machine := range l.entries {
		if machine.show(limit) {
			l.version++
		}
	}
	l.entries = slices.DeleteFunc(l.entries, func(e *entry) bool {
		return e.gone && len(e.pending) == 0
	})
}

// show reports whether what readers see of the machine changed.
func (e *entry) show(limit time.Time) bool {
	shown := false
	for len(e.pending) > 0 && !e.pending[0].at.After(limit) {
		e.shown = e.pending[0].machine
		e.pending = e.pending[1:]
		shown = true
	}
	return shown
}

func (l *List) refreshVisible() {
	if l.visible != nil && l.visibleVersion == l.version {
		return
	}
	l.visible = make([]outside.Machine, 0, len(l.entries))
	for _, machine := range l.entries {
		l.visible = append(l.visible, machine.shown)
	}
	l.visibleVersion = l.version
}

// Living returns the machines that are not gone, as they are now and without
// lag, in order of server.
func (l *List) Living() []outside.Machine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	living := make([]outside.Machine, 0, len(l.entries))
	for _, machine := range l.entries {
		if !machine.gone {
			living = append(living, machine.machine)
		}
	}
	return living
}
