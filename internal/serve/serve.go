// Package serve runs one node as a process: it runs the node on the system clock,
// TCP and HTTP, and shuts it down gracefully when its context ends.
package serve

import (
	"context"
	"math/rand/v2"
	"net"
	"net/url"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/api/nodestatus"
	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/node"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/peer/tcp"
	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/telemetry"
)

// certificatePollInterval is how often the certificate files are checked for
// changes.
const certificatePollInterval = 10 * time.Second

// httpShutdownGrace is how long HTTP connections may take to finish after the
// node has drained.
const httpShutdownGrace = 5 * time.Second

// Process is one node with its listeners, clients and metrics.
type Process struct {
	settings settings.Settings
	logger   zerolog.Logger
	clock    clock.Clock
	metrics  *telemetry.Metrics

	keyValues *etcd.Client
	transport *tcp.Transport
	node      *node.Node
	status    *nodestatus.Collector
	health    *health
	listener  net.Listener
	drainer   *drainer
	// failures holds the fatal error that ends the process, if any.
	failures chan error
}

// New opens the listeners and assembles the node; Run starts it.
func New(config settings.Settings, logger zerolog.Logger) (*Process, error) {
	p := &Process{settings: config, logger: logger, clock: clock.System{}, metrics: telemetry.NewMetrics(), failures: make(chan error, 1)}
	if err := p.openListeners(); err != nil {
		return nil, err
	}
	if err := p.assemble(); err != nil {
		return nil, err
	}
	if err := registerMetrics(p.metrics, p.node, p.transport); err != nil {
		return nil, err
	}
	return p, nil
}

// CallerAddress returns the address at which callers and administrators are
// served.
func (p *Process) CallerAddress() string { return p.listener.Addr().String() }

func (p *Process) openListeners() error {
	listener, err := net.Listen("tcp", p.settings.Listen.Callers)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	p.listener = listener
	transport, err := tcp.New(tcp.Config{
		Address: p.settings.Listen.Peers, Secret: []byte(p.settings.Cluster.Secret), Logger: p.logger, Clock: p.clock,
	})
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	p.transport = transport
	return nil
}

// self returns the membership record of this process.
func (p *Process) self() membership.Member {
	return membership.Member{
		Name: p.settings.Node.Name, Incarnation: uuid.NewString(),
		Zone: p.settings.Node.Zone, Region: p.settings.Node.Region,
		PeerAddress: p.transport.Address(), CallerAddress: p.CallerAddress(),
	}
}

func (p *Process) assemble() error {
	keyValues, err := etcd.New(etcd.Config{Endpoints: p.settings.Platform.KeyValue, Logger: p.logger})
	if err != nil {
		return eris.Wrap(err, "key-value service")
	}
	p.keyValues = keyValues
	options := p.clientOptions()
	machines := httpapi.NewMachineList(hostPort(p.settings.Platform.MachineList), options)
	weights := httpapi.NewWeightStore(hostPort(p.settings.Platform.WeightStore), options)
	p.health = newHealth(p.clock, keyValues, machines, weights)
	p.node, err = node.New(node.Config{
		Self: p.self(), Settings: p.settings, Clock: p.clock, Seed: rand.Uint64(),
		KeyValues: p.health.keyValues, Engines: httpapi.NewEngines(p.serverAddress, options),
		BackEnds: httpapi.NewBackEnds(p.serverAddress, options), Machines: p.health.machines, Weights: p.health.weights,
		Transport: p.transport, Logger: p.logger, Mechanisms: applier.AllMechanisms(),
		OnFatalError: p.fail,
	})
	if err != nil {
		return eris.Wrap(err, "assemble node")
	}
	p.status = p.collector()
	return nil
}

// fail drains the node, after which Run returns the error.
func (p *Process) fail(err error) {
	p.failures <- err
	p.drainer.Drain()
}

// hostPort returns the host and port of a service's URL, which was validated with
// the settings.
func hostPort(address string) string {
	parsed, err := url.Parse(address)
	if err != nil || parsed.Host == "" {
		return address
	}
	return parsed.Host
}

func (p *Process) collector() *nodestatus.Collector {
	names := make([]string, 0, len(p.node.Layout.Cells))
	for _, cell := range p.node.Layout.Cells {
		names = append(names, cell.Name)
	}
	return nodestatus.New(nodestatus.Config{
		Clock: p.clock, Members: p.node.Registry, Ownership: p.node.Owners, CellNames: names,
		Table: p.node.Table, Cells: p.node.Manager, Requests: p.node.Gateway, Machines: p.node.Machines,
		Transport: p.transport,
		Health:    p.health.report,
	})
}

// serverAddress returns the address of a server in the machine list.
func (p *Process) serverAddress(server outside.ServerID) (string, bool) {
	machine, known := p.node.Machines.Machine(server)
	return machine.Address, known
}

// Run serves until the context ends and then shuts down gracefully: it rejects
// new requests, completes those in flight, hands its roles over and returns.
func (p *Process) Run(ctx context.Context) error {
	handler, err := p.handler()
	if err != nil {
		return err
	}
	options := api.ServeOptions{Grace: httpShutdownGrace, Limits: p.limits()}
	if p.settings.TLS.Certificate != "" {
		reloader, err := auth.NewCertificateReloader(auth.CertificateFiles{
			Certificate: p.settings.TLS.Certificate, Key: p.settings.TLS.Key,
		}, p.clock, certificatePollInterval, p.logger)
		if err != nil {
			return eris.Wrap(err, "certificate")
		}
		defer reloader.Close()
		options.TLS = reloader.TLSConfig()
	}
	p.transport.Start()
	p.health.start()
	p.node.Start()
	p.logger.Info().Str("callers", p.CallerAddress()).Str("peers", p.transport.Address()).Msg("serving")
	return p.serveUntilDrained(ctx, func(serving context.Context) error {
		return api.Serve(serving, p.listener, handler, options)
	})
}

// serveUntilDrained keeps the listener open while the node drains, so that
// requests in flight are answered and new ones get a refusal instead of a
// connection error.
func (p *Process) serveUntilDrained(ctx context.Context, serve func(context.Context) error) error {
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	release := context.AfterFunc(ctx, p.drainer.Drain)
	defer release()
	go func() {
		<-p.drainer.drained
		stopServing()
	}()
	err := serve(serving)
	p.health.stop()
	p.keyValues.Close()
	p.transport.Close()
	p.logger.Info().Msg("stopped")
	select {
	case failure := <-p.failures:
		return failure
	default:
		return err
	}
}
