package notice

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// request is something that is sent now.
func request() Asked { return Asked{Purpose: PurposeRequest, At: time.Now()} }

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
		// Answers to orders and questions need not name it.
		time.Sleep(time.Second)
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
