package outside

import "time"

// MachinePhase is the phase of a machine in the machine list.
type MachinePhase string

// The phases of a machine. A machine that has been reclaimed is not listed.
const (
	MachineLive    MachinePhase = "live"
	MachineLeaving MachinePhase = "leaving"
)

// Machine is the machine list's entry for one back-end machine.
type Machine struct {
	Server  ServerID
	Address string
	// Pool is the name of the pool of servers of one kind, such as "glossa".
	Pool   string
	Zone   string
	Region string
	Phase  MachinePhase
	// LeavesAt is the time at which a leaving machine is reclaimed; zero if unknown.
	LeavesAt time.Time
	// Engine reports whether the server is a model engine.
	Engine bool
}

// MachineListing is a snapshot of the machine list.
type MachineListing struct {
	// Version increases with every change of the list.
	Version uint64
	// Machines are sorted by server.
	Machines []Machine
}

// MachineListService is the interface to the platform's list of machines. The list lags: a
// machine may still be listed after it was reclaimed, but is never missing while it runs.
type MachineListService interface {
	// List reads the list. The listing is nil if sinceVersion is the current version.
	List(sinceVersion uint64, timeout time.Duration, done func(*MachineListing, error))
}

// WeightStoreStatus is the load on the weight store.
type WeightStoreStatus struct {
	// Active is the number of loads in progress.
	Active int
	// FullSpeedLoads is the number of concurrent loads that run at full speed.
	FullSpeedLoads int
	// LoadsPerSecond is the maximum rate at which loads may be started.
	LoadsPerSecond float64
	// SlowDown is the factor by which loads take longer than at full speed.
	SlowDown float64
}

// WeightStoreService reports the load on the weight store. Engines fetch weights from the
// store directly.
type WeightStoreService interface {
	Status(timeout time.Duration, done func(WeightStoreStatus, error))
}
