package weights

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
)

// Simulated is outside.WeightStoreService for one simulated client process.
type Simulated struct {
	Network        *simulation.Network
	Client, Server *simulation.Process
	Store          *Store
}

var _ outside.WeightStoreService = (*Simulated)(nil)

// Status implements outside.WeightStoreService. During an outage no answer
// comes.
func (s *Simulated) Status(timeout time.Duration, done func(outside.WeightStoreStatus, error)) {
	simulation.Call[outside.WeightStoreStatus]{
		Network: s.Network, Client: s.Client, Server: s.Server, Timeout: timeout,
		Serve: func(answer func(outside.WeightStoreStatus)) {
			if !s.Store.Outage() {
				answer(s.Store.Status())
			}
		},
		OnReply:   func(status outside.WeightStoreStatus) { done(status, nil) },
		OnTimeout: func() { done(outside.WeightStoreStatus{}, outside.ErrServerUnreachable) },
	}.Start()
}
