package fleet

import "slices"

// PoolsLeft returns the pools that requests were sent to by an earlier configuration and that the same
// requests are not sent to by this one.
func (c *Configuration) PoolsLeft(before *Configuration) []string {
	var left []string
	for _, table := range []routeTable{before.routes, c.routes} {
		for host, routes := range table {
			for _, route := range routes {
				left = append(left, poolsLeft(before.routes.match(host, route.Prefix), c.routes.match(host, route.Prefix))...)
			}
		}
	}
	slices.Sort(left)
	return slices.Compact(left)
}

// poolsLeft returns the pools that one route leads to and the other does not; either may be nil.
func poolsLeft(before, after *Route) []string {
	var left []string
	if before == nil {
		return nil
	}
	for _, target := range before.Targets {
		if before.LeadsTo(target.Pool) && (after == nil || !after.LeadsTo(target.Pool)) {
			left = append(left, target.Pool)
		}
	}
	return left
}
