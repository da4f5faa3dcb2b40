package fleet

import (
	"slices"

	"github.com/hatchplank/hatchplank/internal/tenants"
)

// priorities is how many ranks servers tell apart.
const priorities = 10

// ranking orders requests by their tenant's priority first, and by their route's
// among those of equal tenants.
type ranking struct {
	ofTenants, ofRoutes []int
}

func newRanking(routes []*Route, directory *tenants.Directory) ranking {
	var ranks ranking
	for _, tenant := range directory.All() {
		ranks.ofTenants = append(ranks.ofTenants, tenant.Priority)
	}
	for _, route := range routes {
		ranks.ofRoutes = append(ranks.ofRoutes, route.Priority)
	}
	ranks.ofTenants, ranks.ofRoutes = distinct(ranks.ofTenants), distinct(ranks.ofRoutes)
	return ranks
}

func distinct(values []int) []int {
	slices.Sort(values)
	return slices.Compact(values)
}

func (r ranking) of(route *Route, tenant *tenants.Tenant) int {
	ofTenant, _ := slices.BinarySearch(r.ofTenants, tenant.Priority)
	ofRoute, _ := slices.BinarySearch(r.ofRoutes, route.Priority)
	rank, ranks := ofTenant*len(r.ofRoutes)+ofRoute, len(r.ofTenants)*len(r.ofRoutes)
	if ranks > priorities {
		rank = rank * priorities / ranks
	}
	return rank
}

// RouteRank is a route's place among all, from 0, the most urgent, to 1.
func (c *Configuration) RouteRank(route *Route) float64 {
	if len(c.ranks.ofRoutes) < 2 {
		return 0
	}
	place, _ := slices.BinarySearch(c.ranks.ofRoutes, route.Priority)
	return float64(place) / float64(len(c.ranks.ofRoutes)-1)
}

// Priority of a tenant's requests on a route; 0 is the most urgent. Without a
// tenant it is the route's own.
func (c *Configuration) Priority(route *Route, tenant *tenants.Tenant) int {
	if tenant == nil || c.Tenants == nil {
		return route.Priority
	}
	return c.ranks.of(route, tenant)
}
