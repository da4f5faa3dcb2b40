package router

// ZoneScorer prefers endpoints in the node's own zone.
type ZoneScorer struct {
	// Zone is the node's zone.
	Zone string
}

// Score implements Scorer.
func (s ZoneScorer) Score(candidates []Candidate, _ *Request, weight float64) {
	for index := range candidates {
		if candidates[index].Endpoint.Zone == s.Zone {
			candidates[index].Score += weight
		}
	}
}
