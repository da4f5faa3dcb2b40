package edge

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Components are the parts of a node that a Process runs.
type Components struct {
	// Callers serves the clients' requests.
	Callers http.Handler
	// Ready returns why the node should get no new connections; empty if it is ready.
	Ready func() string
	// Metrics serves the node's metrics and Status its state, both at the metrics
	// address; nil: not served.
	Metrics, Status http.Handler
	// IdleLimit returns how long clients' connections may be idle; zero: any time.
	IdleLimit func() time.Duration
	// Background functions run until their context ends.
	Background []func(ctx context.Context)
	// Drain refuses requests that can't be sent to a server before the given time.
	// EndRequests ends the requests in flight, each with its final answer.
	Drain       func(until time.Time)
	EndRequests func()
	// HandOver passes the node's roles to other nodes at shutdown, while requests are still served.
	HandOver func()
	// AwaitCarried waits until no requests of other nodes are in flight through this node, or ctx ends;
	// nil: there are none.
	AwaitCarried func(ctx context.Context)
	// Stopped is called at shutdown once no request of a client is in flight, exitMargin before the end
	// of the grace period at the latest.
	Stopped func()
}

const (
	// headerTimeout is the time limit for reading a request's header, and for reading a whole request
	// of a health check or for metrics.
	headerTimeout = 10 * time.Second
	// auxiliaryIdleTimeout is how long connections of health checks and for metrics may be idle.
	auxiliaryIdleTimeout = 5 * time.Minute
	// maxHeaderBytes is the maximum size of a request's header in bytes.
	maxHeaderBytes = 64 << 10
	// minLoggedPause is the shortest pause of the process that is logged.
	minLoggedPause = 500 * time.Millisecond
	// idleCheckPeriod is the interval between checks for expired idle connections.
	idleCheckPeriod = time.Second
)

// Process runs a node: its listeners, background functions and shutdown.
type Process struct {
	settings   Settings
	logger     zerolog.Logger
	components Components
	idle       *idleConnections
	started    atomic.Bool
	stopping   atomic.Bool
	callers    callersServer
	auxiliary  []*http.Server

	mutex     sync.Mutex
	addresses map[Listener]string
}

// Listener names a listener of a process.
type Listener string

// The listeners.
const (
	Callers     Listener = "callers"
	Health      Listener = "health"
	MetricsPage Listener = "metrics"
)

// Address returns the address of a listener; empty before it listens.
func (p *Process) Address(of Listener) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.addresses[of]
}

// NewProcess returns a process; Assemble must be called before Run.
func NewProcess(settings Settings, logger zerolog.Logger) *Process {
	return &Process{settings: settings, logger: logger, idle: newIdleConnections(), addresses: map[Listener]string{}}
}

// Assemble sets the components.
func (p *Process) Assemble(components Components) { p.components = components }

// Stopping reports whether shutdown has begun.
func (p *Process) Stopping() bool { return p.stopping.Load() }

// Run serves until ctx ends and then shuts down gracefully. It returns an error if a listener
// can't be opened or fails.
func (p *Process) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	failures := make(chan error, 4)
	if err := p.listen(failures); err != nil {
		return err
	}
	for _, background := range p.components.Background {
		go background(work)
	}
	go p.monitor(work)
	p.logger.Info().Str("callers", p.settings.Listen.Callers).Str("health", p.settings.Listen.Health).
		Str("peers", p.settings.Listen.Peers).Msg("started")
	p.started.Store(true)
	select {
	case <-ctx.Done():
	case err := <-failures:
		return err
	}
	p.stop()
	return nil
}

// listen opens all addresses and serves them.
func (p *Process) listen(failures chan<- error) error {
	health := newAuxiliaryServer(http.HandlerFunc(p.health), httpErrorLog(p.logger))
	p.auxiliary = []*http.Server{health}
	listener, err := p.open(Callers, p.settings.Listen.Callers)
	if err != nil {
		return err
	}
	p.serveCallers(listener, failures)
	if err := p.serve(Health, health, p.settings.Listen.Health, failures); err != nil {
		return err
	}
	if p.components.Metrics == nil || p.settings.Listen.Metrics == "" {
		return nil
	}
	pages := http.NewServeMux()
	pages.Handle("/metrics", p.components.Metrics)
	if p.components.Status != nil {
		pages.Handle("/status", p.components.Status)
	}
	metrics := newAuxiliaryServer(pages, httpErrorLog(p.logger))
	p.auxiliary = append(p.auxiliary, metrics)
	return p.serve(MetricsPage, metrics, p.settings.Listen.Metrics, failures)
}

// newAuxiliaryServer returns a server of health checks or metrics, whose requests need no body.
func newAuxiliaryServer(handler http.Handler, errorLog *log.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ReadTimeout: headerTimeout, IdleTimeout: auxiliaryIdleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: errorLog,
	}
}

// open opens one address.
func (p *Process) open(name Listener, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", address)
	}
	p.mutex.Lock()
	p.addresses[name] = listener.Addr().String()
	p.mutex.Unlock()
	return listener, nil
}

// serve opens one address and serves it in the background. A later failure goes to failures.
func (p *Process) serve(name Listener, server *http.Server, address string, failures chan<- error) error {
	listener, err := p.open(name, address)
	if err != nil {
		return err
	}
	p.serveAt(listener, server, failures)
	return nil
}

// serveAt serves a listener in the background. A later failure goes to failures. The channel that it
// returns is closed once no more connections are accepted.
func (p *Process) serveAt(listener net.Listener, server *http.Server, failures chan<- error) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !p.Stopping() {
			failures <- eris.Wrapf(err, "serve at %s", listener.Addr())
		}
	}()
	return done
}

// health serves the health check: status 200 if the node should get new connections, else 503
// with the reason.
func (p *Process) health(writer http.ResponseWriter, _ *http.Request) {
	reason := p.components.Ready()
	if p.Stopping() {
		reason = "the node is stopping"
	}
	if reason != "" {
		http.Error(writer, reason, http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// monitor closes clients' connections that exceed the idle timeout, and detects pauses of the
// process.
func (p *Process) monitor(ctx context.Context) {
	ticker := time.NewTicker(idleCheckPeriod)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			last = p.detectPause(last)
			if limit := p.components.IdleLimit(); limit > 0 {
				p.idle.closeExpired(limit)
			}
		}
	}
}

// detectPause logs if the process was frozen or starved of processor time since the last check,
// and returns the time of this check.
func (p *Process) detectPause(last time.Time) time.Time {
	now := time.Now()
	if paused := now.Sub(last) - idleCheckPeriod; paused > minLoggedPause {
		p.logger.Warn().Dur("paused_ms", paused).Msg("process was paused")
	}
	return now
}
