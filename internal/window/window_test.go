package window_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // property tests repeat
	"github.com/hatchplank/hatchplank/internal/window"
)

const length = 8 * time.Second

// TestSumCoversWindow checks that amounts added within the window are counted, and
// that amounts older than the window and two slots are not.
func TestSumCoversWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		sum := window.NewSum(length, now)
		added := map[time.Time]float64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			amount := float64(rapid.IntRange(0, 100).Draw(t, "amount"))
			sum.Add(amount, now)
			added[now] += amount
			lower, upper := 0.0, 0.0
			for at, amount := range added {
				if now.Sub(at) < length {
					lower += amount
				}
				if now.Sub(at) < length+2*length/32 {
					upper += amount
				}
			}
			if total := sum.Total(now); total < lower || total > upper {
				t.Fatalf("total %v, want between %v and %v", total, lower, upper)
			}
		}
	})
}

// TestTimeUntilExpired checks that the amount has expired after the returned time,
// and not one slot earlier.
func TestTimeUntilExpired(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	sum := window.NewSum(length, now)
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		sum.Add(10, now)
	}
	wait := sum.TimeUntilExpired(25, now)
	later := sum
	g.Expect(later.Total(now.Add(wait))).To(BeNumerically("<=", 75))
	later = sum
	g.Expect(later.Total(now.Add(wait - length/32))).To(BeNumerically(">", 75))
	g.Expect(sum.TimeUntilExpired(1000, now)).To(Equal(length))
}
