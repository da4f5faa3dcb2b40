package simulation

import (
	"math/rand/v2"
	"time"
)

// Conditions of the link from one process to another.
type Conditions struct {
	// Delay is the one-way delay; Jitter bounds the random delay added to it.
	Delay, Jitter time.Duration
	// Loss and Duplication are probabilities from 0 to 1.
	Loss, Duplication float64
	// Late is the probability that a message is delayed by LateDelay in
	// addition, so that later messages can overtake it.
	Late      float64
	LateDelay time.Duration
}

// Network delivers messages between processes.
type Network struct {
	loop   *Loop
	random *rand.Rand
	// ConditionsOf returns the conditions of a link; it may be replaced.
	ConditionsOf func(from, to string) Conditions
	// Cut reports whether a link drops all messages; it may be replaced.
	Cut func(from, to string) bool
	// Messages counts messages sent; Lost, Duplicated and Late count those that
	// were dropped, delivered twice and delayed by LateDelay.
	Messages, Lost, Duplicated, Late uint64
}

// DefaultDelay is the one-way delay of a new network.
const DefaultDelay = time.Millisecond

// NewNetwork returns a network with DefaultDelay on every link and no faults.
func NewNetwork(loop *Loop) *Network {
	return &Network{
		loop:         loop,
		random:       loop.Fork(),
		ConditionsOf: func(string, string) Conditions { return Conditions{Delay: DefaultDelay} },
		Cut:          func(string, string) bool { return false },
	}
}

// Deliver runs receive in the destination process after the link's delay. The
// message may be lost or duplicated, of which the sender is not notified.
func (n *Network) Deliver(from, to *Process, receive func()) {
	n.Messages++
	conditions := n.ConditionsOf(from.Name, to.Name)
	if n.Cut(from.Name, to.Name) || n.chance(conditions.Loss) {
		n.Lost++
		return
	}
	n.schedule(to, conditions, receive)
	if n.chance(conditions.Duplication) {
		n.Duplicated++
		n.schedule(to, conditions, receive)
	}
}

func (n *Network) schedule(to *Process, conditions Conditions, receive func()) {
	delay := conditions.Delay
	if conditions.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(conditions.Jitter)))
	}
	if n.chance(conditions.Late) {
		n.Late++
		delay += conditions.LateDelay
	}
	n.loop.AfterFunc(delay, func() { to.Run(receive) })
}

// chance returns true with the given probability.
func (n *Network) chance(probability float64) bool {
	return probability > 0 && n.random.Float64() < probability
}
