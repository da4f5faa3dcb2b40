package membership

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/membership/keywatch"
)

// HeartbeatOptions of a HeartbeatDetector.
type HeartbeatOptions struct {
	// Period is the mean time between two probes of a member of the own zone.
	Period time.Duration
	// DirectTimeout of a probe, and IndirectTimeout of the probes through
	// other members that follow it; together less than the period.
	DirectTimeout, IndirectTimeout time.Duration
	// Helpers is how many members are asked to probe in this node's place.
	Helpers int
	// NeighbourPeriods is the mean number of periods between two probes that a
	// member of a neighbour zone receives from this zone.
	NeighbourPeriods int
	// SuspicionRounds is how many more probes a suspect must leave unanswered
	// before it is accused.
	SuspicionRounds int
	// RefutationGrace is how long an accused member has to write its record
	// anew.
	RefutationGrace time.Duration
	// BlipGrace and OutageGrace replace RefutationGrace for that long after
	// this node's watch was interrupted, for a moment or for longer: the
	// accused may not have seen the accusation. A pause of this node counts as
	// an outage.
	BlipGrace, OutageGrace time.Duration
	// RefutationHold is how long a member that refuted an accusation is not
	// accused again. It doubles with each refutation.
	RefutationHold time.Duration
	// Timeout of one call to the key-value service.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the pause before a failed write of the
	// own record, or a registration after a removal, is tried again.
	MinBackoff, MaxBackoff time.Duration
	Watch                  keywatch.Options
}

// DefaultHeartbeatOptions returns the options used in a node.
func DefaultHeartbeatOptions(period time.Duration) HeartbeatOptions {
	const recoverySpread = 5 * time.Second
	watch := keywatch.DefaultOptions(HeartbeatPrefix)
	watch.RecoverySpread = recoverySpread
	watch.ResyncInterval = 30 * time.Minute
	return HeartbeatOptions{
		Period:           period,
		DirectTimeout:    period * 3 / 10,
		IndirectTimeout:  period * 5 / 10,
		Helpers:          3,
		NeighbourPeriods: 3,
		SuspicionRounds:  3,
		RefutationGrace:  3 * time.Second,
		BlipGrace:        recoverySpread + 5*time.Second,
		OutageGrace:      30 * time.Second,
		RefutationHold:   30 * time.Second,
		Timeout:          2 * time.Second,
		MinBackoff:       300 * time.Millisecond,
		MaxBackoff:       5 * time.Second,
		Watch:            watch,
	}
}
