package forward

import "time"

// eventGaps measures the time between the events of a response.
type eventGaps struct {
	last    time.Time
	longest time.Duration
}

// record notes the time of a read; one that returned no events doesn't count.
func (g *eventGaps) record(hasEvents bool, now time.Time) {
	if !hasEvents {
		return
	}
	if !g.last.IsZero() {
		g.longest = max(g.longest, now.Sub(g.last))
	}
	g.last = now
}
