package weights

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/platform"
	"github.com/hatchplank/hatchplank/internal/simulation"
)

// Simulated is platform.WeightStoreService for one simulated client process.
type Simulated struct {
	Network        *simulation.Network
	Client, Server *simulation.Process
	Store          *Store
}

var _ platform.WeightStoreService = (*Simulated)(nil)

// Status implements platform.WeightStoreService. During an outage no answer
// comes.
func (s *Simulated) Status(timeout time.Duration, done func(platform.WeightStoreStatus, error)) {
	simulation.Call[platform.WeightStoreStatus]{
		Network: s.Network, Client: s.Client, Server: s.Server, Timeout: timeout,
		Serve: func(answer func(platform.WeightStoreStatus)) {
			if !s.Store.Outage() {
				answer(s.Store.Status())
			}
		},
		OnReply:   func(status platform.WeightStoreStatus) { done(status, nil) },
		OnTimeout: func() { done(platform.WeightStoreStatus{}, platform.ErrServerUnreachable) },
	}.Start()
}
