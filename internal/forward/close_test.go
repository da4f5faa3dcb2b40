package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/poison"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/tenants"
)

// silentNodes are other nodes that do not answer; a call ends with its context.
type silentNodes struct {
	fakeGuard
	currentRecords
}

func (s *silentNodes) Admit(ctx context.Context, _ poison.Request, _ time.Time) (*poison.Trial, *poison.Refusal) {
	<-ctx.Done()
	return nil, &poison.Refusal{RetryAfter: time.Second}
}

func (s *silentNodes) Take(ctx context.Context, _ *tenants.Tenant, _ tenants.Request) ratelimit.Verdict {
	<-ctx.Done()
	return ratelimit.Verdict{Allowed: true}
}

func (s *silentNodes) Return(*tenants.Tenant, tenants.Request, ratelimit.Verdict) {}

// ReadRecord and Outdated make each record one that has to be read first.
func (s *silentNodes) ReadRecord(ctx context.Context, _ string) error {
	<-ctx.Done()
	return ctx.Err()
}

func (s *silentNodes) Outdated(string) bool { return true }

// A request that waited for another node when the node stopped got no final answer.
func TestCloseEndsRequestsThatWaitForOtherNodes(t *testing.T) {
	for name, configure := range map[string]func(*testbed, *silentNodes, *Request){
		"for a trial":  func(b *testbed, silent *silentNodes, _ *Request) { b.forwarder.poison = silent },
		"for a record": func(b *testbed, silent *silentNodes, _ *Request) { b.forwarder.records = silent },
		"for the count of a tenant": func(b *testbed, silent *silentNodes, asked *Request) {
			key := auth.DigestOf("key")
			directory, err := tenants.NewDirectory([]tenants.Keys{{Tenant: tenants.Tenant{Name: "t"}, Keys: []string{"key"}}})
			Expect(err).NotTo(HaveOccurred())
			configuration := fleet.NewConfiguration(2, 2, testRoutes(), []*fleet.Pool{{Name: plainPool}}, fleet.Limits{})
			b.view.SetConfiguration(configuration.WithTenants(directory, testRoutes()))
			asked.Key, b.forwarder.quota = &key, silent
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				asked := request("once", "", 5*time.Second)
				configure(b, &silentNodes{}, asked)
				b.forwarder.onRecordCheck = func(RecordCheck) {}
				outcomes := make(chan Outcome, 1)
				started := time.Now()
				go func() { outcomes <- b.forwarder.Serve(context.Background(), asked, &recorder{}) }()
				synctest.Wait()
				time.Sleep(10 * time.Millisecond)
				b.forwarder.Close()
				synctest.Wait()
				Expect(outcomes).To(HaveLen(1), "the request has not ended")
				outcome := <-outcomes
				Expect(time.Since(started)).To(Equal(10 * time.Millisecond))
				Expect(outcome.Ran).To(Equal(result.RanNo))
				Expect(outcome.Code).NotTo(Equal(result.OK))
				Expect(b.backend.servers()).To(BeEmpty(), "nothing may be sent after the stop")
			})
		})
	}
}
