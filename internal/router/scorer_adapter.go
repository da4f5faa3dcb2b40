package router

// AdapterScorer prefers endpoints with fewer adapters for requests that need none, which
// leaves the other endpoints to requests for their adapters.
type AdapterScorer struct{}

// Score implements Scorer.
func (AdapterScorer) Score(candidates []Candidate, request *Request, weight float64) {
	if request.Adapter != "" {
		return
	}
	for index := range candidates {
		candidates[index].Score += weight / float64(1+len(candidates[index].Endpoint.Adapters))
	}
}
