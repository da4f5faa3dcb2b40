package forward

import "time"

// pauses measure the times between the events of an answer.
type pauses struct {
	last    time.Time
	longest time.Duration
}

// event notes that events came; reads without any don't count.
func (p *pauses) event(came bool, now time.Time) {
	if !came {
		return
	}
	if !p.last.IsZero() {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}
