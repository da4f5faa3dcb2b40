package membership

import (
	"encoding/json"
	"time"

	"github.com/hatchplank/hatchplank/internal/membership/keywatch"
)

// MemberPrefix is where members are registered in the key-value service.
const MemberPrefix = "members/"

// LeaseOptions of a LeaseDetector.
type LeaseOptions struct {
	// TimeToLive of the lease.
	TimeToLive time.Duration
	// KeepAliveInterval is the mean time between two extensions of the lease.
	KeepAliveInterval time.Duration
	// Timeout of one call to the key-value service.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the pause before a failed call is
	// repeated.
	MinBackoff, MaxBackoff time.Duration
	// RemovalGrace is how long a member's key must be missing before the
	// member is taken for dead.
	RemovalGrace time.Duration
	// OutageGrace replaces RemovalGrace for that long after this node was
	// paused or lost contact to the key-value service: the others may have
	// lost it too and need time to register again.
	OutageGrace time.Duration
	Watch       keywatch.Options
}

// DefaultLeaseOptions returns the options used in a node.
func DefaultLeaseOptions() LeaseOptions {
	const timeToLive = 10 * time.Second
	return LeaseOptions{
		TimeToLive:        timeToLive,
		KeepAliveInterval: timeToLive / 3,
		Timeout:           2 * time.Second,
		MinBackoff:        300 * time.Millisecond,
		MaxBackoff:        5 * time.Second,
		RemovalGrace:      time.Second,
		OutageGrace:       3 * timeToLive,
		Watch:             keywatch.DefaultOptions(MemberPrefix),
	}
}

func encodeMember(member Member) []byte {
	encoded, err := json.Marshal(member)
	if err != nil {
		panic(err) // a struct of strings and a bool always encodes
	}
	return encoded
}

func decodeMember(value []byte) (Member, error) {
	var member Member
	err := json.Unmarshal(value, &member)
	return member, err
}
