package contract_test

import (
	"net/http/httptest"

	"github.com/onsi/ginkgo/v2"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside/contract"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
)

var _ = func() bool {
	contract.DescribeWeightStoreService("HTTP", newHTTPWeightStore)
	contract.DescribeWeightStoreService("simulation", newSimulatedWeightStore)
	return true
}()

func newWeightStore(storeClock clock.Clock) *weights.Store {
	return weights.NewStore(storeClock, weights.Config{
		LoadsPerSecond: contract.WeightStoreLoadsPerSecond,
		FullSpeedLoads: contract.WeightStoreFullSpeedLoads,
	})
}

func weightStoreFixture(store *weights.Store) *contract.WeightStoreFixture {
	return &contract.WeightStoreFixture{
		Fetch:       func() { store.Fetch(1<<50, func(error) {}) },
		SetSlowDown: store.SetSlowDown,
		SetOutage:   store.SetOutage,
	}
}

func newHTTPWeightStore() *contract.WeightStoreFixture {
	store := newWeightStore(clock.System{})
	listener := httptest.NewServer(weights.NewHandler(store))
	service := httpapi.NewWeightStore(listener.Listener.Addr().String(), httpapi.Options{})
	ginkgo.DeferCleanup(func() {
		service.Close()
		listener.Close()
	})
	fixture := weightStoreFixture(store)
	fixture.Drive = contract.RealDrive{}
	fixture.Service = service
	return fixture
}

func newSimulatedWeightStore() *contract.WeightStoreFixture {
	loop := simulation.NewLoop(1)
	store := newWeightStore(loop)
	fixture := weightStoreFixture(store)
	fixture.Drive = contract.LoopDrive{Loop: loop}
	fixture.Service = &weights.Simulated{
		Network: simulation.NewNetwork(loop),
		Client:  simulation.NewProcess(loop, "client"),
		Server:  simulation.NewProcess(loop, "weight-store"),
		Store:   store,
	}
	return fixture
}
