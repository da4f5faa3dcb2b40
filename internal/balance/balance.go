// Package balance distributes requests over servers whose loads are known only as of some time ago.
//
// If every sender chooses the server with the lowest load, all of them choose the same one until
// the loads are next known. Shares follows the "basic load interpretation" of M. Dahlin,
// "Interpreting Stale Load Information" (IEEE Transactions on Parallel and Distributed Systems 11
// (10), 2000): the requests that arrive meanwhile are distributed so that the loads become equal.
package balance

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a server as seen by the choice.
type Candidate struct {
	// Delay is the time until a response begins if the request is sent now.
	Delay time.Duration
	// PerRequest is how much each further request adds to Delay.
	PerRequest time.Duration
	// Free is the number of further requests that the server starts at once. Each one after them
	// adds PerQueued instead of PerRequest. They have no effect while PerQueued is zero.
	Free      float64
	PerQueued time.Duration
}

// step is a delay from which the total number of requests that all servers take per nanosecond of
// further delay changes.
type step struct {
	delay  float64
	change float64
}

// Shares returns the probability with which each candidate is chosen, given the number of
// requests that other nodes send until the loads are next known. The delays are raised to the
// level at which all these requests are placed, as water fills a basin. Below one request, the
// candidate with the lowest delay has the whole probability. The shares add up to 1; there are none
// without candidates.
func Shares(candidates []Candidate, arrivals float64) []float64 {
	shares := make([]float64, len(candidates))
	if len(candidates) == 0 {
		return shares
	}
	if !(arrivals >= 1) {
		shares[lowest(candidates)] = 1
		return shares
	}
	filled := level(candidates, arrivals)
	total := 0.0
	for i, candidate := range candidates {
		shares[i] = candidate.takenBelow(filled)
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// Pick returns the index that a number from 0 up to 1 draws from the shares, or -1 if there are
// none.
func Pick(shares []float64, random float64) int {
	chosen := -1
	for i, share := range shares {
		if share <= 0 {
			continue
		}
		chosen = i
		if random -= share; random < 0 {
			break
		}
	}
	return chosen
}

// lowest returns the index of the first candidate with the lowest delay.
func lowest(candidates []Candidate) int {
	best := 0
	for i, candidate := range candidates {
		if candidate.Delay < candidates[best].Delay {
			best = i
		}
	}
	return best
}

// level returns the delay, in nanoseconds, below which all candidates together take the requests.
func level(candidates []Candidate, requests float64) float64 {
	// One candidate alone would take all of them below this delay; later steps don't matter.
	highest := candidates[lowest(candidates)].delayAfter(requests)
	steps := make([]step, 0, 2*len(candidates))
	for _, candidate := range candidates {
		delay, each := float64(candidate.Delay), candidate.each()
		if delay >= highest {
			continue
		}
		steps = append(steps, step{delay: delay, change: 1 / each})
		if full := candidate.fullAt(); candidate.PerQueued > 0 && full < highest {
			steps = append(steps, step{delay: full, change: 1/float64(candidate.PerQueued) - 1/each})
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Compare(a.delay, b.delay) })
	placed, perDelay := 0.0, 0.0
	for i, step := range steps {
		if i > 0 {
			added := perDelay * (step.delay - steps[i-1].delay)
			if placed+added >= requests {
				return steps[i-1].delay + (requests-placed)/perDelay
			}
			placed += added
		}
		perDelay += step.change
	}
	return steps[len(steps)-1].delay + (requests-placed)/perDelay
}

// each returns PerRequest in nanoseconds, at least one, so that a candidate whose requests add
// nothing takes all that are left at its delay.
func (c Candidate) each() float64 { return float64(max(c.PerRequest, 1)) }

// fullAt returns the delay once the free slots are taken.
func (c Candidate) fullAt() float64 { return float64(c.Delay) + max(c.Free, 0)*c.each() }

// delayAfter returns the delay, in nanoseconds, after so many further requests.
func (c Candidate) delayAfter(requests float64) float64 {
	free := max(c.Free, 0)
	if c.PerQueued <= 0 || requests <= free {
		return float64(c.Delay) + requests*c.each()
	}
	return c.fullAt() + (requests-free)*float64(c.PerQueued)
}

// takenBelow returns the number of requests that the candidate takes until its delay reaches the
// level.
func (c Candidate) takenBelow(level float64) float64 {
	rise := level - float64(c.Delay)
	if rise <= 0 {
		return 0
	}
	taken := rise / c.each()
	free := max(c.Free, 0)
	if c.PerQueued <= 0 || taken <= free {
		return taken
	}
	return free + (rise-free*c.each())/float64(c.PerQueued)
}
