package orders

import (
	"time"
)

// update returns the placement changes after a version, with the estimates for the models.
func (h *Holder) update(term *Term, after uint64, models []modelKey, now time.Time) Update {
	reporting := h.demand.liveCount(now)
	nodes := h.countNodes(reporting, now)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return Update{
		Token: term.Token, Version: h.servers.version, Base: after, Nodes: nodes, Reporting: reporting, OrdersIn: term.ordersIn(now),
		Servers: h.servers.statesAfter(after), Coming: h.estimates.states(models, now),
	}
}

// pushChange notifies nodes that a model or an adapter of it was loaded, or is being unloaded
// at a server. If it can't notify all nodes now, it notifies those that request the model.
func (h *Holder) pushChange(target *entry, model string) {
	now := time.Now()
	if h.push(now) {
		return
	}
	h.mutex.Lock()
	key, term := modelKey{target.server.Pool, model}, h.term
	update := Update{Servers: []ServerState{target.state(target.server.ID)}}
	h.mutex.Unlock()
	if term == nil {
		return
	}
	update.Token, update.OrdersIn = term.Token, term.ordersIn(now)
	for _, address := range h.demand.nodesRequesting(key, now) {
		h.config.Push(address, update)
	}
}

// push sends all nodes the changes since the last push, and reports whether it did. With many
// nodes it collects changes, which a later tick pushes; with more than maxPushedNodes it
// never pushes to all.
func (h *Holder) push(now time.Time) bool {
	live := h.demand.liveNodes(now)
	pause := time.Duration(len(live)) * pushPausePerNode
	h.mutex.Lock()
	term, after := h.term, h.pushedVersion
	due := term != nil && h.servers.version != after && now.Sub(h.pushedAt) >= pause && len(live) <= maxPushedNodes
	if due {
		h.pushedVersion, h.pushedAt = h.servers.version, now
	}
	h.mutex.Unlock()
	if !due {
		return false
	}
	update := h.update(term, after, nil, now)
	for address := range live {
		h.config.Push(address, update)
	}
	return true
}

// pushEstimates sends the changed estimates to the nodes whose callers wait for the models.
func (h *Holder) pushEstimates(term *Term, changed []modelKey, now time.Time) {
	if len(changed) == 0 {
		return
	}
	waiting := h.demand.waitingNodes(changed, now)
	for address, models := range waiting {
		h.mutex.Lock()
		update := Update{Token: term.Token, OrdersIn: term.ordersIn(now), Coming: h.estimates.states(models, now)}
		h.mutex.Unlock()
		h.config.Push(address, update)
	}
}
