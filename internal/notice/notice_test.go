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

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // property tests repeat
)

// board is a board with a server "s", and what it counted.
type board struct {
	*Board
	view             *fleet.View
	server           *fleet.Server
	counted, despite map[Kind]int
	output           bytes.Buffer
}

func newBoard() *board {
	b := &board{view: fleet.NewView(), server: &fleet.Server{ID: "s", Pool: "p"}, counted: map[Kind]int{}, despite: map[Kind]int{}}
	b.view.ReplaceServers(map[string]*fleet.Server{"s": b.server})
	b.Board = NewBoard(Config{
		View: b.view, Counted: func(kind Kind) { b.counted[kind]++ }, Despite: func(kind Kind) { b.despite[kind]++ },
		Logger: zerolog.New(&b.output),
	})
	return b
}

// Servers ask for backoffs in any order and length: none ends before the last of them does.
func TestLongestBackoffCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		b := newBoard()
		now, latest := time.Now(), time.Time{}
		for range rapid.IntRange(1, 20).Draw(t, "words") {
			until := now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			b.backOff(b.server.Incarnation(), until)
			if until.After(latest) {
				latest = until
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "step")) * time.Millisecond)
			b.Tidy(now)
			if now.Before(latest) {
				g.Expect(b.BackoffUntil(b.server)).To(Equal(latest))
			}
		}
		b.Tidy(latest)
		g.Expect(b.BackoffUntil(b.server)).To(BeZero())
		g.Expect(b.backoffs).To(BeEmpty())
	})
}

func TestWhatIsSentInSpiteOfAWordIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		b := newBoard()
		b.Heard(b.server, Notice{}, Asked{})
		b.Sending(b.server, "request")
		Expect(b.despite).To(BeEmpty())
		Expect(b.output.String()).To(BeEmpty())
		b.Heard(b.server, Notice{RetryAfter: time.Second}, Asked{})
		b.Sending(b.server, "order")
		Expect(b.despite).To(Equal(map[Kind]int{KindRetryAfter: 1}))
		time.Sleep(time.Second)
		b.Sending(b.server, "order")
		Expect(b.despite).To(Equal(map[Kind]int{KindRetryAfter: 1}))
		b.Heard(b.server, Notice{Leaving: true, Unreadable: "soon"}, Asked{})
		b.Sending(b.server, "request")
		Expect(b.despite).To(Equal(map[Kind]int{KindRetryAfter: 1, KindLeaving: 1}))
		Expect(b.counted).To(Equal(map[Kind]int{KindRetryAfter: 1, KindLeaving: 1, KindUnreadable: 1}))
		Expect(b.output.String()).To(ContainSubstring(`"purpose":"order","server_leaving":false,"backoff_left_ms":1000`))
		Expect(b.output.String()).To(ContainSubstring(`"unreadable":"soon"`))
	})
}

// A server that starts again under its ID has not asked for anything.
func TestBackoffEndsWithItsLife(t *testing.T) {
	RegisterTestingT(t)
	b := newBoard()
	until := time.Now().Add(time.Hour)
	first, second := &fleet.Server{ID: "s", Born: 5}, &fleet.Server{ID: "s", Born: 6}
	b.backOff(first.Incarnation(), until)
	Expect(b.BackoffUntil(first)).To(Equal(until))
	Expect(b.BackoffUntil(second)).To(BeZero())
	// A record that was passed on without its birth.
	Expect(b.BackoffUntil(b.server)).To(Equal(until))
	b.backOff(second.Incarnation(), until.Add(-time.Minute))
	Expect(b.BackoffUntil(second)).To(Equal(until.Add(-time.Minute)))
	// A late answer of the first life.
	b.backOff(first.Incarnation(), until.Add(time.Hour))
	Expect(b.BackoffUntil(second)).To(Equal(until.Add(-time.Minute)))
}
