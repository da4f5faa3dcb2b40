package notice

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/fleet"

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // fixes the seed
)

// fixture is a registry with a server "s", and the counts and log lines that it produced.
type fixture struct {
	*Registry
	view                 *fleet.View
	server               *fleet.Server
	noticed, disregarded map[Kind]int
	output               bytes.Buffer
}

func newFixture() *fixture {
	f := &fixture{view: fleet.NewView(), server: &fleet.Server{ID: "s", Pool: "p"}, noticed: map[Kind]int{}, disregarded: map[Kind]int{}}
	f.view.ReplaceServers(map[string]*fleet.Server{"s": f.server})
	f.Registry = NewRegistry(Config{
		View: f.view, OnNotice: func(kind Kind) { f.noticed[kind]++ }, OnDisregarded: func(kind Kind) { f.disregarded[kind]++ },
		Logger: zerolog.New(&f.output),
	})
	return f
}

// Servers ask for backoffs in any order and length: the one that ends last holds.
func TestBackoffThatEndsLastWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		f := newFixture()
		now, latest := time.Now(), time.Time{}
		for range rapid.IntRange(1, 20).Draw(t, "words") {
			until := now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			f.extendBackoff(f.server.Incarnation(), until)
			if until.After(latest) {
				latest = until
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "step")) * time.Millisecond)
			f.Prune(now)
			if now.Before(latest) {
				g.Expect(f.BackoffUntil(f.server)).To(Equal(latest))
			}
		}
		f.Prune(latest)
		g.Expect(f.BackoffUntil(f.server)).To(BeZero())
		g.Expect(f.backoffs).To(BeEmpty())
	})
}

func TestSendsDespiteANoticeAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		f := newFixture()
		f.RecordNotice(f.server, Notice{}, Call{})
		f.RecordSend(f.server, "request")
		Expect(f.disregarded).To(BeEmpty())
		Expect(f.output.String()).To(BeEmpty())
		f.RecordNotice(f.server, Notice{RetryAfter: time.Second}, Call{})
		f.RecordSend(f.server, "order")
		Expect(f.disregarded).To(Equal(map[Kind]int{KindRetryAfter: 1}))
		time.Sleep(time.Second)
		f.RecordSend(f.server, "order")
		Expect(f.disregarded).To(Equal(map[Kind]int{KindRetryAfter: 1}))
		f.RecordNotice(f.server, Notice{Leaving: true, Unreadable: "soon"}, Call{})
		f.RecordSend(f.server, "request")
		Expect(f.disregarded).To(Equal(map[Kind]int{KindRetryAfter: 1, KindLeaving: 1}))
		Expect(f.noticed).To(Equal(map[Kind]int{KindRetryAfter: 1, KindLeaving: 1, KindUnreadable: 1}))
		Expect(f.output.String()).To(ContainSubstring(`"purpose":"order","server_leaving":false,"backoff_left_ms":1000`))
		Expect(f.output.String()).To(ContainSubstring(`"unreadable":"soon"`))
	})
}

// A server that restarts under the same ID has not asked for a backoff yet.
func TestBackoffEndsWithItsIncarnation(t *testing.T) {
	RegisterTestingT(t)
	f := newFixture()
	until := time.Now().Add(time.Hour)
	first, second := &fleet.Server{ID: "s", Born: 5}, &fleet.Server{ID: "s", Born: 6}
	f.extendBackoff(first.Incarnation(), until)
	Expect(f.BackoffUntil(first)).To(Equal(until))
	Expect(f.BackoffUntil(second)).To(BeZero())
	// A record that was passed on without its start time.
	Expect(f.BackoffUntil(f.server)).To(Equal(until))
	f.extendBackoff(second.Incarnation(), until.Add(-time.Minute))
	Expect(f.BackoffUntil(second)).To(Equal(until.Add(-time.Minute)))
	// A late response of the first incarnation.
	f.extendBackoff(first.Incarnation(), until.Add(time.Hour))
	Expect(f.BackoffUntil(second)).To(Equal(until.Add(-time.Minute)))
}
