package simulation

import "time"

// Call is one remote call between two processes: the request travels, serve
// runs in the server's process, and the reply travels back to the caller.
// Exactly one of onReply and onTimeout runs, once, in the caller's process.
type Call[Reply any] struct {
	Network        *Network
	Client, Server *Process
	Timeout        time.Duration
	// Serve answers the request; it may answer later. A repeated request is
	// served again, as on a real network.
	Serve func(answer func(Reply))
	// OnReply and OnTimeout end the call.
	OnReply   func(Reply)
	OnTimeout func()
}

// Start sends the call.
func (c Call[Reply]) Start() {
	finished := false
	timer := c.Client.AfterFunc(c.Timeout, func() {
		if finished {
			return
		}
		finished = true
		c.OnTimeout()
	})
	finish := func(reply Reply) {
		if finished {
			return
		}
		finished = true
		timer.Stop()
		c.OnReply(reply)
	}
	c.Network.Deliver(c.Client, c.Server, func() {
		c.Serve(func(reply Reply) {
			c.Network.Deliver(c.Server, c.Client, func() { finish(reply) })
		})
	})
}
