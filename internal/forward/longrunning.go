package forward

import "time"

// longRunningAfter is the time after which a request that is still in flight is reported, so
// that one whose node is killed can be found in the log.
const longRunningAfter = time.Second

// LongRunning describes a request that is still in flight.
type LongRunning struct {
	Request     *Request
	Route, Pool string
	// Server is the ID of the latest attempt's server, empty if nothing was sent.
	Server string
}

// watchLongRunning calls the configured function once if the request is still in flight
// after longRunningAfter. The caller must call stop when the request ends.
func (f *Forwarder) watchLongRunning(flow *flow) (stop func() bool) {
	report := func() {
		request := LongRunning{Request: flow.request, Route: flow.route.Name, Pool: flow.pool}
		if server := flow.latestServer.Load(); server != nil {
			request.Server = server.ID
		}
		f.longRunning(request)
	}
	return time.AfterFunc(time.Until(flow.request.Accepted.Add(longRunningAfter)), report).Stop
}
