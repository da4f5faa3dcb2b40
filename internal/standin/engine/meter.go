package engine

import "time"

// loadFigures are a replica's running and queued requests.
type loadFigures struct{ running, queued int }

// loadMeter shows load figures that lag. Between changes it knows the past
// exactly; during fast changes it keeps one sample a lag.
type loadMeter struct {
	lag time.Duration

	current   loadFigures
	changedAt time.Time

	// visible was true at visibleAt; pending becomes visible once it is older
	// than the lag.
	visible, pending     loadFigures
	visibleAt, pendingAt time.Time
}

// change sets the current figures.
func (m *loadMeter) change(now time.Time, figures loadFigures) {
	m.roll(now)
	m.current = figures
	m.changedAt = now
}

// roll makes old figures visible.
func (m *loadMeter) roll(now time.Time) {
	if now.Sub(m.changedAt) >= m.lag {
		m.visible, m.visibleAt = m.current, now.Add(-m.lag)
		m.pending, m.pendingAt = m.current, now
		return
	}
	if now.Sub(m.pendingAt) >= m.lag {
		m.visible, m.visibleAt = m.pending, m.pendingAt
		m.pending, m.pendingAt = m.current, now
	}
}

// read returns the lagging figures and the time at which they were true.
func (m *loadMeter) read(now time.Time) (loadFigures, time.Time) {
	m.roll(now)
	return m.visible, m.visibleAt
}
