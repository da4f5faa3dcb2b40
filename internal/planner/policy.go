package planner

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Names of the policies.
const (
	PolicyOnDemandLRU    = "on-demand-lru"
	PolicyFixedKeepAlive = "fixed-keep-alive"
	PolicyPinned         = "pinned"
	PolicyHatchplank     = "hatchplank"
)

// PolicyNames lists all policies, the product's own last.
var PolicyNames = []string{PolicyOnDemandLRU, PolicyFixedKeepAlive, PolicyPinned, PolicyHatchplank}

// Policy makes plans. Plan is a pure function and safe for concurrent use.
type Policy interface {
	Name() string
	Plan(snapshot *Snapshot) Plan
}

const (
	gigabyte = 1e9
	// defaultBatch is the batch size that is assumed if no server reports one.
	defaultBatch = 8
)

// Parameters of the policies. Zero values are replaced by the defaults, except for
// ColdStartWeight, whose zero is valid.
type Parameters struct {
	// ColdStartWeight from 0 (only idle time counts) to 1 (only cold starts count).
	ColdStartWeight float64
	// ColdSecondWorth is how many idle seconds of a whole server one second of a
	// cold start is worth at a ColdStartWeight of 0.5.
	ColdSecondWorth float64
	// KeepAlive is the keep-alive of fixed-keep-alive, and the longest of hatchplank.
	KeepAlive time.Duration
	// LoadOverhead is the part of a load's duration that does not depend on its size.
	LoadOverhead time.Duration
	// BytesPerSecond is the assumed rate of loads from memory, disk and the remote store, in
	// this order, until it is measured.
	BytesPerSecond [3]float64
	// MinimumResidency is how long a busy replica is protected from eviction after it became
	// ready.
	MinimumResidency time.Duration
	// SessionStartWindow and SessionStartRows: the start of a tenant's session is detected if
	// that many of its rows were called within the window.
	SessionStartWindow time.Duration
	SessionStartRows   int
	// LoadAheadHold is how long a replica that was loaded ahead is kept for its first call.
	LoadAheadHold time.Duration
}

// DefaultParameters are the values used where Parameters has a zero.
var DefaultParameters = Parameters{
	ColdStartWeight:    0.5,
	ColdSecondWorth:    2,
	KeepAlive:          10 * time.Minute,
	LoadOverhead:       2 * time.Second,
	BytesPerSecond:     [3]float64{20e9, 3e9, 1e9},
	MinimumResidency:   time.Minute,
	SessionStartWindow: 2 * time.Minute,
	SessionStartRows:   2,
	LoadAheadHold:      10 * time.Minute,
}

func (p Parameters) withDefaults() Parameters {
	setDefault(&p.KeepAlive, DefaultParameters.KeepAlive)
	setDefault(&p.LoadOverhead, DefaultParameters.LoadOverhead)
	setDefault(&p.MinimumResidency, DefaultParameters.MinimumResidency)
	setDefault(&p.SessionStartWindow, DefaultParameters.SessionStartWindow)
	setDefault(&p.LoadAheadHold, DefaultParameters.LoadAheadHold)
	if p.ColdSecondWorth == 0 {
		p.ColdSecondWorth = DefaultParameters.ColdSecondWorth
	}
	if p.SessionStartRows == 0 {
		p.SessionStartRows = DefaultParameters.SessionStartRows
	}
	for source, rate := range p.BytesPerSecond {
		if rate == 0 {
			p.BytesPerSecond[source] = DefaultParameters.BytesPerSecond[source]
		}
	}
	return p
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// New returns the policy of that name.
func New(name string, parameters Parameters) (Policy, error) {
	if parameters.ColdStartWeight < 0 || parameters.ColdStartWeight > 1 {
		return nil, eris.Errorf("cold start weight %v is not between 0 and 1", parameters.ColdStartWeight)
	}
	selected := policy{name: name, parameters: parameters.withDefaults()}
	switch name {
	case PolicyOnDemandLRU:
		selected.keepAlive = unlimitedKeepAlive
		selected.order = byOldestWait
		selected.victimCost = leastRecentlyUsed
	case PolicyFixedKeepAlive:
		selected.keepAlive = fixedKeepAlive
		selected.order = byOldestWait
		selected.victimCost = leastRecentlyUsed
	case PolicyPinned:
		selected.keepAlive = unlimitedKeepAlive
		selected.order = byOldestWait
		selected.victimCost = leastRecentlyUsed
		selected.pinAll = true
	case PolicyHatchplank:
		selected.keepAlive = boundedKeepAliveByCost
		selected.maxExtraKeepAlive = extraKeepAlive
		selected.order = byUrgency
		selected.victimCost = coldStartCost
		selected.sourceAware = true
		selected.limitRemote = true
		selected.loadAhead = true
	default:
		return nil, eris.Errorf("unknown policy %q", name)
	}
	return &selected, nil
}

// policy is the procedure that all policies share, with the parts in which they differ.
type policy struct {
	name       string
	parameters Parameters
	// keepAlive returns how long after its last need an idle replica is kept.
	keepAlive func(w *workspace, row int, lastNeeded time.Time) time.Duration
	// maxExtraKeepAlive bounds the keep-alive of a row's replicas beyond the first; 0 means
	// no bound.
	maxExtraKeepAlive time.Duration
	// order reports whether candidate a is loaded before b.
	order func(w *workspace, a, b *candidate) bool
	// victimCost is the cost of unloading an idle replica; the lowest is unloaded first.
	victimCost func(w *workspace, server int, replica *Replica, row int) float64
	// sourceAware placement prefers the server that loads fastest.
	sourceAware bool
	// limitRemote limits remote loads to the weight store's rate and its full-speed loads.
	limitRemote bool
	// pinAll keeps every row at its maximum of replicas.
	pinAll bool
	// loadAhead allows loading rows before their first call.
	loadAhead bool
}

// Name implements Policy.
func (p *policy) Name() string { return p.name }

// Plan implements Policy.
func (p *policy) Plan(snapshot *Snapshot) Plan {
	w := newWorkspace(p, snapshot)
	w.setDesired()
	w.retire()
	w.loadModels()
	w.loadAdapters()
	return w.finish()
}

// loadSeconds estimates the duration of a load of some bytes from a source.
func (w *workspace) loadSeconds(bytes int64, source outside.CheckpointSource) float64 {
	overhead := w.policy.parameters.LoadOverhead.Seconds()
	if rate := w.snapshot.Statistics.measuredSecondsPerGigabyte(source); rate > 0 {
		return rate*float64(bytes)/gigabyte + overhead
	}
	seconds := float64(bytes) / w.policy.parameters.BytesPerSecond[source]
	if source == outside.SourceRemote && w.snapshot.Store.SlowDown > 1 {
		seconds *= w.snapshot.Store.SlowDown
	}
	return seconds + overhead
}
