package membership

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/membership/keywatch"
)

// HeartbeatOptions configure a HeartbeatDetector.
type HeartbeatOptions struct {
	// Period is the mean length of a probe period, in which a node probes one
	// member of its own zone.
	Period time.Duration
	// DirectTimeout limits a direct probe, and IndirectTimeout the indirect
	// probes through other members that follow it. Their sum must be less than
	// Period.
	DirectTimeout, IndirectTimeout time.Duration
	// IndirectProbers is the number of members that are asked to probe a member
	// that did not answer this node's direct probe.
	IndirectProbers int
	// NeighbourPeriods is the mean number of periods between two probes that a
	// member of a neighbour zone receives from this zone.
	NeighbourPeriods int
	// SuspicionRounds is the number of further probe rounds that a suspect must
	// leave unanswered before it is accused.
	SuspicionRounds int
	// RefutationGrace is how long an accused member has for refuting the
	// accusation before it is removed.
	RefutationGrace time.Duration
	// BriefInterruptionGrace and OutageGrace replace RefutationGrace after this
	// node's watch was interrupted briefly or for longer, each for a time equal to
	// itself: the watch of the accused member may have been interrupted too, so
	// that it has not seen the accusation. A pause of this process counts as an
	// outage.
	BriefInterruptionGrace, OutageGrace time.Duration
	// RefutationHold is how long a member that refuted an accusation is not
	// accused again. It doubles with each recent refutation.
	RefutationHold time.Duration
	// Timeout limits one call to the key-value service.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the backoff before a failed write of the
	// node's own record is repeated. The backoff before a removed node registers
	// again grows from MinBackoff to OutageGrace.
	MinBackoff, MaxBackoff time.Duration
	// Watch configures the watch of the records.
	Watch keywatch.Options
}

// DefaultHeartbeatOptions returns the options used in production, for a probe
// period.
func DefaultHeartbeatOptions(period time.Duration) HeartbeatOptions {
	const recoveryJitter = 5 * time.Second
	watch := keywatch.DefaultOptions(HeartbeatPrefix)
	watch.RecoveryJitter = recoveryJitter
	watch.ResyncInterval = 30 * time.Minute
	return HeartbeatOptions{
		Period:                 period,
		DirectTimeout:          period * 3 / 10,
		IndirectTimeout:        period * 5 / 10,
		IndirectProbers:        3,
		NeighbourPeriods:       3,
		SuspicionRounds:        3,
		RefutationGrace:        3 * time.Second,
		BriefInterruptionGrace: recoveryJitter + 5*time.Second,
		OutageGrace:            30 * time.Second,
		RefutationHold:         30 * time.Second,
		Timeout:                2 * time.Second,
		MinBackoff:             300 * time.Millisecond,
		MaxBackoff:             5 * time.Second,
		Watch:                  watch,
	}
}
