package suite

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/backend"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/internal/standin/machines"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
)

// gib is the number of bytes of a GiB.
const gib = 1 << 30

// Suite is a set of running stand-ins.
type Suite struct {
	config Config
	logger zerolog.Logger
	log    *record.Log
	store  *weights.Store
	list   *machines.List
	// bootID makes engine incarnations differ between starts.
	bootID string

	listeners listenerTable
	engines   map[outside.ServerID]*engine.Engine
	backEnds  map[outside.ServerID]*backend.Server
}

// Start starts the parts. The machine list names all servers of the
// configuration; those whose part is not started are expected at their ports
// in another process.
func Start(config Config, parts []Part, logger zerolog.Logger) (*Suite, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	if err := checkPorts(config, parts); err != nil {
		return nil, err
	}
	suite := &Suite{
		config: config, logger: logger, log: newLog(config.KeepRecords), bootID: uuid.NewString(),
		engines:  map[outside.ServerID]*engine.Engine{},
		backEnds: map[outside.ServerID]*backend.Server{},
	}
	suite.store = weights.NewStore(clock.System{}, config.weightStore())
	suite.list = machines.NewList(clock.System{}, suite.log, machines.Hooks{Leaving: suite.announce, Gone: suite.end})
	if err := suite.startParts(parts); err != nil {
		suite.Close()
		return nil, err
	}
	return suite, nil
}

// checkPorts refuses a machine list apart from its servers without fixed ports.
func checkPorts(config Config, parts []Part) error {
	complete := slices.Contains(parts, PartEngines) && slices.Contains(parts, PartServers)
	if config.BasePort == 0 && slices.Contains(parts, PartMachines) && !complete {
		return eris.New("a machine list apart from its servers needs a base port")
	}
	return nil
}

func newLog(keep bool) *record.Log {
	if keep {
		return record.NewLog()
	}
	return record.NewStream(func(record.Event) {})
}

func (c Config) weightStore() weights.Config {
	bytesPerSecond := c.Store.BytesPerSecond
	if bytesPerSecond == 0 {
		bytesPerSecond = weights.DefaultBytesPerSecond
	}
	return weights.Config{
		LoadsPerSecond: c.Store.LoadsPerSecond * c.TimeScale,
		FullSpeedLoads: c.Store.FullSpeedLoads,
		BytesPerSecond: bytesPerSecond * c.TimeScale,
	}
}

func (s *Suite) startParts(parts []Part) error {
	for _, placed := range s.config.placedServers() {
		if err := s.startServer(placed, parts); err != nil {
			return err
		}
	}
	for _, part := range parts {
		if err := s.startService(part); err != nil {
			return err
		}
	}
	return nil
}

// startServer starts a server if its part is wanted, and lists it.
func (s *Suite) startServer(placed placedServer, parts []Part) error {
	machine := placed.machine
	if slices.Contains(parts, partOf(placed.pool)) {
		address, err := s.listeners.serve(string(machine.Server), machine.Address, s.serverHandler(placed))
		if err != nil {
			return err
		}
		machine.Address = address
	}
	s.list.Add(machine)
	return nil
}

func partOf(pool Pool) Part {
	if pool.Engine {
		return PartEngines
	}
	return PartServers
}

func (s *Suite) startService(part Part) error {
	var handler http.Handler
	var port int
	switch part {
	case PartKeyValue:
		handler, port = s.keyValueHandler(), keyValuePort
	case PartWeights:
		handler, port = weights.NewHandler(s.store), weightsPort
	case PartMachines:
		handler, port = machines.NewHandler(s.list), machinesPort
	default:
		return nil
	}
	_, err := s.listeners.serve(string(part), s.config.address(port), handler)
	return err
}

// tableLog is the prefix of the keys whose writes are recorded: the table's
// accepted edits.
const tableLog = "table/log/"

func (s *Suite) keyValueHandler() http.Handler {
	options := keyvalue.Options{Clock: clock.System{}}
	if s.config.KeepRecords {
		options.RecordPrefixes = []string{tableLog}
	}
	store := keyvalue.NewStore(options)
	store.SetFaults(keyvalue.Faults{OperationsPerSecond: s.config.KeyValueOperationsPerSecond})
	return keyvalue.NewServer(store, s.logger)
}

func (s *Suite) serverHandler(placed placedServer) http.Handler {
	server := placed.machine.Server
	if placed.pool.Engine {
		started := engine.New(clock.System{}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), s.engineConfig(placed))
		s.engines[server] = started
		return engine.NewHandler(started)
	}
	started := backend.NewServer(clock.System{}, backend.Config{
		Server: server, Concurrency: placed.pool.Concurrency, ServiceTime: placed.pool.ServiceTime, Seed: rand.Uint64(),
	}, s.log)
	s.backEnds[server] = started
	return backend.NewHandler(started)
}

func (s *Suite) engineConfig(placed placedServer) engine.Config {
	config := engine.Config{
		Server:       placed.machine.Server,
		Accelerators: placed.pool.Accelerators,
		MemoryBytes:  int64(placed.pool.Accelerators) * placed.pool.AcceleratorMemoryGiB * gib,
		BootID:       s.bootID,
		Remote:       s.store,
		Record:       s.log,

		StepOverhead:    placed.pool.StepOverhead,
		StepPerSequence: placed.pool.StepPerSequence,
		MaxBatch:        placed.pool.MaxBatch,
	}.WithDefaults()
	scale := s.config.TimeScale
	config.DiskBytesPerSecond *= scale
	config.HostBytesPerSecond *= scale
	config.InitTime = scaleDown(config.InitTime, scale)
	config.AdapterInitTime = scaleDown(config.AdapterInitTime, scale)
	config.UnloadTime = scaleDown(config.UnloadTime, scale)
	return config
}

func scaleDown(span time.Duration, scale float64) time.Duration {
	return time.Duration(float64(span) / scale)
}

// announce tells a server that its machine is to be reclaimed.
func (s *Suite) announce(server outside.ServerID, leavesAt time.Time) {
	if started, found := s.engines[server]; found {
		started.SetLeaving(leavesAt)
	}
	if started, found := s.backEnds[server]; found {
		started.SetLeaving(true)
	}
}

// end ends a server whose machine is gone.
func (s *Suite) end(server outside.ServerID) {
	if started, found := s.engines[server]; found {
		started.Kill()
	}
	if started, found := s.backEnds[server]; found {
		started.Kill()
	}
	s.listeners.stop(string(server))
}

// Endpoint is the address of one stand-in.
type Endpoint struct {
	// Name is a part's word or a server.
	Name    string
	Address string
}

// Endpoints returns the running stand-ins in the order of their start.
func (s *Suite) Endpoints() []Endpoint { return s.listeners.endpoints() }

// Address returns the address of a running stand-in.
func (s *Suite) Address(name string) (string, bool) {
	for _, endpoint := range s.Endpoints() {
		if endpoint.Name == name {
			return endpoint.Address, true
		}
	}
	return "", false
}

// Log returns what the servers and the machine list recorded.
func (s *Suite) Log() *record.Log { return s.log }

// Close breaks all connections and ends the suite.
func (s *Suite) Close() { s.listeners.close() }

// Run waits until the context ends, then closes the suite.
func (s *Suite) Run(ctx context.Context) {
	<-ctx.Done()
	s.Close()
}
