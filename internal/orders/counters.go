package orders

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

// collectPeriods is the number of report periods at the start of a term before the counting
// nodes are chosen, so that a new holder has reports from all live nodes.
const collectPeriods = 2

// countersTimeout is how long a holder without reports from more than half of the counting nodes
// leaves them unchanged: an estimate, longer than partitions and restarts of nodes last. The
// counting nodes may reach each other, and the holder may be the isolated one. Without this
// time-out, such a holder, which still reached the store, chose itself as the only counting
// node and gave a server's whole rate limit to its own callers, while the other nodes used
// their shares as well: 11 requests in 4 s at 0.87 a second, of which 10 are tolerated (6 nodes
// in virtual time).
const countersTimeout = 30 * time.Second

// chooseCounters chooses, among the reporting nodes, those that count the rate limits of tenants
// and servers for all nodes. It saves the choice in the store, and sends it to all reporting
// nodes when it changes.
func (h *Holder) chooseCounters(term *Term, now time.Time) {
	live := h.demand.liveNodes(now)
	addresses := make([]string, 0, len(live))
	for address := range live {
		addresses = append(addresses, address)
	}
	h.mutex.Lock()
	collected := h.hasCollected(now)
	earlier, version := h.counters, h.counters.Version
	// Another writer's record with the token of this term: a newer list has to replace it.
	known := h.config.Counters()
	foreign := known.Token == term.Token && known.Version > version
	if foreign {
		version = known.Version
	}
	if len(earlier.Addresses) == 0 {
		earlier = known
	}
	if majorityReports(earlier.Addresses, live) {
		h.countersMajorityAt = now
	}
	chosen := ratelimit.ChooseCounters(earlier.Addresses, addresses)
	mayChange := h.countersMajorityAt.Equal(now) || now.Sub(h.countersMajorityAt) >= countersTimeout
	changed := collected && mayChange && len(chosen) > 0 && (foreign || !slices.Equal(chosen, h.counters.Addresses))
	if changed {
		h.counters = ratelimit.Counters{Token: term.Token, Version: version + 1, Addresses: chosen}
	}
	update := Update{Token: term.Token, OrdersIn: term.ordersIn(now), Counters: h.counters}
	h.mutex.Unlock()
	h.config.SavedCounters.save(update.Counters, h.countNodes(len(live), now), now)
	if !changed {
		return
	}
	for address := range live {
		h.config.Push(address, update)
	}
}

// hasCollected reports whether all live nodes had time to report in this term. The lock must be held.
func (h *Holder) hasCollected(now time.Time) bool {
	return now.Sub(h.termStart) >= collectPeriods*reportPeriodOf(h.demand.nodeCount())
}

// countNodes returns the number of nodes that share limits, of which some report now; 0 while it is not
// known.
func (h *Holder) countNodes(reporting int, now time.Time) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.hasCollected(now) && !h.size.isKnown() {
		return 0
	}
	return h.size.count(reporting, now)
}

// majorityReports reports whether more than half of the counting nodes report, or there are none.
func majorityReports(counting []string, live map[string]string) bool {
	reporting := 0
	for _, address := range counting {
		if _, reports := live[address]; reports {
			reporting++
		}
	}
	return len(counting) == 0 || 2*reporting > len(counting)
}

// ReportingNodes returns the addresses of the nodes that report to this one; nil if this node has
// no term.
func (h *Holder) ReportingNodes() []string {
	if h.config.Election.Term() == nil {
		return nil
	}
	var addresses []string
	for address := range h.demand.liveNodes(time.Now()) {
		addresses = append(addresses, address)
	}
	return addresses
}

// countersFor returns the counting nodes if the reporting node does not know them yet, and
// otherwise none.
func (h *Holder) countersFor(report DemandReport) ratelimit.Counters {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if report.Counters == h.counters.Version && report.CountersToken == h.counters.Token {
		return ratelimit.Counters{}
	}
	return h.counters
}
