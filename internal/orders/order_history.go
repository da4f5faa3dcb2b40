package orders

import (
	"sync"
	"time"
)

// orderHistory records when each server was last sent an order. A holder that resigns passes it
// to its successor, which then has to wait only at servers that were sent orders recently. It
// is safe for concurrent use.
type orderHistory struct {
	mutex sync.Mutex
	// handoverPeriod is the minimum time between orders of two holders to the same server,
	// with leaseMargin added.
	handoverPeriod time.Duration
	// inherited is when each server may have been sent the last order of a predecessor.
	inherited map[string]time.Time
	// completed is when this holder's last order to a server ended, and inFlight counts the
	// orders to a server that have not.
	completed map[string]time.Time
	inFlight  map[string]int
	// completeFrom is the time from which on the history covers all orders of the last
	// handover period.
	completeFrom time.Time
}

func newOrderHistory() *orderHistory {
	return &orderHistory{inherited: map[string]time.Time{}, completed: map[string]time.Time{}, inFlight: map[string]int{}}
}

// mayOrder reports whether the predecessors' handover period at the server has passed.
func (h *orderHistory) mayOrder(server string, now time.Time) bool {
	return h.remaining(server, now) <= 0
}

// remaining returns the time until the predecessors' handover period at the server has passed;
// zero or less if it has.
func (h *orderHistory) remaining(server string, now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	last, known := h.inherited[server]
	if !known {
		return 0
	}
	return last.Add(h.handoverPeriod).Sub(now)
}

// begin records that an order is being sent to a server.
func (h *orderHistory) begin(server string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.inFlight[server]++
}

// end records that an order to a server was answered, or is not waited for any more.
func (h *orderHistory) end(server string, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.removeInFlight(server)
	h.completed[server] = now
}

// cancel records that an order to a server was not sent.
func (h *orderHistory) cancel(server string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.removeInFlight(server)
}

// removeInFlight removes one order to a server. The lock must be held.
func (h *orderHistory) removeInFlight(server string) {
	h.inFlight[server]--
	if h.inFlight[server] == 0 {
		delete(h.inFlight, server)
	}
}

// recent returns the age of the last order, in milliseconds rounded down, of each server that
// was sent one within the handover period. It returns false if orders from before this holder's
// term may be missing.
func (h *orderHistory) recent(now time.Time) (ages map[string]int64, complete bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	ages = map[string]int64{}
	for _, times := range []map[string]time.Time{h.inherited, h.completed} {
		for server, at := range times {
			if age := now.Sub(at); age < h.handoverPeriod {
				noteAge(ages, server, max(age.Milliseconds(), 0))
			}
		}
	}
	for server := range h.inFlight {
		ages[server] = 0
	}
	return ages, !now.Before(h.completeFrom)
}

// noteAge stores the age of an order to a server unless a lower one is stored.
func noteAge(ages map[string]int64, server string, age int64) {
	if before, known := ages[server]; !known || age < before {
		ages[server] = age
	}
}
