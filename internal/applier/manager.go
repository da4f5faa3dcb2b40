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
	// owners by cell, and the sorted names of these cells.
	owners    map[string]*Owner
	cellNames []string

	// lastStoreStatus is the weight store's status as last read; storeKnown is false before that.
	lastStoreStatus   outside.WeightStoreStatus
	storeKnown        bool
	storeReadInFlight bool
	nextStoreRead     time.Time
}

var _ membership.CellRunner = (*Manager)(nil)

// NewManager returns a manager without cells. It registers the handler of demand reports, so it
// must be called before the transport starts. The caller must call Tick every Intervals.Tick.
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

// Acquired implements membership.CellRunner. It replaces an owner of the cell at an earlier epoch.
func (m *Manager) Acquired(cell string, epoch uint64) {
	m.Lost(cell)
	owner := newOwner(&m.config, cell, epoch, m.storeStatus)
	m.mutex.Lock()
	m.owners[cell] = owner
	m.updateCellNames()
	m.mutex.Unlock()
	owner.start()
}

// Lost implements membership.CellRunner. After it returns nothing is sent for the cell any more.
func (m *Manager) Lost(cell string) {
	m.mutex.Lock()
	owner := m.owners[cell]
	delete(m.owners, cell)
	m.updateCellNames()
	m.mutex.Unlock()
	if owner != nil {
		owner.stop("lost")
	}
}

// Release implements membership.CellRunner. It calls released at once if the cell is not owned
// here.
func (m *Manager) Release(cell string, released func()) {
	owner := m.owner(cell)
	if owner == nil {
		released()
		return
	}
	owner.release(released)
}

// Tick runs the periodic work of all cells.
func (m *Manager) Tick(now time.Time) {
	m.readStoreStatus(now)
	for _, owner := range m.sortedOwners() {
		owner.tick()
	}
}

// updateCellNames rebuilds cellNames from owners. It must be called with the lock held.
func (m *Manager) updateCellNames() {
	m.cellNames = m.cellNames[:0]
	for name := range m.owners {
		m.cellNames = append(m.cellNames, name)
	}
	slices.Sort(m.cellNames)
}

// owner returns the cell's owner, or nil.
func (m *Manager) owner(cell string) *Owner {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.owners[cell]
}

// sortedOwners returns the owners, sorted by cell.
func (m *Manager) sortedOwners() []*Owner {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	owners := make([]*Owner, 0, len(m.cellNames))
	for _, name := range m.cellNames {
		owners = append(owners, m.owners[name])
	}
	return owners
}

// handleDemand passes a demand report to the cell's owner and replies with its endpoint update.
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

// listingChanged makes all owners process a changed machine list without waiting for their tick.
func (m *Manager) listingChanged() {
	for _, owner := range m.sortedOwners() {
		owner.wake()
	}
}

// readStoreStatus reads the weight store's status each Intervals.StoreStatus while cells are owned.
func (m *Manager) readStoreStatus(now time.Time) {
	m.mutex.Lock()
	due := m.config.Store != nil && !m.storeReadInFlight && len(m.owners) > 0 && !now.Before(m.nextStoreRead)
	if due {
		m.storeReadInFlight = true
		m.nextStoreRead = now.Add(m.config.Intervals.StoreStatus)
	}
	m.mutex.Unlock()
	if due {
		m.config.Store.Status(m.config.Intervals.StateTimeout, m.storeStatusRead)
	}
}

func (m *Manager) storeStatusRead(status outside.WeightStoreStatus, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.storeReadInFlight = false
	if err != nil {
		m.config.Logger.Debug().Err(err).Str("reason", "status_unavailable").Msg("weight store's status not read")
		return
	}
	m.lastStoreStatus = status
	m.storeKnown = true
}

// storeStatus returns the weight store's status as last read, and false if it was never read.
func (m *Manager) storeStatus() (outside.WeightStoreStatus, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.lastStoreStatus, m.storeKnown
}

var errNotOwner = eris.New("cell is no longer owned here")
