package notice

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// request is something that is sent now.
func request() Asked { return Asked{Purpose: PurposeRequest, At: time.Now(), Ran: true} }

// of is the limit of so many a second.
func of(perSecond float64) Limit { return Limit{Named: true, PerSecond: perSecond} }

func (b *board) says(limit Limit, asked Asked) { b.Heard(b.server, Notice{Limit: limit}, asked) }

func TestNewestWordOnALimitCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		b := newBoard()
		early := request()
		time.Sleep(time.Second)
		b.says(of(2), request())
		Expect(b.Limit(b.server)).To(Equal(of(2)))
		Expect(b.LimitedServers()).To(Equal(1))
		time.Sleep(time.Second)
		b.says(of(5), request())
		Expect(b.Limit(b.server)).To(Equal(of(5)))
		// Answers to what was sent before the word was heard may be the older ones.
		b.says(Limit{}, early)
		Expect(b.Limit(b.server)).To(Equal(of(5)))
		b.says(of(7), early)
		Expect(b.Limit(b.server)).To(Equal(of(5)))
		b.says(of(1), early)
		Expect(b.Limit(b.server)).To(Equal(of(1)))
		// Refusals, and answers to orders and questions, need not name it.
		time.Sleep(time.Second)
		b.says(Limit{}, Asked{Purpose: PurposeRequest, At: time.Now()})
		Expect(b.Limit(b.server)).To(Equal(of(1)))
		b.says(Limit{}, Asked{Purpose: PurposeOrder, At: time.Now()})
		Expect(b.Limit(b.server)).To(Equal(of(1)))
		time.Sleep(time.Second)
		b.says(Limit{}, request())
		Expect(b.Limit(b.server)).To(BeZero())
		Expect(b.LimitedServers()).To(BeZero())
	})
}

// A server that starts again under its ID has named no limit.
func TestLimitEndsWithItsLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		b := newBoard()
		first, second := &fleet.Server{ID: "s", Born: 5}, &fleet.Server{ID: "s", Born: 6}
		b.Heard(first, Notice{Limit: of(1)}, request())
		Expect(b.Limit(first)).To(Equal(of(1)))
		Expect(b.Limit(second)).To(BeZero())
		// A record that was passed on without its birth.
		Expect(b.Limit(b.server)).To(Equal(of(1)))
		b.Heard(second, Notice{Limit: of(3)}, request())
		// A late answer of the first life.
		b.Heard(first, Notice{Limit: of(2)}, request())
		Expect(b.Limit(second)).To(Equal(of(3)))
		b.Heard(&fleet.Server{ID: "s", Born: 7}, Notice{}, request())
		Expect(b.Limit(b.server)).To(BeZero())
	})
}

func TestWhatIsSentToAServerWithALimitIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		b := newBoard()
		counted := map[Purpose]int{}
		b.config.Limited = func(purpose Purpose) { counted[purpose]++ }
		b.Sending(b.server, PurposeRequest)
		b.says(of(2.5), request())
		b.Sending(b.server, PurposeRequest)
		b.Sending(b.server, PurposeOrder)
		Expect(counted).To(Equal(map[Purpose]int{PurposeRequest: 1, PurposeOrder: 1}))
		Expect(b.output.String()).To(ContainSubstring(`"server_limited":true,"server_limit":2.5,"server_limit_before":0,"message":"server's limit"`))
		Expect(b.output.String()).To(ContainSubstring(`"purpose":"order","server_limit":2.5,"message":"sent to a server with a limit"`))
	})
}

// What was heard last counts, wherever it was heard.
func TestLimitsThatOthersHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		b := newBoard()
		life := b.server.Incarnation()
		time.Sleep(time.Minute)
		Expect(b.TellLimits([]HeardLimit{{Life: life, Limit: of(2), Age: time.Second}}, "x")).To(BeTrue())
		Expect(b.Limit(b.server)).To(Equal(of(2)))
		Expect(b.TellLimits([]HeardLimit{{Life: life, Limit: of(2)}}, "y")).To(BeFalse(), "nothing new")
		Expect(b.TellLimits([]HeardLimit{{Life: life, Age: 500 * time.Millisecond}}, "x")).To(BeFalse(), "older than the last word")
		Expect(b.Limit(b.server)).To(Equal(of(2)))
		Expect(b.TellLimits([]HeardLimit{{Life: fleet.Incarnation{ID: "s", Born: 4}, Limit: of(2)}}, "y")).To(BeFalse(), "a birth that is not known here")
		time.Sleep(time.Second)
		Expect(b.TellLimits([]HeardLimit{{Life: life}}, "x")).To(BeTrue())
		Expect(b.Limit(b.server)).To(BeZero())
		Expect(b.TellLimits([]HeardLimit{{Life: life, Limit: of(2), Age: time.Minute}}, "z")).To(BeFalse(), "a word that was long on its way")
		Expect(b.TellLimits([]HeardLimit{{Life: fleet.Incarnation{ID: "s", Born: 8}, Limit: of(2)}}, "z")).To(BeTrue())
		Expect(b.TellLimits([]HeardLimit{{Life: fleet.Incarnation{ID: "s", Born: 9}, Limit: of(3), Age: time.Minute}}, "z")).To(BeTrue(), "a later life")
	})
}

// Others are told what this node heard itself, once; a node that asks is told all.
func TestLimitsAreToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		b := newBoard()
		b.TellLimits([]HeardLimit{{Life: fleet.Incarnation{ID: "other"}, Limit: of(4)}}, "x")
		b.says(of(2), request())
		Expect(b.News()).To(Receive())
		own, version := b.OwnLimits(0)
		Expect(own).To(Equal([]HeardLimit{{Life: b.server.Incarnation(), Limit: of(2)}}))
		time.Sleep(time.Second)
		b.says(of(2), request())
		Expect(b.News()).NotTo(Receive())
		own, _ = b.OwnLimits(version)
		Expect(own).To(BeEmpty())
		all, _ := b.Limits(0)
		Expect(all).To(HaveLen(2))
		b.says(Limit{}, Asked{Purpose: PurposeRequest, At: time.Now().Add(time.Millisecond), Ran: true})
		own, _ = b.OwnLimits(version)
		Expect(own).To(HaveLen(1))
		Expect(own[0].Limit).To(BeZero())
	})
}

// Limits are kept while their server may come back, and ends as long as older words may come.
func TestOldLimitsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		b := newBoard()
		b.TellLimits([]HeardLimit{
			{Life: fleet.Incarnation{ID: "gone"}, Limit: of(1)}, {Life: b.server.Incarnation(), Limit: of(1)}, {Life: fleet.Incarnation{ID: "over"}},
		}, "x")
		for _, step := range []struct {
			after time.Duration
			kept  int
		}{{30 * time.Second, 3}, {time.Minute, 2}, {10 * time.Minute, 1}} {
			time.Sleep(step.after)
			b.Tidy(time.Now())
			Expect(b.limits.entries).To(HaveLen(step.kept))
		}
	})
}
