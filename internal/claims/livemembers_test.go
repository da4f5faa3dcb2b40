package claims

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/membership"
)

func drawMembers(t *rapid.T) []membership.Member {
	var members []membership.Member
	for index := range rapid.IntRange(0, 9).Draw(t, "members") {
		members = append(members, membership.Member{
			Name: fmt.Sprintf("n%d", index), Incarnation: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation"),
			Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0,
		})
	}
	return members
}

// TestRetainsAcceptors compares the index with the result of chooseAcceptors.
func TestRetainsAcceptors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawMembers(t), drawMembers(t)
		if rapid.Bool().Draw(t, "unchanged") {
			after = before
		}
		current := Configuration{Acceptors: chooseAcceptors(1, nil, before)}
		var live liveMembers
		live.update(before)
		live.update(after)
		retained := live.retainsAcceptors(current)
		if changes := needsChange(current, chooseAcceptors(1, current.Acceptors, after)); retained == changes {
			t.Fatalf("retained %v, needs change %v: %v among %v", retained, changes, current.Acceptors, after)
		}
	})
}

// BenchmarkCheckShards compares the index with chooseAcceptors for a tick over 256 shards that need no
// change, in a cluster of 840 members.
func BenchmarkCheckShards(b *testing.B) {
	const shards, count = 256, 840
	var members []membership.Member
	for index := range count {
		members = append(members, membership.Member{Name: fmt.Sprintf("node-%d", index), Incarnation: "1", Zone: fmt.Sprintf("z%d", index%19)})
	}
	configurations := make([]Configuration, shards)
	for shard := range shards {
		configurations[shard].Acceptors = chooseAcceptors(shard, nil, members)
	}
	b.Run("chooseAcceptors over all members", func(b *testing.B) {
		for b.Loop() {
			for shard := range shards {
				needsChange(configurations[shard], chooseAcceptors(shard, configurations[shard].Acceptors, members))
			}
		}
	})
	b.Run("index", func(b *testing.B) {
		var index liveMembers
		for b.Loop() {
			index.update(members)
			for shard := range shards {
				index.retainsAcceptors(configurations[shard])
			}
		}
	})
}

// TestReadBackoff checks that the backoff stays within its bounds and grows to the maximum.
func TestReadBackoff(t *testing.T) {
	total := time.Duration(0)
	for failures := range 100 {
		pause := readBackoff(failures)
		if pause < minReadBackoff || pause > maxReadBackoff {
			t.Fatalf("pause %s after %d failures", pause, failures)
		}
		total += pause
	}
	if total < 90*maxReadBackoff {
		t.Errorf("100 failed reads take only %s", total)
	}
}
