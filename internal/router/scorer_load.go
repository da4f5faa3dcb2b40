package router

// LoadScorer prefers endpoints with fewer requests in flight, counted for this
// node and estimated, from lagging figures, for the others.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(candidates []Candidate, _ *Request, weight float64) {
	for index := range candidates {
		candidates[index].Score += weight / (1 + candidates[index].load())
	}
}
