package main

import (
	"slices"
	"sync"
	"time"
)

// carriersTTL is how long the holder's list of carriers is used.
const carriersTTL = 10 * time.Second

// carriers are the nodes through which this node may reach servers: those that the order holder sent, the
// holder, and the nodes that count rate limits. It is safe for concurrent use.
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

// addresses returns the addresses of the nodes in the holder's list, and of the others.
func (c *carriers) addresses() (reaching, others []string) {
	c.mutex.Lock()
	if time.Since(c.receivedAt) < carriersTTL {
		reaching = slices.Clone(c.sent)
	}
	c.mutex.Unlock()
	others = slices.Clone(c.node.limiter.Counters().Addresses)
	if holder, known := c.node.election.Holder(); known && !slices.Contains(others, holder.Address) {
		others = append(others, holder.Address)
	}
	own := c.node.transport.Address()
	others = slices.DeleteFunc(others, func(address string) bool { return address == own || slices.Contains(reaching, address) })
	return reaching, others
}
