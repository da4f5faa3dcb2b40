package notice

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// startedRequest is a request that is sent now and that the server starts.
func startedRequest() Call { return Call{Purpose: PurposeRequest, SentAt: time.Now(), Started: true} }

// limitOf returns a limit in requests a second.
func limitOf(perSecond float64) Limit { return Limit{Named: true, PerSecond: perSecond} }

func (f *fixture) announce(limit Limit, call Call) {
	f.RecordNotice(f.server, Notice{Limit: limit}, call)
}

func TestNewestAnnouncementOfALimitWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		f := newFixture()
		early := startedRequest()
		time.Sleep(time.Second)
		f.announce(limitOf(2), startedRequest())
		Expect(f.Limit(f.server)).To(Equal(limitOf(2)))
		Expect(f.LimitedServers()).To(Equal(1))
		time.Sleep(time.Second)
		f.announce(limitOf(5), startedRequest())
		Expect(f.Limit(f.server)).To(Equal(limitOf(5)))
		// Responses to calls that were sent before the limit was observed may be older than it.
		f.announce(Limit{}, early)
		Expect(f.Limit(f.server)).To(Equal(limitOf(5)))
		f.announce(limitOf(7), early)
		Expect(f.Limit(f.server)).To(Equal(limitOf(5)))
		f.announce(limitOf(1), early)
		Expect(f.Limit(f.server)).To(Equal(limitOf(1)))
		// Rejections, and responses to orders and report calls, need not announce it.
		time.Sleep(time.Second)
		f.announce(Limit{}, Call{Purpose: PurposeRequest, SentAt: time.Now()})
		Expect(f.Limit(f.server)).To(Equal(limitOf(1)))
		f.announce(Limit{}, Call{Purpose: PurposeOrder, SentAt: time.Now()})
		Expect(f.Limit(f.server)).To(Equal(limitOf(1)))
		time.Sleep(time.Second)
		f.announce(Limit{}, startedRequest())
		Expect(f.Limit(f.server)).To(BeZero())
		Expect(f.LimitedServers()).To(BeZero())
	})
}

// A server that restarts under the same ID has not announced a limit yet.
func TestLimitEndsWithItsIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		f := newFixture()
		first, second := &fleet.Server{ID: "s", Born: 5}, &fleet.Server{ID: "s", Born: 6}
		f.RecordNotice(first, Notice{Limit: limitOf(1)}, startedRequest())
		Expect(f.Limit(first)).To(Equal(limitOf(1)))
		Expect(f.Limit(second)).To(BeZero())
		// A record that was passed on without its start time.
		Expect(f.Limit(f.server)).To(Equal(limitOf(1)))
		f.RecordNotice(second, Notice{Limit: limitOf(3)}, startedRequest())
		// A late response of the first incarnation.
		f.RecordNotice(first, Notice{Limit: limitOf(2)}, startedRequest())
		Expect(f.Limit(second)).To(Equal(limitOf(3)))
		f.RecordNotice(&fleet.Server{ID: "s", Born: 7}, Notice{}, startedRequest())
		Expect(f.Limit(f.server)).To(BeZero())
	})
}

func TestSendsToAServerWithALimitAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		f := newFixture()
		counted := map[Purpose]int{}
		f.config.OnLimitedSend = func(purpose Purpose) { counted[purpose]++ }
		f.RecordSend(f.server, PurposeRequest)
		f.announce(limitOf(2.5), startedRequest())
		f.RecordSend(f.server, PurposeRequest)
		f.RecordSend(f.server, PurposeOrder)
		Expect(counted).To(Equal(map[Purpose]int{PurposeRequest: 1, PurposeOrder: 1}))
		Expect(f.output.String()).To(ContainSubstring(`"server_limited":true,"server_limit":2.5,"server_limit_before":0,"message":"server's limit"`))
		Expect(f.output.String()).To(ContainSubstring(`"purpose":"order","server_limit":2.5,"message":"sent to a server with a limit"`))
	})
}

