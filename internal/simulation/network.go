package simulation

import (
	"math/rand/v2"
	"time"
)

// Conditions of the way between two processes.
type Conditions struct {
	// Delay one way, and the largest random addition to it.
	Delay, Jitter time.Duration
	// Loss and Duplication are probabilities from 0 to 1.
	Loss, Duplication float64
	// Late is the probability that a message takes LateDelay more, which also
	// reorders it.
	Late      float64
	LateDelay time.Duration
}

// Network delivers messages between processes.
type Network struct {
	loop   *Loop
	random *rand.Rand
	// ConditionsOf returns the conditions of a way; it may be replaced.
	ConditionsOf func(from, to string) Conditions
	// Cut reports whether a way is cut; it may be replaced.
	Cut func(from, to string) bool
	// Messages, Lost, Duplicated and Late count what happened.
	Messages, Lost, Duplicated, Late uint64
}

// DefaultDelay is the one-way delay of a new network.
const DefaultDelay = time.Millisecond

// NewNetwork returns a network with DefaultDelay everywhere and no faults.
func NewNetwork(loop *Loop) *Network {
	return &Network{
		loop:         loop,
		random:       loop.Fork(),
		ConditionsOf: func(string, string) Conditions { return Conditions{Delay: DefaultDelay} },
		Cut:          func(string, string) bool { return false },
	}
}

// Deliver calls receive in the process to after the way's delay, or not at
// all, or twice. Nothing tells the sender which.
func (n *Network) Deliver(from, to *Process, receive func()) {
	n.Messages++
	conditions := n.ConditionsOf(from.Name, to.Name)
	if n.Cut(from.Name, to.Name) || n.happens(conditions.Loss) {
		n.Lost++
		return
	}
	n.schedule(to, conditions, receive)
	if n.happens(conditions.Duplication) {
		n.Duplicated++
		n.schedule(to, conditions, receive)
	}
}

func (n *Network) schedule(to *Process, conditions Conditions, receive func()) {
	delay := conditions.Delay
	if conditions.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(conditions.Jitter)))
	}
	if n.happens(conditions.Late) {
		n.Late++
		delay += conditions.LateDelay
	}
	n.loop.AfterFunc(delay, func() { to.Run(receive) })
}

func (n *Network) happens(probability float64) bool {
	return probability > 0 && n.random.Float64() < probability
}
