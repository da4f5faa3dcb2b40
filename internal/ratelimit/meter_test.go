package ratelimit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against callers who are told to come back at a time that the limit has given to others, and against
// times that are kept for callers who have left.
func TestRefusedCallersComeBackAsTheLimitFreesCapacity(t *testing.T) {
	g := NewWithT(t)
	limit, now := Limit{Rate: 1, Window: time.Second, Paced: true}, time.Now()
	m := newMeter(limit, 0, now)
	refuse := func(timeLeft time.Duration) time.Duration {
		verdict := m.take(limit, TakeRequest{Cost: 1, TimeLeft: timeLeft}, now)
		g.Expect(verdict.Allowed).To(BeFalse())
		return verdict.RetryAfter
	}
	first := refuse(5 * time.Second)
	for place := 1; place <= 3; place++ {
		g.Expect(refuse(5 * time.Second)).To(Equal(first + time.Duration(place)*time.Second))
	}
	for range 1000 {
		g.Expect(refuse(2*time.Second)).To(Equal(2*time.Second), "no time within that is left")
	}
	g.Expect(refuse(5 * time.Second)).To(Equal(first + 4*time.Second))
	g.Expect(refuse(0)).To(Equal(limit.Window), "of an earlier build")
}
