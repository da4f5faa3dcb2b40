package tenants_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/tenants"
)

func TestKeysFindTheirTenant(t *testing.T) {
	g := NewWithT(t)
	directory, err := tenants.NewDirectory([]tenants.Keys{
		{Tenant: tenants.Tenant{Name: "north"}, Keys: []string{"n1", "n2", "n1"}},
		{Tenant: tenants.Tenant{Name: "south"}, Keys: []string{"s1"}},
		{Tenant: tenants.Tenant{Name: "closed"}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	for key, name := range map[string]string{"n1": "north", "n2": "north", "s1": "south"} {
		tenant, found := directory.ByKey(auth.DigestOf(key))
		g.Expect(found).To(BeTrue(), key)
		g.Expect(tenant.Name).To(Equal(name))
	}
	for _, key := range []string{"", "n", "n11", "N1", "closed", "north"} {
		_, found := directory.ByKey(auth.DigestOf(key))
		g.Expect(found).To(BeFalse(), key)
	}
	g.Expect(directory.ByName("closed")).NotTo(BeNil())
	g.Expect(directory.ByName("n1")).To(BeNil())
	g.Expect(directory.All()).To(HaveLen(3))
}

func TestErrorForAKeyOfTwoTenantsDoesNotShowTheKey(t *testing.T) {
	g := NewWithT(t)
	_, err := tenants.NewDirectory([]tenants.Keys{
		{Tenant: tenants.Tenant{Name: "north"}, Keys: []string{"common"}},
		{Tenant: tenants.Tenant{Name: "south"}, Keys: []string{"own", "common"}},
	})
	g.Expect(err).To(MatchError(And(ContainSubstring(`key 1 of tenant "south"`), ContainSubstring("north"), Not(ContainSubstring("common")))))
}

func TestCostOfARequest(t *testing.T) {
	g := NewWithT(t)
	requests := tenants.Limit{Rate: 10}
	tokens := tenants.Limit{Rate: 10, InTokens: true, DefaultTokens: 200}
	g.Expect(requests.Cost(9000)).To(Equal(1.0))
	g.Expect(tokens.Cost(9000)).To(Equal(9000.0))
	g.Expect(tokens.Cost(0)).To(Equal(200.0))
}
