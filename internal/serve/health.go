package serve

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/api/nodestatus"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/platform"
)

// Health questions to the platform's services.
const (
	healthPeriod  = 10 * time.Second
	healthTimeout = 2 * time.Second
	// healthKey does not exist; reading it shows whether the service answers.
	healthKey = "health"
)

// services are the platform's services that a node depends on.
type services struct {
	keyValues platform.KeyValueService
	machines  platform.MachineListService
	weights   platform.WeightStoreService
}

// health asks the platform's services every period how they are.
type health struct {
	clock                        clock.Clock
	services                     services
	keyValues, machines, weights *nodestatus.ServiceObserver
	stop                         func()
}

func newHealth(c clock.Clock, s services) *health {
	return &health{
		clock: c, services: s,
		keyValues: nodestatus.NewServiceObserver("key-value", c),
		machines:  nodestatus.NewServiceObserver("machine list", c),
		weights:   nodestatus.NewServiceObserver("weight store", c),
	}
}

// start asks at once and then every period.
func (h *health) start() {
	h.ask()
	h.stop = clock.Repeat(h.clock, healthPeriod, h.ask)
}

func (h *health) ask() {
	h.services.keyValues.Range(healthKey, healthTimeout, func(_ platform.RangeResult, err error) { h.keyValues.Observe(err) })
	h.services.machines.List(0, healthTimeout, func(_ *platform.MachineListing, err error) { h.machines.Observe(err) })
	h.services.weights.Status(healthTimeout, func(_ platform.WeightStoreStatus, err error) { h.weights.Observe(err) })
}
