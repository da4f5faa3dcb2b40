package forward

import "time"

// underWayAfter its arrival a request that has not ended is told of, so that one
// whose node is killed can be found afterwards.
const underWayAfter = time.Second

// LongRunning tells of a request that has not ended yet.
type LongRunning struct {
	Request     *Request
	Route, Pool string
	// Server of the newest attempt, empty if none was sent.
	Server string
}

// tellUnderWay calls the configured function once if the request has not ended
// before. Stop must be called when it ends.
func (f *Forwarder) tellUnderWay(flow *flow) (stop func() bool) {
	tell := func() {
		told := LongRunning{Request: flow.request, Route: flow.route.Name, Pool: flow.pool}
		if server := flow.newest.Load(); server != nil {
			told.Server = server.ID
		}
		f.underWay(told)
	}
	return time.AfterFunc(time.Until(flow.request.Accepted.Add(underWayAfter)), tell).Stop
}
