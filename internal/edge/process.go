package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Parts are what the platform's binding hands to a process.
type Parts struct {
	// Callers serves requests.
	Callers http.Handler
	// Ready returns why the node should get no new connections; empty: it should.
	Ready func() string
	// Metrics writes the node's figures, Status what it knows, both at the address
	// of the metrics; nil: none are served.
	Metrics, Status http.Handler
	// IdleLimit is how long callers' connections may be at rest.
	IdleLimit func() time.Duration
	// Background work runs until its context ends.
	Background []func(ctx context.Context)
	// Drain refuses what can't be sent until the time; End gives what still runs
	// its final answer.
	Drain func(until time.Time)
	End   func()
	// HandOver gives the node's roles to others when it stops.
	HandOver func()
}

const (
	// acceptAfterStop is how long new requests are taken after SIGTERM, since
	// callers learn late that the node leaves.
	acceptAfterStop = 2500 * time.Millisecond
	// sendShare of the grace is when the last held request is sent.
	sendShare = 0.4
	// endMargin before the process would be killed, what runs gets its answer.
	endMargin = 700 * time.Millisecond
	// exitMargin before the process would be killed.
	exitMargin = 400 * time.Millisecond
	// headerTimeout for a request's head.
	headerTimeout = 10 * time.Second
	// headerBytes of a request's head at most.
	headerBytes = 64 << 10
	// pauseNoticed is the shortest time that a process stood still which is logged.
	pauseNoticed = 500 * time.Millisecond
	// idlePeriod between looks at connections at rest.
	idlePeriod = time.Second
)

// Process is a node with its listeners.
type Process struct {
	settings Settings
	logger   zerolog.Logger
	parts    Parts
	idle     *idleConnections
	started  atomic.Bool
	stopping atomic.Bool
	callers  *http.Server
	others   []*http.Server

	mutex     sync.Mutex
	addresses map[Listener]string
}

// Listener names one of a process's addresses.
type Listener string

// The listeners.
const (
	Callers     Listener = "callers"
	Health      Listener = "health"
	MetricsPage Listener = "metrics"
)

// Address returns where a listener listens; empty before it does.
func (p *Process) Address(of Listener) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.addresses[of]
}

// NewProcess returns a process; Assemble must be called before Run.
func NewProcess(settings Settings, logger zerolog.Logger) *Process {
	return &Process{settings: settings, logger: logger, idle: newIdleConnections(), addresses: map[Listener]string{}}
}

// Assemble hands the parts over.
func (p *Process) Assemble(parts Parts) { p.parts = parts }

// Stopping reports whether the node has been told to stop.
func (p *Process) Stopping() bool { return p.stopping.Load() }

// Run serves until ctx ends, and then ends in order.
func (p *Process) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	failures := make(chan error, 4)
	if err := p.listen(failures); err != nil {
		return err
	}
	for _, background := range p.parts.Background {
		go background(work)
	}
	go p.closeIdle(work)
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
	p.callers = &http.Server{
		Handler: p.parts.Callers, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes,
		ConnState: p.idle.changed, ErrorLog: quietLog(p.logger),
	}
	health := &http.Server{Handler: http.HandlerFunc(p.health), ReadHeaderTimeout: headerTimeout, ErrorLog: quietLog(p.logger)}
	p.others = []*http.Server{health}
	if err := p.serve(Callers, p.callers, p.settings.Listen.Callers, failures); err != nil {
		return err
	}
	if err := p.serve(Health, health, p.settings.Listen.Health, failures); err != nil {
		return err
	}
	if p.parts.Metrics == nil || p.settings.Listen.Metrics == "" {
		return nil
	}
	pages := http.NewServeMux()
	pages.Handle("/metrics", p.parts.Metrics)
	if p.parts.Status != nil {
		pages.Handle("/status", p.parts.Status)
	}
	metrics := &http.Server{Handler: pages, ReadHeaderTimeout: headerTimeout, ErrorLog: quietLog(p.logger)}
	p.others = append(p.others, metrics)
	return p.serve(MetricsPage, metrics, p.settings.Listen.Metrics, failures)
}

func (p *Process) serve(name Listener, server *http.Server, address string, failures chan<- error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen at %s", address)
	}
	p.mutex.Lock()
	p.addresses[name] = listener.Addr().String()
	p.mutex.Unlock()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failures <- eris.Wrapf(err, "serve at %s", address)
		}
	}()
	return nil
}

// health answers whether the node should get new connections.
func (p *Process) health(writer http.ResponseWriter, _ *http.Request) {
	reason := p.parts.Ready()
	if p.Stopping() {
		reason = "the node is stopping"
	}
	if reason != "" {
		http.Error(writer, reason, http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// closeIdle keeps callers' connections within the operators' limit, and notices
// when the process stood still.
func (p *Process) closeIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePeriod)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			last = p.noticePause(last)
			if limit := p.parts.IdleLimit(); limit > 0 {
				p.idle.closeOlder(limit)
			}
		}
	}
}

// noticePause logs that the process was frozen or starved since the last look.
func (p *Process) noticePause(last time.Time) time.Time {
	now := time.Now()
	if paused := now.Sub(last) - idlePeriod; paused > pauseNoticed {
		p.logger.Warn().Dur("paused_ms", paused).Msg("process was paused")
	}
	return now
}

// stop ends the node: it is not ready any more, goes on taking what arrives for
// a while, finishes what runs, and exits before it would be killed.
func (p *Process) stop() {
	started := time.Now()
	p.stopping.Store(true)
	p.logger.Info().Dur("grace_ms", p.settings.Stop.Grace).Msg("stopping")
	p.parts.Drain(started.Add(time.Duration(sendShare * float64(p.settings.Stop.Grace))))
	p.parts.HandOver()
	ends := time.AfterFunc(p.settings.Stop.Grace-endMargin, p.parts.End)
	defer ends.Stop()
	time.Sleep(min(acceptAfterStop, p.settings.Stop.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(p.settings.Stop.Grace-exitMargin))
	defer cancel()
	err := p.callers.Shutdown(ctx)
	if err != nil {
		_ = p.callers.Close()
	}
	for _, server := range p.others {
		_ = server.Close()
	}
	p.logger.Info().Dur("took_ms", time.Since(started)).Bool("whole", err == nil).Msg("stopped")
}
