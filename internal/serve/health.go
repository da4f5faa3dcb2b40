package serve

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/api/nodestatus"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// Health questions to the platform's services.
const (
	healthPeriod  = 10 * time.Second
	healthTimeout = 2 * time.Second
	// healthKey does not exist; reading it shows whether the service answers.
	healthKey = "health"
)

// health observes the node's calls to the platform's services, which tell how
// these are. The machine list is read every second; the others may go without a
// call for long, so they are asked every period.
type health struct {
	clock     clock.Clock
	keyValues outside.KeyValueService
	machines  outside.MachineListService
	weights   outside.WeightStoreService
	// report tells how the newest calls ended.
	report func() api.PlatformHealth
	stop   func()
}

func newHealth(c clock.Clock, keyValues outside.KeyValueService, machines outside.MachineListService, weights outside.WeightStoreService) *health {
	ofKeyValues := nodestatus.NewServiceObserver("key-value", c)
	ofMachines := nodestatus.NewServiceObserver("machine list", c)
	ofWeights := nodestatus.NewServiceObserver("weight store", c)
	return &health{
		clock:     c,
		keyValues: nodestatus.ObserveKeyValues(keyValues, ofKeyValues),
		machines:  nodestatus.ObserveMachines(machines, ofMachines),
		weights:   nodestatus.ObserveWeights(weights, ofWeights),
		report:    nodestatus.HealthOf(ofKeyValues, ofMachines, ofWeights),
	}
}

// start asks at once and then every period.
func (h *health) start() {
	h.ask()
	h.stop = clock.Repeat(h.clock, healthPeriod, h.ask)
}

func (h *health) ask() {
	h.keyValues.Range(healthKey, healthTimeout, func(outside.RangeResult, error) {})
	h.weights.Status(healthTimeout, func(outside.WeightStoreStatus, error) {})
}
