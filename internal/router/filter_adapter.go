package router

import "slices"

// AdapterFilter keeps endpoints on which the adapter that the request needs is ready.
type AdapterFilter struct{}

// Keep implements Filter.
func (AdapterFilter) Keep(candidate *Candidate, request *Request) bool {
	if request.Adapter == "" {
		return true
	}
	return slices.Contains(candidate.Endpoint.Adapters, request.Adapter)
}
