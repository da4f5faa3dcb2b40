package forward

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against callers who wait until their deadline for a load that nobody has planned, as if it were about to
// end: a load that has not begun takes all of its time.
func TestDelayOfALoadThatNobodyPlansDoesNotShrink(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		flow := b.forwarder.newFlow(request("patient", "n", 20*time.Second), testRoute("patient"))
		flow.waitingSince = time.Now()
		loadTime := loadOverhead + 2*time.Second
		for range 8 {
			time.Sleep(time.Second)
			Expect(b.forwarder.expectedDelay(flow, b.view.Load(), time.Now())).To(BeNumerically(">=", loadTime), "waited for %v", time.Since(flow.waitingSince))
		}
	})
}

// Guards against callers who wait for an overdue load as if it ended at any moment.
func TestOverdueLoadIsExpectedToTakeAsLongAgain(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		flow := b.forwarder.newFlow(request("patient", "n", 20*time.Second), testRoute("patient"))
		b.orders.set("n", time.Now().Add(time.Second))
		for _, passed := range []time.Duration{0, time.Second, 3 * time.Second} {
			time.Sleep(passed)
			ready, _ := b.orders.ReadyAt(flow.demandKey())
			Expect(b.forwarder.expectedDelay(flow, b.view.Load(), time.Now())).To(Equal(time.Until(ready).Abs() + baseDelay))
		}
	})
}

// Guards against counting the time in which a request ran as time in which no load was planned.
func TestRequestThatLosesItsServerBeginsToWait(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		flow := b.forwarder.newFlow(request("patient", "n", 20*time.Second), testRoute("patient"))
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _ = b.forwarder.acquire(ctx, flow)
		Expect(b.forwarder.expectedDelay(flow, b.view.Load(), flow.waitingSince.Add(time.Second))).To(Equal(time.Second + loadOverhead + 2*time.Second))
	})
}
