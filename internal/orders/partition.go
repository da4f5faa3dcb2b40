package orders

import (
	"math/rand/v2"
	"time"
)

// maxCarriers is the number of carriers that a node is sent.
const maxCarriers = 16

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

// carriers returns the addresses of the nodes, but for the one with a name, that reach the servers and
// carry connections for others.
func (t *demandTracker) carriers(except string, now time.Time) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var addresses []string
	for name, node := range t.validReports(now) {
		if name != except && node.report.CarriesConnections && !node.report.PathsLost {
			addresses = append(addresses, node.report.Address)
		}
	}
	return addresses
}
