package outside

import "time"

// MachinePhase is a machine's state in the machine list.
type MachinePhase string

// The phases of a machine. A machine that is gone is not listed.
const (
	MachineLive    MachinePhase = "live"
	MachineLeaving MachinePhase = "leaving"
)

// Machine is one back-end machine as the platform lists it.
type Machine struct {
	Server  ServerID
	Address string
	// Pool names the kind of server, e.g. "glossa".
	Pool   string
	Zone   string
	Region string
	Phase  MachinePhase
	// LeavesAt is when a leaving machine will be reclaimed; zero if not known.
	LeavesAt time.Time
	// Engine says whether the server is a model engine.
	Engine bool
}

// MachineListing is one reading of the machine list.
type MachineListing struct {
	// Version grows with every change of the list.
	Version uint64
	// Machines in order of server.
	Machines []Machine
}

// MachineListService is the platform's list of machines. It lags: a machine
// may be listed after it is gone, but never absent while it lives.
type MachineListService interface {
	// List reads the list; with sinceVersion equal to the current version the
	// listing is nil.
	List(sinceVersion uint64, timeout time.Duration, done func(*MachineListing, error))
}

// WeightStoreStatus is the load on the weight store.
type WeightStoreStatus struct {
	// Active loads now.
	Active int
	// FullSpeedLoads is how many loads at once run at full speed.
	FullSpeedLoads int
	// LoadsPerSecond may be started.
	LoadsPerSecond float64
	// SlowDown is the factor by which loads are slower than at full speed.
	SlowDown float64
}

// WeightStoreService tells the state of the weight store. Engines fetch from
// it themselves.
type WeightStoreService interface {
	Status(timeout time.Duration, done func(WeightStoreStatus, error))
}
