package contract_test

import (
	"math/rand/v2"
	"net/http/httptest"
	"time"

	"github.com/onsi/ginkgo/v2"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/contract"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

const engineServer = outside.ServerID("glossa-1")

var engineFaults = map[contract.EngineFault]engine.Faults{
	contract.EngineHealthy:         {},
	contract.EngineRefuses:         {Refuse: 1},
	contract.EngineTruncates:       {TruncateStream: 1},
	contract.EngineDropsAnswer:     {DropAnswer: 1},
	contract.EngineRepeatsChunks:   {DuplicateChunk: 1},
	contract.EngineHangs:           {Hang: true},
	contract.EngineLosesOrderReply: {LoseOrderReply: 1},
}

var _ = func() bool {
	bindings := []struct {
		name  string
		setUp func() *contract.EngineFixture
	}{
		{"HTTP", func() *contract.EngineFixture { return newHTTPEngine(httpapi.Options{}) }},
		{"HTTP, stream in body", newHTTPEngineStreamInBody},
		{"simulation", newSimulatedEngine},
		{"simulation, bad network", newSimulatedEngineOnBadNetwork},
	}
	for _, binding := range bindings {
		contract.DescribeEngineOrders(binding.name, binding.setUp)
		contract.DescribeEngineStreams(binding.name, binding.setUp)
	}
	return true
}()

func engineConfig(log *record.Log) engine.Config {
	return engine.Config{
		Server: engineServer, MaxBatch: 1, TokensPerChunk: 1, InitTime: -1, LoadLag: -1,
		StepOverhead: 100 * time.Microsecond, StepPerSequence: 100 * time.Microsecond, Record: log,
	}
}

func engineFixture(log *record.Log) *contract.EngineFixture {
	count := func(kind record.Kind) func(requestID string) int {
		return func(requestID string) int {
			events := 0
			for _, event := range log.Events() {
				if event.Kind == kind && event.RequestID == requestID {
					events++
				}
			}
			return events
		}
	}
	return &contract.EngineFixture{
		Server: engineServer, ExpectedText: engine.ExpectedText,
		Received: count(record.KindGenerationReceived), Started: count(record.KindGenerationStarted),
		TimeLimit: time.Second,
	}
}

func newHTTPEngine(options httpapi.Options) *contract.EngineFixture {
	log := record.NewLog()
	server := engine.New(clock.System{}, rand.New(rand.NewPCG(1, 1)), engineConfig(log))
	listener := httptest.NewServer(engine.NewHandler(server))
	service := httpapi.NewEngines(lookupOne(engineServer, listener), options)
	ginkgo.DeferCleanup(func() {
		service.Close()
		listener.Close()
	})
	fixture := engineFixture(log)
	fixture.Drive = contract.RealDrive{}
	fixture.Service = service
	fixture.SetFault = func(fault contract.EngineFault) {
		if fault == contract.EngineDead {
			dieUnpooled(listener, service)
			return
		}
		server.SetFaults(engineFaults[fault])
	}
	return fixture
}

// newHTTPEngineStreamInBody asks for streams in the body, which changes the
// body and so the answer of the stand-in.
func newHTTPEngineStreamInBody() *contract.EngineFixture {
	fixture := newHTTPEngine(httpapi.Options{StreamInBody: true})
	fixture.ExpectedText = func(path string, body []byte) string {
		streaming, err := httpapi.StreamingBody(body)
		if err != nil {
			panic(err)
		}
		return engine.ExpectedText(path, streaming)
	}
	return fixture
}

func newSimulatedEngine() *contract.EngineFixture {
	loop := simulation.NewLoop(1)
	return simulatedEngine(loop, simulation.NewNetwork(loop))
}

// newSimulatedEngineOnBadNetwork repeats and reorders messages.
func newSimulatedEngineOnBadNetwork() *contract.EngineFixture {
	loop := simulation.NewLoop(1)
	network := simulation.NewNetwork(loop)
	network.ConditionsOf = func(string, string) simulation.Conditions {
		return simulation.Conditions{
			Delay: time.Millisecond, Jitter: 2 * time.Millisecond, Duplication: 0.2, Late: 0.1, LateDelay: 10 * time.Millisecond,
		}
	}
	return simulatedEngine(loop, network)
}

func simulatedEngine(loop *simulation.Loop, network *simulation.Network) *contract.EngineFixture {
	log := record.NewLog()
	fleet := engine.NewFleet(loop, network)
	host := fleet.Start(engineConfig(log))
	fixture := engineFixture(log)
	fixture.Drive = contract.LoopDrive{Loop: loop}
	fixture.Service = fleet.Client(simulation.NewProcess(loop, "client"))
	fixture.SetFault = func(fault contract.EngineFault) {
		if fault == contract.EngineDead {
			host.Kill()
			return
		}
		host.Engine.SetFaults(engineFaults[fault])
	}
	return fixture
}
