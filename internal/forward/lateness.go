package forward

// Lateness says which objective of its route a response missed.
type Lateness string

// The kinds of lateness.
const (
	// OnTime: no objective was missed.
	OnTime Lateness = ""
	// LateStart: the response began after the latency objective.
	LateStart Lateness = "start"
	// LateGap: two events were further apart than the gap objective.
	LateGap Lateness = "pause"
)

// lateness of the flow's response so far; a late start counts before a late gap.
func (fl *flow) lateness() Lateness {
	switch {
	case fl.route.LatencyObjective > 0 && fl.firstByte > fl.route.LatencyObjective:
		return LateStart
	case fl.route.GapObjective > 0 && fl.gaps.longest > fl.route.GapObjective:
		return LateGap
	}
	return OnTime
}
