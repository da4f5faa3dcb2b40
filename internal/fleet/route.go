// Package fleet models a node's view of its deployment: the operators' routes, pools and
// models, and the servers with the models that they hold. Values are immutable once published;
// a View replaces them as a whole.
package fleet

import (
	"slices"
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
	// KindOnce requests run at most once for each attempt of a caller.
	KindOnce
	// KindStream requests are answered with server-sent events, at least one unless they resume a stream; they run at
	// most once unless their route is resumable.
	KindStream
)

// Target is a pool with its share of a route's traffic.
type Target struct {
	Pool   string
	Weight int
}

// Route defines how requests for a host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RequestKind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// LatencyObjective is the objective for the time to the answer, or to a stream's first
	// event.
	LatencyObjective time.Duration
	// GapObjective is the maximum pause between events; zero if none is set.
	GapObjective time.Duration
	// CallerWaitLimit is how long callers wait for the next event of a stream, including the
	// first; zero if they wait until their deadline.
	CallerWaitLimit time.Duration
	// MaxAttempts is the maximum number of servers that one request is sent to.
	MaxAttempts int
	// Priority of the route; 0 is the most urgent.
	Priority int
	// Resumable streams may be continued at another server.
	Resumable bool
	// Events declares the events of streams on routes of KindStream.
	Events EventFormat
	// Anonymous routes need no key, even where tenants are configured.
	Anonymous bool
	Targets   []Target
}

// EventFormat declares what servers may send as server-sent events. Each event has an ID, and IDs rise, whatever else
// is declared.
type EventFormat struct {
	// DecimalIDs: the IDs are decimal numbers without a prefix. Otherwise they may have any form.
	DecimalIDs bool
	// KnownFieldsOnly: events have no fields but id, event, data, retry and the LeadingField.
	KnownFieldsOnly bool
	// LeadingField is the name of a field that an event may begin with, whose value is a decimal number; empty: none.
	LeadingField string
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// CallerTime returns how long callers wait for the beginning of a response.
func (r *Route) CallerTime() time.Duration {
	if r.CallerWaitLimit > 0 {
		return min(r.Timeout, r.CallerWaitLimit)
	}
	return r.Timeout
}

// LeadsTo reports whether the route's requests may go to a pool.
func (r *Route) LeadsTo(pool string) bool {
	return slices.ContainsFunc(r.Targets, func(target Target) bool { return target.Pool == pool && target.Weight > 0 })
}

// Pick chooses the pool for the request with this number, so that consecutive numbers are
// distributed over the targets by weight. It returns an empty name if no target has a weight.
func (r *Route) Pick(number uint64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	// A stride that is coprime to most totals distributes consecutive numbers.
	const stride = 7919
	remainder := int(number * stride % uint64(total))
	for _, target := range r.Targets {
		remainder -= target.Weight
		if remainder < 0 {
			return target.Pool
		}
	}
	return ""
}

// routeTable contains the routes by host, longest prefix first.
type routeTable map[string][]*Route

func newRouteTable(routes []*Route) routeTable {
	table := routeTable{}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		table[host] = append(table[host], route)
	}
	for _, hostRoutes := range table {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
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
