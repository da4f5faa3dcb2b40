// Package fleet models what a node knows of its deployment: the operators'
// routes, pools and models, and the servers with what they hold. Values are
// immutable once published; a View replaces them as a whole.
package fleet

import (
	"sort"
	"strings"
	"time"
)

// RequestKind says how often a request may run.
type RequestKind uint8

// The kinds of request.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable RequestKind = iota
	// KindOnce requests run at most once for each caller's attempt.
	KindOnce
	// KindStream requests are answered with events; they run at most once
	// unless their route is resumable.
	KindStream
)

// Target is one part of a route's traffic.
type Target struct {
	Pool   string
	Weight int
}

// Route tells how requests for a host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RequestKind
	// Timeout is the longest time a request is held.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to a stream's first event.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between events; zero if none is set.
	GapObjective time.Duration
	// CallerWaitLimit is how long callers wait for the next event of a stream, the
	// first one included; zero if they wait until their deadline.
	CallerWaitLimit time.Duration
	// MaxAttempts is the number of servers that one request may be sent to.
	MaxAttempts int
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Resumable streams may be continued at another server.
	Resumable bool
	// Anonymous: callers need no key, also where there are tenants.
	Anonymous bool
	Targets   []Target
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// Pick chooses the pool that takes the request with this number, so that
// consecutive numbers share the targets by weight.
func (r *Route) Pick(number uint64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	// A stride coprime to most totals spreads consecutive numbers.
	const stride = 7919
	place := int(number * stride % uint64(total))
	for _, target := range r.Targets {
		place -= target.Weight
		if place < 0 {
			return target.Pool
		}
	}
	return ""
}

// routeTable finds routes by host and longest prefix.
type routeTable map[string][]*Route

func newRouteTable(routes []*Route) routeTable {
	table := routeTable{}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		table[host] = append(table[host], route)
	}
	for _, ofHost := range table {
		sort.SliceStable(ofHost, func(i, j int) bool { return len(ofHost[i].Prefix) > len(ofHost[j].Prefix) })
	}
	return table
}

func (t routeTable) match(host, path string) *Route {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, route := range t[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
