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
	// defaultBatch is assumed of a server that did not tell its own.
	defaultBatch = 8
)

// Parameters of the policies. Zero values are replaced by the defaults, but
// for ColdStartWeight, whose 0 has a meaning.
type Parameters struct {
	// ColdStartWeight from 0 (only idle hours count) to 1 (only cold starts).
	ColdStartWeight float64
	// ColdSecondWorth is how many idle seconds of a whole server one second of a
	// cold start is worth at a ColdStartWeight of 0.5.
	ColdSecondWorth float64
	// KeepAlive of fixed-keep-alive, and the longest of hatchplank.
	KeepAlive time.Duration
	// LoadOverhead is the part of a load that does not depend on its size.
	LoadOverhead time.Duration
	// BytesPerSecond read from memory, disk and remote store, until measured.
	BytesPerSecond [3]float64
	// MinimumResidency protects a busy replica from giving way to another row.
	MinimumResidency time.Duration
	// OpeningWindow and OpeningRows: an opening is detected when that many rows
	// of a tenant were called within the window.
	OpeningWindow time.Duration
	OpeningRows   int
	// OpeningHold is how long a replica loaded ahead waits for its first call.
	OpeningHold time.Duration
}

// DefaultParameters are the values used where Parameters has a zero.
var DefaultParameters = Parameters{
	ColdStartWeight:  0.5,
	ColdSecondWorth:  2,
	KeepAlive:        10 * time.Minute,
	LoadOverhead:     2 * time.Second,
	BytesPerSecond:   [3]float64{20e9, 3e9, 1e9},
	MinimumResidency: time.Minute,
	OpeningWindow:    2 * time.Minute,
	OpeningRows:      2,
	OpeningHold:      10 * time.Minute,
}

func (p Parameters) withDefaults() Parameters {
	orDuration(&p.KeepAlive, DefaultParameters.KeepAlive)
	orDuration(&p.LoadOverhead, DefaultParameters.LoadOverhead)
	orDuration(&p.MinimumResidency, DefaultParameters.MinimumResidency)
	orDuration(&p.OpeningWindow, DefaultParameters.OpeningWindow)
	orDuration(&p.OpeningHold, DefaultParameters.OpeningHold)
	if p.ColdSecondWorth == 0 {
		p.ColdSecondWorth = DefaultParameters.ColdSecondWorth
	}
	if p.OpeningRows == 0 {
		p.OpeningRows = DefaultParameters.OpeningRows
	}
	for source, rate := range p.BytesPerSecond {
		if rate == 0 {
			p.BytesPerSecond[source] = DefaultParameters.BytesPerSecond[source]
		}
	}
	return p
}

func orDuration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// New returns the policy of that name.
func New(name string, parameters Parameters) (Policy, error) {
	if parameters.ColdStartWeight < 0 || parameters.ColdStartWeight > 1 {
		return nil, eris.Errorf("cold start weight %v is not within 0 and 1", parameters.ColdStartWeight)
	}
	made := policy{name: name, parameters: parameters.withDefaults()}
	switch name {
	case PolicyOnDemandLRU:
		made.keepAlive = keepForever
		made.order = byOldestWait
		made.victimCost = leastRecentlyUsed
	case PolicyFixedKeepAlive:
		made.keepAlive = keepFixed
		made.order = byOldestWait
		made.victimCost = leastRecentlyUsed
	case PolicyPinned:
		made.keepAlive = keepForever
		made.order = byOldestWait
		made.victimCost = leastRecentlyUsed
		made.pinAll = true
	case PolicyHatchplank:
		made.keepAlive = keepByCost
		made.keepExtra = extraKeepAlive
		made.order = byUrgency
		made.victimCost = coldStartCost
		made.sourceAware = true
		made.limitRemote = true
		made.foresee = true
	default:
		return nil, eris.Errorf("no policy is named %q", name)
	}
	return &made, nil
}

// policy is the common procedure with the parts that policies differ in.
type policy struct {
	name       string
	parameters Parameters
	// keepAlive tells how long the replica that was last needed at a time stays.
	keepAlive func(w *workspace, row int, lastNeeded time.Time) time.Duration
	// keepExtra bounds how long a row's replicas beyond the first stay; 0: as
	// long as the first.
	keepExtra time.Duration
	// order reports whether candidate a is loaded before b.
	order func(w *workspace, a, b *candidate) bool
	// victimCost is the cost of unloading an idle replica; lowest goes first.
	victimCost func(w *workspace, server int, replica *Replica, row int) float64
	// sourceAware placement takes the server with the fastest checkpoint.
	sourceAware bool
	// limitRemote keeps within the weight store's rate and full-speed loads.
	limitRemote bool
	// pinAll keeps every row at its maximum.
	pinAll bool
	// foresee loads rows ahead of their first call.
	foresee bool
}

// Name implements Policy.
func (p *policy) Name() string { return p.name }

// Plan implements Policy.
func (p *policy) Plan(snapshot *Snapshot) Plan {
	w := newWorkspace(p, snapshot)
	w.decideDesired()
	w.retire()
	w.loadModels()
	w.loadAdapters()
	return w.finish()
}

// loadSeconds estimates a load's duration from a source.
func (w *workspace) loadSeconds(bytes int64, source outside.CheckpointSource) float64 {
	overhead := w.policy.parameters.LoadOverhead.Seconds()
	if rate := w.snapshot.Statistics.loadRate(source); rate > 0 {
		return rate*float64(bytes)/gigabyte + overhead
	}
	seconds := float64(bytes) / w.policy.parameters.BytesPerSecond[source]
	if source == outside.SourceRemote && w.snapshot.Store.SlowDown > 1 {
		seconds *= w.snapshot.Store.SlowDown
	}
	return seconds + overhead
}
