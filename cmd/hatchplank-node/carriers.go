package main

import (
	"slices"
	"sync"
	"time"
)

// carriersTTL is how long the holder's list of carriers is used.
const carriersTTL = 10 * time.Second

// carriers are the nodes through which this node may reach servers: those that the order holder sent or,
// without a list of it, the holder and the nodes that count rate limits. It is safe for concurrent use.
type carriers struct {
	node *node

	mutex      sync.Mutex
	sent       []string
	receivedAt time.Time
}

// set takes the list of the order holder.
func (c *carriers) set(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent, c.receivedAt = addresses, time.Now()
}

// addresses returns the addresses of the nodes.
func (c *carriers) addresses() []string {
	c.mutex.Lock()
	sent := slices.Clone(c.sent)
	isCurrent := time.Since(c.receivedAt) < carriersTTL
	c.mutex.Unlock()
	if !isCurrent || len(sent) == 0 {
		sent = slices.Clone(c.node.limiter.Counters().Addresses)
		if holder, known := c.node.election.Holder(); known && !slices.Contains(sent, holder.Address) {
			sent = append(sent, holder.Address)
		}
	}
	own := c.node.transport.Address()
	return slices.DeleteFunc(sent, func(address string) bool { return address == own })
}
