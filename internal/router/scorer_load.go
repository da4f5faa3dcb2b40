package router

// LoadScorer prefers endpoints with fewer requests in flight relative to their batch size.
// Requests of this node are counted, those of others estimated from reports that lag.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(candidates []Candidate, _ *Request, weight float64) {
	for index := range candidates {
		candidates[index].Score += weight / (1 + candidates[index].relativeLoad())
	}
}
