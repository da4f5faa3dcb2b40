package router

// VersionScorer prefers endpoints of the version that the table names. During a rolling
// update, replicas of the previous version continue to serve.
type VersionScorer struct{}

// Score implements Scorer.
func (VersionScorer) Score(candidates []Candidate, request *Request, weight float64) {
	for index := range candidates {
		if candidates[index].Endpoint.Version == request.Version {
			candidates[index].Score += weight
		}
	}
}
