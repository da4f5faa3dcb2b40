package router

// DrainFilter keeps endpoints that accept new requests, which draining ones and those of
// leaving servers don't.
type DrainFilter struct{}

// Keep implements Filter.
func (DrainFilter) Keep(candidate *Candidate, _ *Request) bool {
	return !candidate.Endpoint.Draining
}
