package contract_test

import (
	"net/http/httptest"
	"time"

	"github.com/onsi/ginkgo/v2"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside/contract"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/machines"
)

var _ = func() bool {
	contract.DescribeMachineListService("HTTP", newHTTPMachineList)
	contract.DescribeMachineListService("simulation", newSimulatedMachineList)
	return true
}()

func machineListFixture(list *machines.List) *contract.MachineListFixture {
	return &contract.MachineListFixture{
		Add: list.Add, Reclaim: list.Reclaim, Remove: list.Remove,
		SetFaults: func(lag time.Duration, outage bool) {
			list.SetFaults(machines.Faults{Lag: lag, Outage: outage})
		},
	}
}

func newHTTPMachineList() *contract.MachineListFixture {
	list := machines.NewList(clock.System{}, nil, machines.Hooks{})
	listener := httptest.NewServer(machines.NewHandler(list))
	service := httpapi.NewMachineList(listener.Listener.Addr().String(), httpapi.Options{})
	ginkgo.DeferCleanup(func() {
		service.Close()
		listener.Close()
	})
	fixture := machineListFixture(list)
	fixture.Drive = contract.RealDrive{}
	fixture.Service = service
	return fixture
}

func newSimulatedMachineList() *contract.MachineListFixture {
	loop := simulation.NewLoop(1)
	list := machines.NewList(loop, nil, machines.Hooks{})
	client := simulation.NewProcess(loop, "client")
	server := simulation.NewProcess(loop, "machine-list")
	fixture := machineListFixture(list)
	fixture.Drive = contract.LoopDrive{Loop: loop}
	fixture.Service = machines.NewSimulated(simulation.NewNetwork(loop), client, server, list)
	return fixture
}
