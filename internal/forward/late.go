package forward

// Lateness says how an answer missed its objectives.
type Lateness string

// The ways.
const (
	// OnTime: it did not.
	OnTime Lateness = ""
	// LateStart: it began after the route's latency objective.
	LateStart Lateness = "start"
	// LateGap: two of its events were further apart than the route's objective.
	LateGap Lateness = "pause"
)

// lateness of the flow's answer so far.
func (fl *flow) lateness() Lateness {
	switch {
	case fl.route.LatencyObjective > 0 && fl.firstByte > fl.route.LatencyObjective:
		return LateStart
	case fl.route.GapObjective > 0 && fl.pauses.longest > fl.route.GapObjective:
		return LateGap
	}
	return OnTime
}
