package orders

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/observation"
)

// urgentPause is the minimum time between messages of a node about servers that became unreachable
// or answer again. It bounds them to 50 per second and collects what is observed at about the same
// time; an attempt at a crashed server takes about as long.
const urgentPause = 20 * time.Millisecond

// Direction is whether observations were sent or received.
type Direction string

// The directions.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// observationState is the state of sending a node's observations to the holder.
type observationState struct {
	// cursor is what the holder of the current term was sent.
	cursor observation.Cursor
	// sentAt is when loads were last sent.
	sentAt time.Time
}

// runObservations sends this node's observations to the holder until ctx ends.
func (l *Link) runObservations(ctx context.Context) {
	table := l.config.Observations
	timer := time.NewTimer(table.UpdatePeriod())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-table.Urgent():
			l.sendObservations(false)
			clock.Sleep(ctx, urgentPause)
		case <-timer.C:
			l.sendObservations(true)
			timer.Reset(table.UpdatePeriod())
		}
	}
}

// sendObservations sends the holder what this node observed and has not sent yet; without
// withLoads, only which servers became unreachable or answer again.
func (l *Link) sendObservations(withLoads bool) {
	holder, known := l.config.Election.Holder()
	switch {
	case !known:
	case holder.Address == l.config.Address:
		// The holder has the same table, and sends loads with its next plan.
		if !withLoads {
			l.config.Holder.Wake()
		}
	default:
		if unsent := l.unsentObservations(withLoads); len(unsent) > 0 {
			l.Push(holder.Address, Update{Observations: unsent})
		}
	}
}

// unsentObservations returns what the holder has not been sent, and records it as sent. Loads are left out if some were sent within the update period.
func (l *Link) unsentObservations(withLoads bool) []observation.Observation {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state := &l.observations
	withLoads = withLoads && now.Sub(state.sentAt) >= l.config.Observations.UpdatePeriod()
	unsent, cursor := l.config.Observations.Unsent(state.cursor, withLoads, now)
	state.cursor = cursor
	if withLoads && len(unsent) > 0 {
		state.sentAt = now
	}
	return unsent
}

// mergeObservations stores the observations and arrival rates in an update from another node.
func (l *Link) mergeObservations(update Update, from string) {
	if from == l.config.Address {
		// The holder of this node has the same table, but computes the rates.
		l.config.Observations.SetRates(update.Rates, time.Now())
		return
	}
	l.countObservations(Received, update.Observations)
	fromHolder := update.HolderToken != 0
	now := time.Now()
	changed := l.config.Observations.Merge(update.Observations, observation.Origin{Node: from, Holder: fromHolder}, now)
	switch {
	case fromHolder && update.HolderToken >= l.currentToken():
		l.config.Observations.SetRates(update.Rates, now)
	case !fromHolder && changed:
		l.config.Holder.Wake()
	}
}

// currentToken returns the token of the newest term that this node knows.
func (l *Link) currentToken() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.token
}

// countObservations reports the number of observations in a message.
func (l *Link) countObservations(direction Direction, observations []observation.Observation) {
	if len(observations) > 0 {
		l.config.OnObservations(direction, len(observations))
	}
}

// poolArrivals returns the counts of requests to pools without models, in order of the pool.
func poolArrivals(table *observation.Table) []PoolArrivals {
	arrived := table.Arrivals()
	var counts []PoolArrivals
	for _, pool := range slices.Sorted(maps.Keys(arrived)) {
		counts = append(counts, PoolArrivals{Pool: pool, Arrived: arrived[pool]})
	}
	return counts
}
