package directory

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Defaults of Config.
const (
	// DefaultReportPeriod is the period of reports for rows with traffic.
	DefaultReportPeriod = 2 * time.Second
	// DefaultRepeatPeriod is the period of reports for rows with waiting
	// requests; it covers lost messages and changes of owner.
	DefaultRepeatPeriod = 500 * time.Millisecond
	// DefaultCallTimeout limits one report.
	DefaultCallTimeout = time.Second
	// leavingMemory is how long a server is remembered as leaving.
	leavingMemory = time.Hour
)

// DemandSource tells what the gateway's requests need. Implementations are
// safe for concurrent use; the directory calls them without its lock.
type DemandSource interface {
	// DemandOf returns the demand for one row and starts a new count of
	// arrivals.
	DemandOf(row string, now time.Time) (Demand, bool)
	// Demands returns the demand for all rows with waiting requests, or, if
	// all is set, for all rows with traffic in the last seconds. In order of
	// row. It starts a new count of arrivals for the rows returned.
	Demands(now time.Time, all bool) []Demand
}

// Config assembles a Directory.
type Config struct {
	Clock     clock.Clock
	Transport peer.Transport
	// Ownership tells to whom demand is reported.
	Ownership membership.Ownership
	// Cells returns the cells that may hold replicas of a base model.
	Cells func(model string) []string
	// Table tells an adapter's base model.
	Table table.View
	// Gateway is this node's member id, PeerAddress where it gets updates.
	Gateway     string
	PeerAddress string
	Logger      zerolog.Logger
	// Zero periods mean the defaults.
	ReportPeriod, RepeatPeriod, CallTimeout time.Duration
}

// Directory caches the endpoints of base models. What it knows is kept until
// something newer is heard, so that calls go on while owners or the key-value
// service are away.
type Directory struct {
	config Config

	mutex       sync.RWMutex
	models      map[string]*model
	epochs      map[string]uint64
	leaving     map[outside.ServerID]time.Time
	listed      map[outside.ServerID]bool
	subscribers []func(model string)

	source     DemandSource
	wanted     map[string]bool
	flushArmed bool
	sequence   uint64
	nextReport time.Time
	nextRepeat time.Time
}

// model is what the cells told of one base model.
type model struct {
	cells    map[string]*cellPart
	snapshot *Snapshot
}

// cellPart is the newest word of one cell about one base model.
type cellPart struct {
	epoch, sequence uint64
	receivedAt      time.Time
	row             RowEndpoints
}

// New returns a directory and registers its handler with the transport.
func New(config Config) *Directory {
	config.ReportPeriod = orDefault(config.ReportPeriod, DefaultReportPeriod)
	config.RepeatPeriod = orDefault(config.RepeatPeriod, DefaultRepeatPeriod)
	config.CallTimeout = orDefault(config.CallTimeout, DefaultCallTimeout)
	directory := &Directory{
		config:  config,
		models:  map[string]*model{},
		epochs:  map[string]uint64{},
		leaving: map[outside.ServerID]time.Time{},
		listed:  map[outside.ServerID]bool{},
		wanted:  map[string]bool{},
	}
	config.Transport.Handle(EndpointUpdate{}, directory.handleUpdate)
	return directory
}

func orDefault(value, standard time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return standard
}

// SetDemandSource sets where demand is read. It is called once, at assembly.
func (d *Directory) SetDemandSource(source DemandSource) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.source = source
}

// Subscribe adds a function that is called, without a lock, after the
// endpoints of a base model changed.
func (d *Directory) Subscribe(changed func(model string)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.subscribers = append(d.subscribers, changed)
}

// Snapshot returns what is known of a base model; nil if nothing is.
func (d *Directory) Snapshot(name string) *Snapshot {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	known := d.models[name]
	if known == nil {
		return nil
	}
	return known.snapshot
}

// Endpoints implements Reader: those that take new work.
func (d *Directory) Endpoints(name string) RowEndpoints {
	snapshot := d.Snapshot(name)
	if snapshot == nil {
		return RowEndpoints{Model: name}
	}
	ready := make([]Endpoint, 0, len(snapshot.Endpoints))
	for _, endpoint := range snapshot.Endpoints {
		if !endpoint.Draining {
			ready = append(ready, endpoint)
		}
	}
	return RowEndpoints{
		Model: name, Endpoints: ready, ReadyAt: snapshot.ReadyAt, Refused: snapshot.Refused, Gateways: snapshot.Gateways,
	}
}

// notify calls the subscribers for each model. The lock is not held.
func (d *Directory) notify(models []string) {
	if len(models) == 0 {
		return
	}
	d.mutex.RLock()
	subscribers := d.subscribers
	d.mutex.RUnlock()
	for _, name := range models {
		for _, changed := range subscribers {
			changed(name)
		}
	}
}
