package clock

import (
	"context"
	"time"
)

// Sleep waits for the period on the system clock, or returns early when ctx ends.
func Sleep(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
