package machines

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
)

// Simulated is the outside.MachineListService of one client process over a
// simulated network.
type Simulated struct {
	network *simulation.Network
	client  *simulation.Process
	server  *simulation.Process
	list    *List
}

// NewSimulated returns the service as seen by the client process; the list is
// served by the server process.
func NewSimulated(network *simulation.Network, client, server *simulation.Process, list *List) *Simulated {
	return &Simulated{network: network, client: client, server: server, list: list}
}

// List implements outside.MachineListService. During an outage the call ends
// with outside.ErrServerUnreachable after its timeout.
func (s *Simulated) List(sinceVersion uint64, timeout time.Duration, done func(*outside.MachineListing, error)) {
	simulation.Call[*outside.MachineListing]{
		Network: s.network, Client: s.client, Server: s.server, Timeout: timeout,
		Serve: func(answer func(*outside.MachineListing)) {
			listing, err := s.list.Read(sinceVersion)
			if err != nil {
				return
			}
			answer(listing)
		},
		OnReply:   func(listing *outside.MachineListing) { done(listing, nil) },
		OnTimeout: func() { done(nil, outside.ErrServerUnreachable) },
	}.Start()
}
