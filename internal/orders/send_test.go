package orders

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// slowEngines need connectTime to connect, and count the orders that are sent then.
type slowEngines struct {
	Engines
	connectTime time.Duration
	sent        int
}

func (e *slowEngines) Order(_ context.Context, order Order) (Reply, error) {
	time.Sleep(e.connectTime)
	if order.MaySend != nil && !order.MaySend() {
		return 0, errors.Join(ErrNotSent, errors.New("the term has ended"))
	}
	e.sent++
	return ReplyAccepted, nil
}

// Guards against an order that is sent after the end of its term, which came while a connection was opened.
func TestOrderIsNotSentAfterItsTerm(t *testing.T) {
	for name, test := range map[string]struct {
		lease time.Duration
		sent  int
	}{
		"term ends while connecting": {250 * time.Millisecond, 0},
		"term ends later":            {350 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				engines := &slowEngines{connectTime: 300 * time.Millisecond}
				holder := holderOf(fleet.NewView().Load(), engines, func(string, Update) {})
				term := newTerm(1, time.Now(), time.Now().Add(test.lease), true)
				_, _, err := holder.send(t.Context(), term, Order{Server: &fleet.Server{ID: "s", Pool: "p"}, Holder: "h", Token: 1})
				g.Expect(engines.sent).To(Equal(test.sent))
				g.Expect(errors.Is(err, ErrNotSent)).To(Equal(test.sent == 0))
			})
		})
	}
}
