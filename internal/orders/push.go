package orders

import (
	"time"
)

func (h *Holder) update(term *Term, after uint64, models []comingKey, now time.Time) Update {
	nodes := len(h.demand.live(now))
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return Update{
		Token: term.Token, Version: h.ledger.version, Base: after, Nodes: nodes, OrdersIn: term.ordersIn(now),
		Servers: h.ledger.states(after), Coming: h.promises.states(models, now),
	}
}

// tellChange tells the nodes of a model that is there, or of which an adapter is, or that
// goes: all of them, or those that ask for the model.
func (h *Holder) tellChange(target *entry, model string) {
	now := time.Now()
	if h.push(now) {
		return
	}
	h.mutex.Lock()
	key, term := comingKey{target.server.Pool, model}, h.term
	update := Update{Servers: []ServerState{target.state(target.server.ID)}}
	h.mutex.Unlock()
	if term == nil {
		return
	}
	update.Token, update.OrdersIn = term.Token, term.ordersIn(now)
	for _, address := range h.demand.asking(key, now) {
		h.config.Push(address, update)
	}
}

// push tells all nodes what changed since the last push, and reports whether it did.
// With many nodes it waits for more changes, which the next plan pushes, and with more
// than toldAll it tells none.
func (h *Holder) push(now time.Time) bool {
	live := h.demand.live(now)
	pause := time.Duration(len(live)) * pushPauseEach
	h.mutex.Lock()
	term, after := h.term, h.pushed
	due := term != nil && h.ledger.version != after && now.Sub(h.pushedAt) >= pause && len(live) <= toldAll
	if due {
		h.pushed, h.pushedAt = h.ledger.version, now
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

// pushPromises tells the nodes that wait for models when these will be there.
func (h *Holder) pushPromises(term *Term, changed []comingKey, now time.Time) {
	if len(changed) == 0 {
		return
	}
	waiting := h.demand.waitingNodes(changed, now)
	for address, models := range waiting {
		h.mutex.Lock()
		update := Update{Token: term.Token, OrdersIn: term.ordersIn(now), Coming: h.promises.states(models, now)}
		h.mutex.Unlock()
		h.config.Push(address, update)
	}
}
