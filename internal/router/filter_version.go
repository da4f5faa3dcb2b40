package router

// VersionFilter keeps, for a stream that has begun, only endpoints of the same model version,
// because a stream must not be continued with other weights.
type VersionFilter struct{}

// Keep implements Filter.
func (VersionFilter) Keep(candidate *Candidate, request *Request) bool {
	return request.PinnedVersion == "" || candidate.Endpoint.Version == request.PinnedVersion
}
