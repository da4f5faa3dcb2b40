package router

// AdapterScorer sends requests for the bare base model to endpoints with fewer
// adapters, which leaves the others to the adapters' requests.
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
