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

func TestTermAllowsOrdersOnlyWithinItsTime(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		notBefore, validUntil time.Duration
		entered, ended        bool
		may                   bool
	}{
		"in its time":                    {-time.Second, time.Second, true, false, true},
		"the turn has not come":          {time.Second, 2 * time.Second, true, false, false},
		"the lease is over":              {-time.Second, 0, true, false, false},
		"the store does not name it yet": {-time.Second, time.Second, false, false, false},
		"ended":                          {-time.Second, time.Second, true, true, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			term := newTerm(1, now.Add(test.notBefore), now.Add(test.validUntil), test.entered)
			if test.ended {
				term.end()
			}
			Expect(term.MayOrder(now)).To(Equal(test.may))
		})
	}
}

// slowStore answers renewals late, and after the first ones not at all.
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

// The store counts a lease from when a renewal reached it, which may be long
// before its answer came.
func TestLeaseCountsFromWhenItsRenewalWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		const lease = 2 * time.Second
		store := &slowStore{delay: 800 * time.Millisecond, answers: 3}
		election := NewElection(ElectionConfig{Store: store, Prefix: "p/", Lease: lease, Logger: zerolog.Nop()})
		term := newTerm(1, time.Now(), time.Now().Add(lease-leaseMargin), true)
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

// Nodes drop what they were told of a server whose record came back, so they are
// told again, whatever the holder saw of it.
func TestServerWhoseRecordCameBackIsToldAgain(t *testing.T) {
	RegisterTestingT(t)
	snapshot := func(created int64) *fleet.Snapshot {
		return &fleet.Snapshot{
			Configuration: fleet.NewConfiguration(1, 1, nil, []*fleet.Pool{{Name: "p", Engine: &fleet.Engine{}}}, fleet.Limits{}),
			Servers:       map[string]*fleet.Server{"s": {ID: "s", Pool: "p", Created: created}},
		}
	}
	book := newServerTable()
	book.sync(snapshot(5), time.Now())
	book.applyReport(book.entries["s"], Report{Models: map[string]fleet.LoadedModel{"m": {}}}, time.Now())
	told := book.version
	book.sync(snapshot(5), time.Now())
	Expect(book.statesAfter(told)).To(BeEmpty())
	book.sync(snapshot(9), time.Now())
	Expect(book.statesAfter(told)).To(HaveLen(1))
	Expect(book.statesAfter(told)[0].Created).To(BeEquivalentTo(9))
}

// An order that was carried out late shows in the server's record.
func TestRecordThatShowsOtherModelsMakesAnEntryStale(t *testing.T) {
	reported := time.Now()
	held := func(names ...string) map[string]fleet.LoadedModel {
		models := map[string]fleet.LoadedModel{}
		for _, name := range names {
			models[name] = fleet.LoadedModel{}
		}
		return models
	}
	cases := map[string]struct {
		known  bool
		record map[string]fleet.LoadedModel
		seen   time.Duration
		stale  bool
	}{
		"never heard":                          {false, held("a"), 0, true},
		"the same":                             {true, held("a"), 10 * time.Second, false},
		"another model":                        {true, held("b"), 10 * time.Second, true},
		"one more":                             {true, held("a", "b"), 10 * time.Second, true},
		"one less":                             {true, held(), 10 * time.Second, true},
		"other, but maybe older than a report": {true, held("b"), recordLag, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			found := &entry{
				reported: test.known, reportedAt: reported, models: map[string]*heldModel{"a": {}},
				server: &fleet.Server{Models: test.record, SeenAt: reported.Add(test.seen)},
			}
			Expect(found.stale()).To(Equal(test.stale))
		})
	}
}
