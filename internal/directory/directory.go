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
	// DefaultReportPeriod is the period of reports on rows with traffic.
	DefaultReportPeriod = 2 * time.Second
	// DefaultRepeatPeriod is the period of reports on rows with waiting requests. Repeating
	// them makes up for lost messages and changes of the owner.
	DefaultRepeatPeriod = 500 * time.Millisecond
	// DefaultCallTimeout is the timeout of the call that sends one report.
	DefaultCallTimeout = time.Second
	// leavingRetention is how long a server that is no longer listed stays marked as leaving.
	leavingRetention = time.Hour
)

// DemandSource provides the demand of the gateway's requests. Implementations are safe for
// concurrent use; the directory calls them without holding its lock.
type DemandSource interface {
	// DemandOf returns the demand for one row, false if there is none, and restarts the
	// count of its arrivals.
	DemandOf(row string, now time.Time) (Demand, bool)
	// Demands returns the demand for all rows with waiting requests or, if all is set, for
	// all rows with traffic in the last seconds, ordered by row. It restarts the count of
	// arrivals for the rows that it returns.
	Demands(now time.Time, all bool) []Demand
}

// Config configures a Directory.
type Config struct {
	Clock     clock.Clock
	Transport peer.Transport
	// Ownership finds the owner of a cell, to which demand is reported.
	Ownership membership.Ownership
	// Cells returns the cells that may hold replicas of a base model.
	Cells func(model string) []string
	// Table gives the base model of each adapter, and this node's revision of the table.
	Table table.View
	// Gateway is this node's member id, PeerAddress the address to which updates are sent.
	Gateway     string
	PeerAddress string
	Logger      zerolog.Logger
	// Durations that are zero or less mean the defaults.
	ReportPeriod, RepeatPeriod, CallTimeout time.Duration
}

// Directory caches the endpoints of base models. An entry is kept until a newer update arrives,
// so that requests are served while cell owners or the key-value service are unavailable. It is
// safe for concurrent use.
type Directory struct {
	config Config

	mutex  sync.RWMutex
	models map[string]*modelEndpoints
	// epochs holds the latest epoch of each cell.
	epochs map[string]uint64
	// leaving holds the servers that get no new requests, with the time of the last mark.
	leaving map[outside.ServerID]time.Time
	// listed holds the engines of the last machine listing.
	listed      map[outside.ServerID]bool
	subscribers []func(model string)

	source DemandSource
	// pendingRows are the rows to report when the scheduled flush runs.
	pendingRows    map[string]bool
	flushScheduled bool
	sequence       uint64
	nextReport     time.Time
	nextRepeat     time.Time
}

// modelEndpoints holds the endpoints of one base model: those that each cell reported, and the
// snapshot that is merged from these.
type modelEndpoints struct {
	cells    map[string]*cellEndpoints
	snapshot *Snapshot
}

// cellEndpoints is the latest update of one cell about one base model.
type cellEndpoints struct {
	epoch, sequence uint64
	receivedAt      time.Time
	row             RowEndpoints
}

// New returns an empty directory and registers its handler for updates with the transport.
func New(config Config) *Directory {
	config.ReportPeriod = orDefault(config.ReportPeriod, DefaultReportPeriod)
	config.RepeatPeriod = orDefault(config.RepeatPeriod, DefaultRepeatPeriod)
	config.CallTimeout = orDefault(config.CallTimeout, DefaultCallTimeout)
	directory := &Directory{
		config:      config,
		models:      map[string]*modelEndpoints{},
		epochs:      map[string]uint64{},
		leaving:     map[outside.ServerID]time.Time{},
		listed:      map[outside.ServerID]bool{},
		pendingRows: map[string]bool{},
	}
	config.Transport.Handle(EndpointUpdate{}, directory.handleUpdate)
	return directory
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// SetDemandSource sets the source of the demand that is reported. It is called once, before
// the directory is used.
func (d *Directory) SetDemandSource(source DemandSource) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.source = source
}

// Subscribe adds a function that is called after the endpoints of a base model changed. The
// directory's lock is not held during the call.
func (d *Directory) Subscribe(changed func(model string)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.subscribers = append(d.subscribers, changed)
}

// Snapshot returns the cached endpoints of a base model; nil if no update named it.
func (d *Directory) Snapshot(name string) *Snapshot {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	entry := d.models[name]
	if entry == nil {
		return nil
	}
	return entry.snapshot
}

// Endpoints implements Reader. It leaves out endpoints that are draining.
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

// notify calls the subscribers for each model. The lock must not be held.
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
