package tablestore

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/membership/keywatch"
)

// Options of a Store.
type Options struct {
	// Timeout of one call to the key-value service.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the pause before a failed call is
	// repeated.
	MinBackoff, MaxBackoff time.Duration
	// MaxAttempts is how many calls to the key-value service one proposal may make
	// that fail.
	MaxAttempts int
	// WatchersPerZone is how many members of each zone watch the key-value
	// service; the others learn of changes from peers.
	WatchersPerZone int
	// ZoneFanout and RemoteFanout are the numbers of peers in the zone and
	// outside to which a new revision is pushed.
	ZoneFanout, RemoteFanout int
	// PullInterval is the mean time between two pulls from a random peer.
	PullInterval time.Duration
	// RemotePullShare is the share of pulls that go to another zone.
	RemotePullShare float64
	// PeerTimeout of one call to a peer.
	PeerTimeout time.Duration
	// RecentEntries is how many revisions' deltas are kept in memory.
	RecentEntries int
	// QueryConcurrency bounds how many nodes InForce asks at once.
	QueryConcurrency int
	// AssumeUnapplied takes a write whose reply was lost for one without
	// effect, and AcceptOlder lets a node act on whatever table it heard of
	// last. They switch safety off, only for the checker's own tests.
	AssumeUnapplied, AcceptOlder bool
	Watch                        keywatch.Options
}

// DefaultOptions returns the options used in a node.
func DefaultOptions() Options {
	watch := keywatch.DefaultOptions(headKey)
	watch.ResyncInterval = time.Minute
	watch.MaxBackoff = 5 * time.Second
	return Options{
		Timeout:          2 * time.Second,
		MinBackoff:       200 * time.Millisecond,
		MaxBackoff:       2 * time.Second,
		MaxAttempts:      8,
		WatchersPerZone:  2,
		ZoneFanout:       3,
		RemoteFanout:     1,
		PullInterval:     time.Second,
		RemotePullShare:  0.25,
		PeerTimeout:      time.Second,
		RecentEntries:    128,
		QueryConcurrency: 32,
		Watch:            watch,
	}
}
