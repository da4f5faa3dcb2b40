package orders

import "time"

// limitPausePerNode times the number of nodes passes between updates of servers' rate limits to
// all nodes. It is ten times what a message takes (100 of them some 20 ms on 0.4 of a core): 2 s
// with 985 nodes.
const limitPausePerNode = 2 * time.Millisecond

// sendLimits sends the rate limits that servers sent to this node to the counting nodes. The
// holder receives them with the report that follows.
func (l *Link) sendLimits() {
	l.mutex.Lock()
	limits, version := l.config.Notices.LocalLimits(l.limitsSent)
	l.limitsSent = version
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

// pushLimits sends all nodes the servers' rate limits that changed. Otherwise each node would learn
// of a limit only by sending the server a request above it: 985 requests with 985 nodes.
func (h *Holder) pushLimits(term *Term, now time.Time) {
	live := h.demand.liveNodes(now)
	h.mutex.Lock()
	after := h.limitsPushed
	limits, version := h.config.Notices.Limits(after)
	due := version != after && now.Sub(h.limitsPushedAt) >= time.Duration(len(live))*limitPausePerNode
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
