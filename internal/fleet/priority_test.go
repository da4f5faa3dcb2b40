package fleet_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/tenants"
)

// A request of a more urgent tenant never ranks behind one of a less urgent tenant, and among
// equally urgent tenants the more urgent route never ranks behind.
func TestTenantsRankBeforeRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ofTenants := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 4).Draw(t, "tenants")
		ofRoutes := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 4).Draw(t, "routes")
		var keys []tenants.Keys
		for i, priority := range ofTenants {
			keys = append(keys, tenants.Keys{Tenant: tenants.Tenant{Name: string(rune('a' + i)), Priority: priority}})
		}
		directory, err := tenants.NewDirectory(keys)
		if err != nil {
			t.Fatal(err)
		}
		var routes []*fleet.Route
		for _, priority := range ofRoutes {
			routes = append(routes, &fleet.Route{Priority: priority})
		}
		configuration := fleet.NewConfiguration(1, 1, routes, nil, fleet.Limits{}).WithTenants(directory, routes)
		slices.SortFunc(routes, func(a, b *fleet.Route) int { return a.Priority - b.Priority })
		all := directory.All()
		slices.SortFunc(all, func(a, b *tenants.Tenant) int { return a.Priority - b.Priority })
		last, lastTenant := 0, all[0].Priority
		for _, tenant := range all {
			if tenant.Priority == lastTenant {
				last = 0
			}
			lastTenant = tenant.Priority
			for _, route := range routes {
				rank := configuration.Priority(route, tenant)
				if rank < last || rank > 9 {
					t.Fatalf("tenant %d, route %d: rank %d after %d", tenant.Priority, route.Priority, rank, last)
				}
				last = rank
			}
		}
	})
}

func TestWithoutATenantTheRouteDeterminesThePriority(t *testing.T) {
	g := NewWithT(t)
	route := &fleet.Route{Priority: 7}
	g.Expect(fleet.NewConfiguration(1, 1, nil, nil, fleet.Limits{}).Priority(route, &tenants.Tenant{Priority: 1})).To(Equal(7))
	directory, err := tenants.NewDirectory([]tenants.Keys{{Tenant: tenants.Tenant{Name: "a", Priority: 1}}})
	g.Expect(err).NotTo(HaveOccurred())
	routes := []*fleet.Route{route, {Priority: 2}}
	configuration := fleet.NewConfiguration(1, 1, routes, nil, fleet.Limits{}).WithTenants(directory, routes)
	g.Expect(configuration.Priority(route, nil)).To(Equal(7))
	g.Expect(configuration.Priority(route, directory.ByName("a"))).To(Equal(1))
}
