package contract_test

import (
	"net/http/httptest"
	"time"

	"github.com/onsi/ginkgo/v2"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/contract"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/backend"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

const backEndServer = outside.ServerID("eggrafi-1")

var backEndFaults = map[contract.BackEndFault]backend.Faults{
	contract.BackEndHealthy:     {},
	contract.BackEndSlow:        {SlowFactor: 1e6},
	contract.BackEndRefuses:     {RefuseShare: 1},
	contract.BackEndLosesAnswer: {LoseAnswerShare: 1},
	contract.BackEndHangs:       {HangShare: 1},
	contract.BackEndUnreliable:  {RefuseShare: 1.0 / 3, LoseAnswerShare: 1.0 / 3},
}

func setBackEndFault(server *backend.Server, fault contract.BackEndFault) {
	if fault == contract.BackEndLeaves {
		server.SetLeaving(true)
		return
	}
	server.SetFaults(backEndFaults[fault])
}

func countRuns(log *record.Log) func(key string) int {
	return func(key string) int {
		runs := 0
		for _, event := range log.Events() {
			if event.Kind == record.KindBackEndRun && event.Key == key {
				runs++
			}
		}
		return runs
	}
}

var _ = func() bool {
	contract.DescribeBackEndService("HTTP", newHTTPBackEnd)
	contract.DescribeBackEndService("simulation", newSimulatedBackEnd)
	return true
}()

func newHTTPBackEnd() *contract.BackEndFixture {
	log := record.NewLog()
	server := backend.NewServer(clock.System{}, backend.Config{Server: backEndServer, ServiceTime: time.Millisecond}, log)
	listener := httptest.NewServer(backend.NewHandler(server))
	service := httpapi.NewBackEnds(lookupOne(backEndServer, listener), httpapi.Options{})
	ginkgo.DeferCleanup(func() {
		service.Close()
		listener.Close()
	})
	return &contract.BackEndFixture{
		Drive: contract.RealDrive{}, Service: service, Server: backEndServer,
		Expected: backend.ExpectedBody, Runs: countRuns(log), TimeLimit: time.Second,
		SetFault: func(fault contract.BackEndFault) {
			if fault == contract.BackEndDead {
				dieUnpooled(listener, service)
				return
			}
			setBackEndFault(server, fault)
		},
	}
}

// dieUnpooled ends a server and the client's pooled connections to it. On a
// pooled connection that is not yet seen to be broken the request's bytes are
// written, so whether it ran is rightly unknown then; httpapi's own tests cover
// that case.
func dieUnpooled(listener *httptest.Server, client interface{ Close() }) {
	listener.Close()
	client.Close()
}

// lookupOne knows the address of one server.
func lookupOne(server outside.ServerID, listener *httptest.Server) httpapi.Lookup {
	return func(asked outside.ServerID) (string, bool) {
		return listener.Listener.Addr().String(), asked == server
	}
}

func newSimulatedBackEnd() *contract.BackEndFixture {
	loop := simulation.NewLoop(1)
	log := record.NewLog()
	server := backend.NewServer(loop, backend.Config{Server: backEndServer}, log)
	host := backend.Host{Server: server, Process: simulation.NewProcess(loop, string(backEndServer))}
	lookup := func(asked outside.ServerID) (backend.Host, bool) { return host, asked == backEndServer }
	client := simulation.NewProcess(loop, "client")
	return &contract.BackEndFixture{
		Drive:   contract.LoopDrive{Loop: loop},
		Service: backend.NewSimulated(simulation.NewNetwork(loop), client, lookup),
		Server:  backEndServer, Expected: backend.ExpectedBody, Runs: countRuns(log), TimeLimit: time.Second,
		SetFault: func(fault contract.BackEndFault) {
			if fault == contract.BackEndDead {
				server.Kill()
				return
			}
			setBackEndFault(server, fault)
		},
	}
}
