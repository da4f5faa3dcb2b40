package orders

import "time"

// limitPauseEach, for each node, is left between tellings of servers' limits to all nodes: ten
// times what a message takes (100 of them some 20 ms on 0.4 of a core), 2 s with 985 nodes.
const limitPauseEach = 2 * time.Millisecond

// spreadLimits tells the nodes that count what this one heard of servers' limits. The holder
// learns of it with the report that follows.
func (l *Link) spreadLimits() {
	l.mutex.Lock()
	limits, version := l.config.Notices.OwnLimits(l.limitsSpread)
	l.limitsSpread = version
	l.mutex.Unlock()
	if len(limits) == 0 {
		return
	}
	for _, address := range l.config.Counters().Addresses {
		if address != l.config.Address {
			l.config.Transport.Send(address, Update{Limits: limits})
		}
	}
}

// pushLimits tells all nodes of the servers' limits that changed. Each node that learns of one
// by itself has sent the server something it did not want: 985 nodes 985 requests.
func (h *Holder) pushLimits(term *Term, now time.Time) {
	live := h.demand.live(now)
	h.mutex.Lock()
	after := h.limitsPushed
	limits, version := h.config.Notices.Limits(after)
	due := version != after && now.Sub(h.limitsPushedAt) >= time.Duration(len(live))*limitPauseEach
	if due {
		h.limitsPushed, h.limitsPushedAt = version, now
	}
	h.mutex.Unlock()
	if !due {
		return
	}
	update := Update{Token: term.Token, OrdersIn: term.ordersIn(now), Limits: limits, LimitsBase: after, LimitsVersion: version}
	for address := range live {
		h.config.Push(address, update)
	}
}
