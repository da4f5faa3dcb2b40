package tenants_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/tenants"
)

// BenchmarkRequest measures finding the tenant of a key and counting a request at the counter
// node, without messages between nodes.
func BenchmarkRequest(b *testing.B) {
	var all []tenants.Keys
	for i := range 40 {
		all = append(all, tenants.Keys{
			Tenant: tenants.Tenant{Name: fmt.Sprint("tenant-", i), Limit: tenants.Limit{Rate: 1e12, Burst: 1e12, InTokens: true}},
			Keys:   []string{fmt.Sprint("first-key-", i), fmt.Sprint("second-key-", i)},
		})
	}
	directory, err := tenants.NewDirectory(all)
	if err != nil {
		b.Fatal(err)
	}
	fleet := newFleet(1, func() *tenants.Directory { return directory })
	fleet.setCounters(ratelimit.Counters{Token: 1, Version: 1, Addresses: fleet.Addresses()})
	quota := fleet.nodes["node-00"].quota
	b.ReportAllocs()
	for b.Loop() {
		tenant, _ := directory.ByKey(auth.DigestOf("second-key-17"))
		quota.Take(context.Background(), tenant, tenants.Request{Tokens: testCost})
	}
}
