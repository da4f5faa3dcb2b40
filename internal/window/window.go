// Package window sums amounts over a sliding time window.
package window

import "time"

// slotCount is the number of slots into which a window is divided. A slot expires
// as a whole.
const slotCount = 32

// Sum is the sum of the amounts added within the last window, and within up to one
// slot before it. Slots are counted from the start on the monotonic clock, since the
// wall clock may jump. A Sum is not safe for concurrent use.
type Sum struct {
	start      time.Time
	slotLength time.Duration
	amounts    [slotCount + 1]float64
	newest     int64
}

// NewSum returns an empty sum over windows of the given length. Begin is the time
// from which slots are counted. A slot is at least 1 ms long.
func NewSum(length time.Duration, begin time.Time) Sum {
	return Sum{start: begin, slotLength: max(length/slotCount, time.Millisecond)}
}

// advance makes the slot of now the newest one, and clears the slots since the
// previous newest one.
func (s *Sum) advance(now time.Time) {
	current := max(int64(now.Sub(s.start)/s.slotLength), 0)
	if current-s.newest > int64(len(s.amounts)) {
		s.amounts = [slotCount + 1]float64{}
		s.newest = current
		return
	}
	for s.newest < current {
		s.newest++
		*s.amountAt(s.newest) = 0
	}
}

func (s *Sum) amountAt(slot int64) *float64 { return &s.amounts[slot%int64(len(s.amounts))] }

// Add adds an amount, which may be negative.
func (s *Sum) Add(amount float64, now time.Time) {
	s.advance(now)
	*s.amountAt(s.newest) += amount
}

// Total returns the sum of the amounts in the window.
func (s *Sum) Total(now time.Time) float64 {
	s.advance(now)
	total := 0.0
	for _, amount := range s.amounts {
		total += amount
	}
	return total
}

// Amount is an amount in a Sum and its age.
type Amount struct {
	// Age is the time since the end of the slot that the amount is in; 0 for the newest slot.
	Age    time.Duration
	Amount float64
}

// Amounts returns the amounts in the window, the oldest first.
func (s *Sum) Amounts(now time.Time) []Amount {
	s.advance(now)
	var amounts []Amount
	for slot := max(s.newest-slotCount, 0); slot <= s.newest; slot++ {
		if amount := *s.amountAt(slot); amount != 0 {
			end := s.start.Add(time.Duration(slot+1) * s.slotLength)
			amounts = append(amounts, Amount{Age: max(now.Sub(end), 0), Amount: amount})
		}
	}
	return amounts
}

// TimeUntilExpired returns the time until the given amount has expired from the
// window if nothing is added, or the window's length if its total is less.
func (s *Sum) TimeUntilExpired(amount float64, now time.Time) time.Duration {
	s.advance(now)
	for oldest := max(s.newest-slotCount, 0); oldest <= s.newest; oldest++ {
		amount -= *s.amountAt(oldest)
		if amount <= 0 {
			expiry := s.start.Add(time.Duration(oldest+slotCount+1) * s.slotLength)
			return max(expiry.Sub(now), 0)
		}
	}
	return slotCount * s.slotLength
}
