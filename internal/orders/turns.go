package orders

import (
	"sync"
	"time"
)

// turns keep when each server was last ordered, so that a holder that ends in
// order can tell its successor, which then waits only at servers that were ordered
// lately.
type turns struct {
	mutex sync.Mutex
	// wait between the orders of two holders to a server.
	wait time.Duration
	// inherited is when a predecessor may have ordered a server last.
	inherited map[string]time.Time
	// ordered is when this holder's last order to a server had ended, underWay how
	// many have not.
	ordered  map[string]time.Time
	underWay map[string]int
	// completeFrom is when all that may have been ordered within a wait is known.
	completeFrom time.Time
}

func newTurns() *turns {
	return &turns{inherited: map[string]time.Time{}, ordered: map[string]time.Time{}, underWay: map[string]int{}}
}

// over reports whether the predecessors' turn at the server is over.
func (t *turns) over(server string, now time.Time) bool { return t.remaining(server, now) <= 0 }

// remaining is the time until the predecessors' turn at the server is over.
func (t *turns) remaining(server string, now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	last, known := t.inherited[server]
	if !known {
		return 0
	}
	return last.Add(t.wait).Sub(now)
}

func (t *turns) begin(server string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.underWay[server]++
}

func (t *turns) done(server string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.underWay[server]--
	if t.underWay[server] == 0 {
		delete(t.underWay, server)
	}
	t.ordered[server] = now
}

// recent tells for each server that was ordered within a wait how long ago that
// was, in milliseconds, rounded down. It returns false if some orders of before
// this holder's time may be missing.
func (t *turns) recent(now time.Time) (ages map[string]int64, complete bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	ages = map[string]int64{}
	for _, times := range []map[string]time.Time{t.inherited, t.ordered} {
		for server, at := range times {
			if age := now.Sub(at); age < t.wait {
				note(ages, server, max(age.Milliseconds(), 0))
			}
		}
	}
	for server := range t.underWay {
		ages[server] = 0
	}
	return ages, !now.Before(t.completeFrom)
}

// note keeps the least age.
func note(ages map[string]int64, server string, age int64) {
	if before, known := ages[server]; !known || age < before {
		ages[server] = age
	}
}
