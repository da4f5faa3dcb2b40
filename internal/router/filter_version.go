package router

// VersionFilter keeps, for a stream that has begun, the endpoints of the same
// version: a stream is never continued by other weights.
type VersionFilter struct{}

// Keep implements Filter.
func (VersionFilter) Keep(candidate *Candidate, request *Request) bool {
	return request.PinnedVersion == "" || candidate.Endpoint.Version == request.PinnedVersion
}
