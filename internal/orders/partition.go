package orders

import (
	"math/rand/v2"
	"time"
)

const (
	// maxLostShare is the share of the servers with models that a holder may not reach and still keep
	// its lease.
	maxLostShare = 0.5
	// yieldAbstention is how long a node that gave up its lease does not campaign: longer than another
	// node takes to become the holder.
	yieldAbstention = 5 * time.Second
	// partitionedCampaignWait is how much longer than others a node waits before it campaigns while it
	// does not reach most servers.
	partitionedCampaignWait = 1500 * time.Millisecond
	// maxCarriers is the number of carriers that a node is sent.
	maxCarriers = 16
)

// yieldIfPartitioned ends this node's term if it reaches less of the servers than another node that
// could become the holder.
func (h *Holder) yieldIfPartitioned(term *Term, now time.Time) {
	if h.config.LostShare() >= maxLostShare && h.demand.hasSuccessor(h.config.Name, now) {
		go h.config.Election.Yield(term)
	}
}

// carriersFor returns some nodes through which the node at an address may reach servers, at random.
func (h *Holder) carriersFor(address string, now time.Time) []string {
	var carriers []string
	for _, carrier := range h.demand.carriers("", now) {
		if carrier != address {
			carriers = append(carriers, carrier)
		}
	}
	rand.Shuffle(len(carriers), func(i, j int) { carriers[i], carriers[j] = carriers[j], carriers[i] })
	return carriers[:min(len(carriers), maxCarriers)]
}

// hasSuccessor reports whether a node other than the one with a name reaches the servers with models. It
// may have lost paths to others. Earlier builds tell only whether they have lost any.
func (t *demandTracker) hasSuccessor(except string, now time.Time) bool {
	successors := t.carriersThat(except, now, func(report DemandReport) bool { return report.ReachesModelServers || !report.PathsLost })
	return len(successors) > 0
}

// carriers returns the addresses of the nodes, but for the one with a name, that reach the servers and
// carry connections for others.
func (t *demandTracker) carriers(except string, now time.Time) []string {
	return t.carriersThat(except, now, func(report DemandReport) bool { return !report.PathsLost })
}

// carriersThat returns the addresses of the nodes, but for the one with a name, that carry connections for
// others and whose report satisfies the condition.
func (t *demandTracker) carriersThat(except string, now time.Time, condition func(DemandReport) bool) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var addresses []string
	for name, node := range t.validReports(now) {
		if name != except && node.report.CarriesConnections && condition(node.report) {
			addresses = append(addresses, node.report.Address)
		}
	}
	return addresses
}

// Yield ends a term of this node with a handover, and keeps the node from campaigning for a while. It has
// no effect if the term is not the current one.
func (e *Election) Yield(term *Term) {
	e.mutex.Lock()
	if e.term != term {
		e.mutex.Unlock()
		return
	}
	lease := e.lease
	e.term = nil
	e.abstainsUntil = time.Now().Add(yieldAbstention)
	e.mutex.Unlock()
	e.config.Logger.Warn().Int64("token", term.Token).Float64("lost_share", e.config.LostShare()).Msg("order holder does not reach the servers and gives up its lease")
	e.giveUp(term, lease)
}
