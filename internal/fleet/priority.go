package fleet

import (
	"slices"

	"github.com/hatchplank/hatchplank/internal/tenants"
)

// priorityLevels is the number of priorities that servers distinguish.
const priorityLevels = 10

// ranking orders requests by their tenant's priority, and by their route's priority where the
// tenants' are equal. The priorities are sorted and distinct.
type ranking struct {
	tenantPriorities, routePriorities []int
}

func newRanking(routes []*Route, directory *tenants.Directory) ranking {
	var ordered ranking
	for _, tenant := range directory.All() {
		ordered.tenantPriorities = append(ordered.tenantPriorities, tenant.Priority)
	}
	for _, route := range routes {
		ordered.routePriorities = append(ordered.routePriorities, route.Priority)
	}
	ordered.tenantPriorities, ordered.routePriorities = distinct(ordered.tenantPriorities), distinct(ordered.routePriorities)
	return ordered
}

func distinct(values []int) []int {
	slices.Sort(values)
	return slices.Compact(values)
}

// priority is the rank of a tenant's requests on a route, from 0, the most urgent. Where there are
// more ranks than priorityLevels, several of them share a level.
func (r ranking) priority(route *Route, tenant *tenants.Tenant) int {
	tenantRank, _ := slices.BinarySearch(r.tenantPriorities, tenant.Priority)
	routeRank, _ := slices.BinarySearch(r.routePriorities, route.Priority)
	rank, total := tenantRank*len(r.routePriorities)+routeRank, len(r.tenantPriorities)*len(r.routePriorities)
	if total > priorityLevels {
		rank = rank * priorityLevels / total
	}
	return rank
}

// RouteRank is a route's rank among the priorities of all routes, from 0, the most urgent, to
// 1.
func (c *Configuration) RouteRank(route *Route) float64 {
	if len(c.ranking.routePriorities) < 2 {
		return 0
	}
	rank, _ := slices.BinarySearch(c.ranking.routePriorities, route.Priority)
	return float64(rank) / float64(len(c.ranking.routePriorities)-1)
}

// Priority returns the priority of a tenant's requests on a route, 0 being the most urgent.
// Without a tenant it is the route's own.
func (c *Configuration) Priority(route *Route, tenant *tenants.Tenant) int {
	if tenant == nil || c.Tenants == nil {
		return route.Priority
	}
	return c.ranking.priority(route, tenant)
}