// The most recently observed state wins, whichever node observed it.
func TestLimitsObservedByOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		f := newFixture()
		incarnation := f.server.Incarnation()
		time.Sleep(time.Minute)
		Expect(f.MergeLimits([]ObservedLimit{{Life: incarnation, Limit: limitOf(2), Age: time.Second}}, "x")).To(BeTrue())
		Expect(f.Limit(f.server)).To(Equal(limitOf(2)))
		Expect(f.MergeLimits([]ObservedLimit{{Life: incarnation, Limit: limitOf(2)}}, "y")).To(BeFalse(), "no change")
		Expect(f.MergeLimits([]ObservedLimit{{Life: incarnation, Age: 500 * time.Millisecond}}, "x")).To(BeFalse(), "older than the last report")
		Expect(f.Limit(f.server)).To(Equal(limitOf(2)))
		Expect(f.MergeLimits([]ObservedLimit{{Life: fleet.Incarnation{ID: "s", Born: 4}, Limit: limitOf(2)}}, "y")).To(BeFalse(), "a start time that the local entry lacks")
		time.Sleep(time.Second)
		Expect(f.MergeLimits([]ObservedLimit{{Life: incarnation}}, "x")).To(BeTrue())
		Expect(f.Limit(f.server)).To(BeZero())
		Expect(f.MergeLimits([]ObservedLimit{{Life: incarnation, Limit: limitOf(2), Age: time.Minute}}, "z")).To(BeFalse(), "a delayed report")
		Expect(f.MergeLimits([]ObservedLimit{{Life: fleet.Incarnation{ID: "s", Born: 8}, Limit: limitOf(2)}}, "z")).To(BeTrue())
		Expect(f.MergeLimits([]ObservedLimit{{Life: fleet.Incarnation{ID: "s", Born: 9}, Limit: limitOf(3), Age: time.Minute}}, "z")).To(BeTrue(), "a later incarnation")
	})
}

// A limit that this node observed is reported once after each change; Limits returns all.
func TestLocalLimitsAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		f := newFixture()
		f.MergeLimits([]ObservedLimit{{Life: fleet.Incarnation{ID: "other"}, Limit: limitOf(4)}}, "x")
		f.announce(limitOf(2), startedRequest())
		Expect(f.LimitChanges()).To(Receive())
		local, version := f.LocalLimits(0)
		Expect(local).To(Equal([]ObservedLimit{{Life: f.server.Incarnation(), Limit: limitOf(2)}}))
		time.Sleep(time.Second)
		f.announce(limitOf(2), startedRequest())
		Expect(f.LimitChanges()).NotTo(Receive())
		local, _ = f.LocalLimits(version)
		Expect(local).To(BeEmpty())
		all, _ := f.Limits(0)
		Expect(all).To(HaveLen(2))
		f.announce(Limit{}, Call{Purpose: PurposeRequest, SentAt: time.Now().Add(time.Millisecond), Started: true})
		local, _ = f.LocalLimits(version)
		Expect(local).To(HaveLen(1))
		Expect(local[0].Limit).To(BeZero())
	})
}

// Limits are kept while the record of their server may reappear, and lifted limits as long as
// older reports may arrive.
func TestExpiredLimitsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		f := newFixture()
		f.MergeLimits([]ObservedLimit{
			{Life: fleet.Incarnation{ID: "gone"}, Limit: limitOf(1)}, {Life: f.server.Incarnation(), Limit: limitOf(1)}, {Life: fleet.Incarnation{ID: "over"}},
		}, "x")
		for _, step := range []struct {
			after time.Duration
			kept  int
		}{{30 * time.Second, 3}, {time.Minute, 2}, {10 * time.Minute, 1}} {
			time.Sleep(step.after)
			f.Prune(time.Now())
			Expect(f.limits.entries).To(HaveLen(step.kept))
		}
	})
}

// A record whose birth lies in the future was in force for one heartbeat: the limit that was
// received under it outlived requests whose responses announce none.
func TestLimitOfAFutureBirthIsLifted(t *testing.T) {
	for _, born := range []int64{time.Now().Add(time.Hour).UnixMilli(), 253_402_300_799_999} {
		synctest.Test(t, func(t *testing.T) {
			RegisterTestingT(t)
			f := newFixture()
			good := &fleet.Server{ID: "s", Pool: "p", Born: time.Now().UnixMilli()}
			f.RecordNotice(&fleet.Server{ID: "s", Pool: "p", Born: born}, Notice{Limit: limitOf(1)}, startedRequest())
			Expect(f.Limit(good)).To(Equal(limitOf(1)))
			time.Sleep(time.Second)
			f.RecordNotice(good, Notice{}, startedRequest())
			Expect(f.Limit(good)).To(BeZero())
		})
	}
}

// Another node may pass on a limit with a birth in the future.
func TestReportedLimitOfAFutureBirthIsLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		f := newFixture()
		good := &fleet.Server{ID: "s", Pool: "p", Born: time.Now().UnixMilli()}
		f.MergeLimits([]ObservedLimit{{Life: fleet.Incarnation{ID: "s", Born: time.Now().Add(time.Hour).UnixMilli()}, Limit: limitOf(1)}}, "x")
		time.Sleep(2 * time.Hour)
		f.RecordNotice(good, Notice{}, startedRequest())
		Expect(f.Limit(good)).To(BeZero())
	})
}
