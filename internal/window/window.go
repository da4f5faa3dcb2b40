// Package window sums amounts over the last stretch of time.
package window

import "time"

// slots divide a window; the oldest one leaves as a whole.
const slots = 32

// Sum of what was added within the last window, and up to a slot before it. Slots
// are counted from its beginning on the steady clock, since the time of day may jump.
type Sum struct {
	begin   time.Time
	slot    time.Duration
	amounts [slots + 1]float64
	newest  int64
}

// NewSum returns an empty sum that begins at the time.
func NewSum(length time.Duration, begin time.Time) Sum {
	return Sum{begin: begin, slot: max(length/slots, time.Millisecond)}
}

func (s *Sum) advance(now time.Time) {
	current := max(int64(now.Sub(s.begin)/s.slot), 0)
	if current-s.newest > int64(len(s.amounts)) {
		s.amounts = [slots + 1]float64{}
		s.newest = current
		return
	}
	for s.newest < current {
		s.newest++
		*s.at(s.newest) = 0
	}
}

func (s *Sum) at(slot int64) *float64 { return &s.amounts[slot%int64(len(s.amounts))] }

// Add adds an amount, which may be below zero.
func (s *Sum) Add(amount float64, now time.Time) {
	s.advance(now)
	*s.at(s.newest) += amount
}

// Total of the window.
func (s *Sum) Total(now time.Time) float64 {
	s.advance(now)
	total := 0.0
	for _, amount := range s.amounts {
		total += amount
	}
	return total
}

// TimeUntilExpired is the time until so much has left the window, if nothing is added; the
// whole window if there is less.
func (s *Sum) TimeUntilExpired(amount float64, now time.Time) time.Duration {
	s.advance(now)
	for oldest := max(s.newest-slots, 0); oldest <= s.newest; oldest++ {
		amount -= *s.at(oldest)
		if amount <= 0 {
			gone := s.begin.Add(time.Duration(oldest+slots+1) * s.slot)
			return max(gone.Sub(now), 0)
		}
	}
	return slots * s.slot
}
