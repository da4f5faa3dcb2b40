package router

// DrainFilter keeps endpoints that take new work: not draining, not leaving.
type DrainFilter struct{}

// Keep implements Filter.
func (DrainFilter) Keep(candidate *Candidate, _ *Request) bool {
	return !candidate.Endpoint.Draining
}
