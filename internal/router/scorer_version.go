package router

// VersionScorer prefers the version that the table names. While replicas are
// replaced one by one, those of the version before go on serving.
type VersionScorer struct{}

// Score implements Scorer.
func (VersionScorer) Score(candidates []Candidate, request *Request, weight float64) {
	for index := range candidates {
		if candidates[index].Endpoint.Version == request.Version {
			candidates[index].Score += weight
		}
	}
}
