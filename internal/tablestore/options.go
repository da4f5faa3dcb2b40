package tablestore

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/membership/keywatch"
)

// Options of a Store.
type Options struct {
	// Timeout of one call to the key-value service.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the delay before a failed call is
	// repeated.
	MinBackoff, MaxBackoff time.Duration
	// MaxAttempts is the number of failed calls to the key-value service after
	// which a proposal ends.
	MaxAttempts int
	// WatchersPerZone is the number of members in each zone that watch the
	// key-value service; the others receive changes from peers.
	WatchersPerZone int
	// ZoneFanout and RemoteFanout are the numbers of peers inside and outside
	// the node's zone to which a new revision is pushed.
	ZoneFanout, RemoteFanout int
	// PullInterval is the mean time between two pulls from a random peer.
	PullInterval time.Duration
	// RemotePullShare is the share of pulls that go to another zone, 0 to 1.
	RemotePullShare float64
	// PeerTimeout of one call to a peer.
	PeerTimeout time.Duration
	// RecentEntries is the number of revisions whose deltas are kept in memory.
	RecentEntries int
	// QueryConcurrency is the number of nodes that InForce queries at once.
	QueryConcurrency int
	// AssumeUnapplied treats a write whose reply was lost as not applied, and
	// AcceptOlder makes a node use the table it received last, even if its
	// revision is older. Both disable safety checks so that the checker's tests
	// can verify that it detects the resulting violations.
	AssumeUnapplied, AcceptOlder bool
	// Watch configures the watch of the newest revision.
	Watch keywatch.Options
}

// DefaultOptions returns the options for production use.
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
