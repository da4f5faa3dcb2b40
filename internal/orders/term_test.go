package orders

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
)

func TestTermAllowsOrdersOnlyWhileValid(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		notBefore, validUntil time.Duration
		active, ended         bool
		mayOrder              bool
	}{
		"active and valid":         {-time.Second, time.Second, true, false, true},
		"handover period not over": {time.Second, 2 * time.Second, true, false, false},
		"lease expired":            {-time.Second, 0, true, false, false},
		"not active yet":           {-time.Second, time.Second, false, false, false},
		"ended":                    {-time.Second, time.Second, true, true, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			term := newTerm(1, now.Add(test.notBefore), now.Add(test.validUntil), test.active)
			if test.ended {
				term.end()
			}
			Expect(term.MayOrder(now)).To(Equal(test.mayOrder))
		})
	}
}

// slowStore answers the first renewals late, and later ones not at all.
type slowStore struct {
	outside.KeyValueService
	delay    time.Duration
	answers  int
	lastSent time.Time
}

func (s *slowStore) KeepAlive(_ outside.LeaseID, timeout time.Duration, done func(error)) {
	if s.answers == 0 {
		time.AfterFunc(timeout, func() { done(outside.ErrAmbiguous) })
		return
	}
	s.answers--
	s.lastSent = time.Now()
	time.AfterFunc(s.delay, func() { done(nil) })
}

// The store measures a lease from when it received the renewal, which may be long before its reply
// arrives. So a node must measure the lease from when it sent the renewal.
func TestLeaseIsMeasuredFromWhenTheRenewalWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		const lease = 2 * time.Second
		store := &slowStore{delay: 800 * time.Millisecond, answers: 3}
		election := NewElection(ElectionConfig{Store: store, Prefix: "p/", Lease: lease, Logger: zerolog.Nop()})
		term := newTerm(1, time.Now(), time.Now().Add(lease-leaseMargin), true)
		term.lease = lease
		ctx, cancel := context.WithCancel(context.Background())
		go election.keepLease(ctx, term)
		var last time.Time
		for range 1000 {
			if term.MayOrder(time.Now()) {
				last = time.Now()
			}
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		synctest.Wait()
		Expect(store.answers).To(BeZero())
		Expect(last.Sub(store.lastSent)).To(BeNumerically("<", lease))
		Expect(last.Sub(store.lastSent)).To(BeNumerically(">", lease/2))
		time.Sleep(time.Minute)
	})
}

// Nodes drop the placement of a server whose record was deleted and written again. So the holder
// sends it again, even if it saw only the new record.
func TestStateOfAServerWithANewRecordIsSentAgain(t *testing.T) {
	RegisterTestingT(t)
	snapshot := func(created int64) *fleet.Snapshot {
		return &fleet.Snapshot{
			Configuration: fleet.NewConfiguration(1, 1, nil, []*fleet.Pool{{Name: "p", Engine: &fleet.Engine{}}}, fleet.Limits{}),
			Servers:       map[string]*fleet.Server{"s": {ID: "s", Pool: "p", Created: created}},
		}
	}
	servers := newServerTable()
	servers.sync(snapshot(5), time.Now())
	servers.applyReport(servers.entries["s"], Report{Models: map[string]fleet.LoadedModel{"m": {}}}, time.Now())
	sent := servers.version
	servers.sync(snapshot(5), time.Now())
	Expect(servers.statesAfter(sent)).To(BeEmpty())
	servers.sync(snapshot(9), time.Now())
	Expect(servers.statesAfter(sent)).To(HaveLen(1))
	Expect(servers.statesAfter(sent)[0].Created).To(BeEquivalentTo(9))
}

// An order that was carried out after the last report shows in the server's record.
func TestRecordThatShowsOtherModelsMakesAnEntryStale(t *testing.T) {
	reportedAt := time.Now()
	held := func(names ...string) map[string]fleet.LoadedModel {
		models := map[string]fleet.LoadedModel{}
		for _, name := range names {
			models[name] = fleet.LoadedModel{}
		}
		return models
	}
	cases := map[string]struct {
		hasReported  bool
		record       map[string]fleet.LoadedModel
		writtenAfter time.Duration
		stale        bool
	}{
		"no report":      {false, held("a"), 0, true},
		"same models":    {true, held("a"), 10 * time.Second, false},
		"another model":  {true, held("b"), 10 * time.Second, true},
		"one model more": {true, held("a", "b"), 10 * time.Second, true},
		"one model less": {true, held(), 10 * time.Second, true},
		"another model, perhaps from before the report": {true, held("b"), recordLag, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			found := &entry{
				reported: test.hasReported, reportedAt: reportedAt, models: map[string]*heldModel{"a": {}},
				server: &fleet.Server{Models: test.record, SeenAt: reportedAt.Add(test.writtenAfter)},
			}
			Expect(found.stale()).To(Equal(test.stale))
		})
	}
}
