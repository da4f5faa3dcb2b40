package serve

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/api/nodestatus"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// Parameters of the health probes of the platform's services.
const (
	healthProbeInterval = 10 * time.Second
	healthProbeTimeout  = 2 * time.Second
	// healthProbeKey does not exist; a read of it shows whether the service
	// responds.
	healthProbeKey = "health"
)

// health reports the health of the platform's services as observed by the node's
// calls to them. The machine list is read every second anyway; the other services
// may see no call for a long time, so they are probed periodically.
type health struct {
	clock     clock.Clock
	keyValues outside.KeyValueService
	machines  outside.MachineListService
	weights   outside.WeightStoreService
	// report returns the results of the latest calls.
	report func() api.PlatformHealth
	stop   func()
}

func newHealth(c clock.Clock, keyValues outside.KeyValueService, machines outside.MachineListService, weights outside.WeightStoreService) *health {
	keyValueObserver := nodestatus.NewServiceObserver("key-value", c)
	machineObserver := nodestatus.NewServiceObserver("machine list", c)
	weightObserver := nodestatus.NewServiceObserver("weight store", c)
	return &health{
		clock:     c,
		keyValues: nodestatus.ObserveKeyValues(keyValues, keyValueObserver),
		machines:  nodestatus.ObserveMachines(machines, machineObserver),
		weights:   nodestatus.ObserveWeights(weights, weightObserver),
		report:    nodestatus.HealthOf(keyValueObserver, machineObserver, weightObserver),
	}
}

// start probes at once and then every healthProbeInterval.
func (h *health) start() {
	h.probe()
	h.stop = clock.Repeat(h.clock, healthProbeInterval, h.probe)
}

func (h *health) probe() {
	h.keyValues.Range(healthProbeKey, healthProbeTimeout, func(outside.RangeResult, error) {})
	h.weights.Status(healthProbeTimeout, func(outside.WeightStoreStatus, error) {})
}
