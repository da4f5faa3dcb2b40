package applier

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/result"
)

// Manager runs the cells that this node owns. It is safe for concurrent use.
type Manager struct {
	config Config

	mutex sync.Mutex
	// owners by cell; names sorted.
	owners map[string]*Owner
	names  []string

	store        outside.WeightStoreStatus
	storeKnown   bool
	storeReading bool
	nextStore    time.Time
}

var _ membership.CellRunner = (*Manager)(nil)

// NewManager returns a manager without cells. It sets the handler for demand
// reports, so it is made before the transport starts. Tick is to be called
// every Intervals.Tick.
func NewManager(config Config) *Manager {
	if config.Intervals == (Intervals{}) {
		config.Intervals = DefaultIntervals()
	}
	if config.CellOf == nil {
		config.CellOf = config.Layout.ServerCell
	}
	if config.Allot == nil {
		config.Allot = allotByLayout(config.Layout)
	}
	m := &Manager{config: config, owners: map[string]*Owner{}}
	config.Transport.Handle(directory.DemandReport{}, m.handleDemand)
	config.Machines.Subscribe(func(outside.MachineListing) { m.listingChanged() })
	return m
}

// Acquired implements membership.CellRunner.
func (m *Manager) Acquired(cell string, epoch uint64) {
	m.Lost(cell)
	owner := newOwner(&m.config, cell, epoch, m.storeStatus)
	m.mutex.Lock()
	m.owners[cell] = owner
	m.sortNames()
	m.mutex.Unlock()
	owner.start()
}

// Lost implements membership.CellRunner. Nothing is sent for the cell any more.
func (m *Manager) Lost(cell string) {
	m.mutex.Lock()
	owner := m.owners[cell]
	delete(m.owners, cell)
	m.sortNames()
	m.mutex.Unlock()
	if owner != nil {
		owner.stop("lost")
	}
}

// Release implements membership.CellRunner.
func (m *Manager) Release(cell string, released func()) {
	owner := m.owner(cell)
	if owner == nil {
		released()
		return
	}
	owner.release(released)
}

// Tick runs all cells' periodic work.
func (m *Manager) Tick(now time.Time) {
	m.readStore(now)
	for _, owner := range m.all() {
		owner.tick()
	}
}

func (m *Manager) sortNames() {
	m.names = m.names[:0]
	for name := range m.owners {
		m.names = append(m.names, name)
	}
	slices.Sort(m.names)
}

func (m *Manager) owner(cell string) *Owner {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.owners[cell]
}

// all returns the owners in order of cell.
func (m *Manager) all() []*Owner {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	owners := make([]*Owner, 0, len(m.names))
	for _, name := range m.names {
		owners = append(owners, m.owners[name])
	}
	return owners
}

func (m *Manager) handleDemand(_ string, message peer.Message, reply func(peer.Message, error)) {
	report, ok := message.(directory.DemandReport)
	if !ok {
		reply(nil, result.Refuse(result.BadPeerMessage, "not a demand report: %T", message))
		return
	}
	owner := m.owner(report.Cell)
	if owner == nil {
		reply(nil, result.Refuse(result.NotOwner, "cell %s is not owned here", report.Cell))
		return
	}
	update, err := owner.receiveDemand(report)
	if err != nil {
		reply(nil, err)
		return
	}
	reply(update, nil)
}

func (m *Manager) listingChanged() {
	for _, owner := range m.all() {
		owner.wake()
	}
}

// readStore asks for the weight store's status once in a while.
func (m *Manager) readStore(now time.Time) {
	m.mutex.Lock()
	due := m.config.Store != nil && !m.storeReading && len(m.owners) > 0 && !now.Before(m.nextStore)
	if due {
		m.storeReading = true
		m.nextStore = now.Add(m.config.Intervals.StoreStatus)
	}
	m.mutex.Unlock()
	if due {
		m.config.Store.Status(m.config.Intervals.StateTimeout, m.storeRead)
	}
}

func (m *Manager) storeRead(status outside.WeightStoreStatus, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.storeReading = false
	if err != nil {
		m.config.Logger.Debug().Err(err).Str("reason", "status_unavailable").Msg("weight store not read")
		return
	}
	m.store = status
	m.storeKnown = true
}

func (m *Manager) storeStatus() (outside.WeightStoreStatus, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store, m.storeKnown
}

var errNotOwner = eris.New("cell is no longer owned here")
