package nodestatus

import (
	"errors"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// ServiceObserver records the outcome of the newest call to a platform service and the time
// of the last success.
type ServiceObserver struct {
	name  string
	clock clock.Clock

	mutex       sync.Mutex
	lastSuccess time.Time
	lastError   error
}

// NewServiceObserver returns an observer of a service that has not been called yet, which
// counts as unhealthy.
func NewServiceObserver(name string, c clock.Clock) *ServiceObserver {
	return &ServiceObserver{name: name, clock: c}
}

// Observe records the outcome of a call. Pass nil also for an error response that is due to
// the request rather than to the service.
func (o *ServiceObserver) Observe(err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lastError = err
	if err == nil {
		o.lastSuccess = o.clock.Now()
	}
}

// Health returns the state of the service after the newest call.
func (o *ServiceObserver) Health() api.ServiceHealth {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	health := api.ServiceHealth{Service: o.name, LastSuccess: o.lastSuccess}
	health.Healthy = o.lastError == nil && !o.lastSuccess.IsZero()
	if o.lastError != nil {
		health.Detail = o.lastError.Error()
	}
	return health
}

// HealthOf returns a function that returns the state of all observed services.
func HealthOf(observers ...*ServiceObserver) func() api.PlatformHealth {
	return func() api.PlatformHealth {
		health := api.PlatformHealth{Services: []api.ServiceHealth{}}
		for _, observer := range observers {
			health.Services = append(health.Services, observer.Health())
		}
		return health
	}
}

// observedKeyValues forwards all calls and observes those that every node makes regularly:
// transactions, range reads and lease renewals.
type observedKeyValues struct {
	outside.KeyValueService
	observer *ServiceObserver
}

// ObserveKeyValues returns the service with its transactions, range reads and lease renewals
// observed.
func ObserveKeyValues(service outside.KeyValueService, observer *ServiceObserver) outside.KeyValueService {
	return observedKeyValues{service, observer}
}

// Transact implements outside.KeyValueService.
func (o observedKeyValues) Transact(transaction outside.Transaction, timeout time.Duration, done func(outside.TransactionResult, error)) {
	o.KeyValueService.Transact(transaction, timeout, observed(o.observer, done))
}

// Range implements outside.KeyValueService.
func (o observedKeyValues) Range(prefix string, timeout time.Duration, done func(outside.RangeResult, error)) {
	o.KeyValueService.Range(prefix, timeout, observed(o.observer, done))
}

// KeepAlive implements outside.KeyValueService.
func (o observedKeyValues) KeepAlive(lease outside.LeaseID, timeout time.Duration, done func(error)) {
	o.KeyValueService.KeepAlive(lease, timeout, func(err error) {
		if errors.Is(err, outside.ErrLeaseNotFound) {
			// The service answered: the lease has expired or was revoked.
			o.observer.Observe(nil)
		} else {
			o.observer.Observe(err)
		}
		done(err)
	})
}

// observedMachines observes the calls that read the machine list.
type observedMachines struct {
	service  outside.MachineListService
	observer *ServiceObserver
}

// ObserveMachines returns the service with its calls observed.
func ObserveMachines(service outside.MachineListService, observer *ServiceObserver) outside.MachineListService {
	return observedMachines{service, observer}
}

// List implements outside.MachineListService.
func (o observedMachines) List(sinceVersion uint64, timeout time.Duration, done func(*outside.MachineListing, error)) {
	o.service.List(sinceVersion, timeout, observed(o.observer, done))
}

// observedWeights observes the calls that read the weight store's state.
type observedWeights struct {
	service  outside.WeightStoreService
	observer *ServiceObserver
}

// ObserveWeights returns the service with its calls observed.
func ObserveWeights(service outside.WeightStoreService, observer *ServiceObserver) outside.WeightStoreService {
	return observedWeights{service, observer}
}

// Status implements outside.WeightStoreService.
func (o observedWeights) Status(timeout time.Duration, done func(outside.WeightStoreStatus, error)) {
	o.service.Status(timeout, observed(o.observer, done))
}

// observed wraps a done callback so that the observer records the call's outcome.
func observed[T any](observer *ServiceObserver, done func(T, error)) func(T, error) {
	return func(value T, err error) {
		observer.Observe(err)
		done(value, err)
	}
}
