package membership

import (
	"encoding/json"
	"time"

	"github.com/hatchplank/hatchplank/internal/membership/keywatch"
)

// MemberPrefix is the key prefix of the records of a LeaseDetector in the
// key-value service.
const MemberPrefix = "members/"

// LeaseOptions configure a LeaseDetector.
type LeaseOptions struct {
	// TimeToLive is the lease's time to live.
	TimeToLive time.Duration
	// KeepAliveInterval is the mean time between two extensions of the lease.
	KeepAliveInterval time.Duration
	// Timeout limits one call to the key-value service.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the pause before a failed call is
	// repeated.
	MinBackoff, MaxBackoff time.Duration
	// RemovalGrace is how long a member's key must be missing before the member
	// is removed.
	RemovalGrace time.Duration
	// OutageGrace replaces RemovalGrace for a time equal to itself after this
	// process was paused or could not reach the key-value service: the other
	// members may have been unable to reach it too, and need time to register
	// again.
	OutageGrace time.Duration
	// Watch configures the watch of the records.
	Watch keywatch.Options
}

// DefaultLeaseOptions returns the options used in production.
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
