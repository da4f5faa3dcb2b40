package simulation

import "time"

// Call is one remote call between two processes: the network delivers the
// request, Serve runs in the server's process, and the network delivers the
// reply to the client. At most one of OnReply and OnTimeout runs, at most once,
// in the client's process; neither runs once that process is killed.
type Call[Reply any] struct {
	Network        *Network
	Client, Server *Process
	// Timeout is measured by the client's clock.
	Timeout time.Duration
	// Serve handles the request and passes the reply to answer, at once or
	// later. It runs once for each delivery, so twice for a duplicated request.
	Serve func(answer func(Reply))
	// OnReply receives the first reply that arrives within Timeout.
	OnReply func(Reply)
	// OnTimeout runs when no reply arrived within Timeout.
	OnTimeout func()
}

// Start sends the request and starts the timeout.
func (c Call[Reply]) Start() {
	completed := false
	timer := c.Client.AfterFunc(c.Timeout, func() {
		if completed {
			return
		}
		completed = true
		c.OnTimeout()
	})
	complete := func(reply Reply) {
		if completed {
			return
		}
		completed = true
		timer.Stop()
		c.OnReply(reply)
	}
	c.Network.Deliver(c.Client, c.Server, func() {
		c.Serve(func(reply Reply) {
			c.Network.Deliver(c.Server, c.Client, func() { complete(reply) })
		})
	})
}
