package orders

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

// hearingPeriods of reports pass in a term before the nodes that count limits are
// chosen, so that a new holder has heard of those that live.
const hearingPeriods = 2

// countersLost is how long a holder that does not hear of more than half of the nodes that
// count leaves them as they are: longer than cuts and restarts of nodes last, an estimate. They
// may hear each other, and the holder be the one that is cut off. Without it such a holder, which
// still reached the store, named itself alone, gave a server's whole limit to its own callers,
// and left the other nodes to their shares besides: 11 requests in 4 s at 0.87 a second, of
// which 10 are tolerated (6 nodes in virtual time).
const countersLost = 30 * time.Second

// chooseCounters chooses the nodes that count limits for all, of tenants and of servers, among those that report, and
// tells all of them when these change.
func (h *Holder) chooseCounters(term *Term, now time.Time) {
	live := h.demand.live(now)
	living := make([]string, 0, len(live))
	for address := range live {
		living = append(living, address)
	}
	h.mutex.Lock()
	heard := now.Sub(h.began) >= hearingPeriods*reportPeriodOf(h.demand.nodeCount())
	earlier := h.counters
	if len(earlier.Addresses) == 0 {
		earlier = h.config.Counters()
	}
	if hearsMost(earlier.Addresses, live) {
		h.countersHeardAt = now
	}
	chosen := ratelimit.Choose(earlier.Addresses, living)
	mayChange := h.countersHeardAt.Equal(now) || now.Sub(h.countersHeardAt) >= countersLost
	changed := heard && mayChange && len(chosen) > 0 && !slices.Equal(chosen, h.counters.Addresses)
	if changed {
		h.counters = ratelimit.Counters{Token: term.Token, Version: h.counters.Version + 1, Addresses: chosen}
	}
	update := Update{Token: term.Token, OrdersIn: term.ordersIn(now), Counters: h.counters}
	h.mutex.Unlock()
	h.config.SavedCounters.save(update.Counters, now)
	if !changed {
		return
	}
	for address := range live {
		h.config.Push(address, update)
	}
}

// hearsMost reports whether more than half of the nodes that count report.
func hearsMost(counting []string, live map[string]string) bool {
	heard := 0
	for _, address := range counting {
		if _, reports := live[address]; reports {
			heard++
		}
	}
	return len(counting) == 0 || 2*heard > len(counting)
}

// ReportingNodes returns the addresses of the nodes that report to this one, while it holds
// the orders.
func (h *Holder) ReportingNodes() []string {
	if h.config.Election.Term() == nil {
		return nil
	}
	var addresses []string
	for address := range h.demand.live(time.Now()) {
		addresses = append(addresses, address)
	}
	return addresses
}

// countersUnknownTo returns the nodes that count limits, if the reporting node does
// not know them yet.
func (h *Holder) countersUnknownTo(report DemandReport) ratelimit.Counters {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if report.Counters == h.counters.Version && report.CountersToken == h.counters.Token {
		return ratelimit.Counters{}
	}
	return h.counters
}
