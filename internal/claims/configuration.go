package claims

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/membership"
)

// AcceptorsPerShard is the number of acceptors of a shard when enough nodes are live. Five acceptors,
// spread over the zones, tolerate the failure of any two without a reconfiguration, which would need
// the key-value service. With fewer nodes, a shard has the largest possible odd number of acceptors:
// one more, an even number, would tolerate no more failures.
const AcceptorsPerShard = 5

// acceptorCount returns how many acceptors a shard has in a cluster of so many nodes.
func acceptorCount(nodes int) int {
	count := min(nodes, AcceptorsPerShard)
	if count > 0 && count%2 == 0 {
		count--
	}
	return count
}

// configurationPrefix is the prefix of the configurations' keys in the key-value service, one key per
// shard.
const configurationPrefix = "claims/"

// Configuration is the set of a shard's acceptors in one epoch. It is stored in the key-value service
// as JSON.
type Configuration struct {
	Epoch uint64
	Token string
	// Acceptors are sorted by member id. If there are none, the shard's entries are stored in the
	// key-value service as a snapshot, in pages under the shard's snapshot prefix.
	Acceptors []membership.Member
	// SnapshotPages is the number of pages of the snapshot.
	SnapshotPages int
	// QuarantineUntil is the time until which new keys are refused. It is set when the shard's votes
	// were lost.
	QuarantineUntil time.Time
}

// writeQuorum is the number of acceptors that must vote for an attempt: a majority.
func (c Configuration) writeQuorum() int { return len(c.Acceptors)/2 + 1 }

// sealQuorum is the number of acceptors that must be sealed so that every write quorum includes at
// least one of them.
func (c Configuration) sealQuorum() int { return len(c.Acceptors) - c.writeQuorum() + 1 }

func (c Configuration) id(shard int) ConfigurationID {
	return ConfigurationID{Shard: shard, Epoch: c.Epoch, Token: c.Token}
}

// has reports whether the member is one of the acceptors.
func (c Configuration) has(memberID string) bool {
	return slices.ContainsFunc(c.Acceptors, func(m membership.Member) bool { return m.ID() == memberID })
}

func configurationKey(shard int) string {
	return configurationPrefix + fmt.Sprintf("%04d", shard)
}

func snapshotKey(shard int, token string, page int) string {
	return fmt.Sprintf("claims-snapshot/%04d/%s/%06d", shard, token, page)
}

func snapshotPrefix(shard int, token string) string {
	return fmt.Sprintf("claims-snapshot/%04d/%s/", shard, token)
}

func shardOfConfigurationKey(key string) (int, bool) {
	shard, err := strconv.Atoi(strings.TrimPrefix(key, configurationPrefix))
	return shard, err == nil
}

func encodeConfiguration(c Configuration) []byte {
	encoded, err := json.Marshal(c)
	if err != nil {
		panic("claims: configuration can't be encoded: " + err.Error())
	}
	return encoded
}

func decodeConfiguration(value []byte) (Configuration, error) {
	var c Configuration
	err := json.Unmarshal(value, &c)
	return c, err
}

// shardOf returns the shard that a key belongs to.
func shardOf(key Key, shards int) int {
	digest := xxhash.Sum64String(key.Tenant + "\x00" + key.Value)
	return int(digest % uint64(shards))
}

// rank returns the members sorted by their rendezvous hash for a shard, highest first.
func rank(shard int, members []membership.Member) []membership.Member {
	type scored struct {
		score  uint64
		member membership.Member
	}
	all := make([]scored, 0, len(members))
	for _, member := range members {
		score := xxhash.Sum64String(strconv.Itoa(shard) + "\x00" + member.Name)
		all = append(all, scored{score: score, member: member})
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.member.ID(), b.member.ID())
	})
	ranked := make([]membership.Member, len(all))
	for i := range all {
		ranked[i] = all[i].member
	}
	return ranked
}

// chooseAcceptors returns a shard's acceptors for the members, sorted by member id. It keeps the current
// acceptors that are still members and not draining, then adds members in order of rank, first from
// zones that have no acceptor yet.
func chooseAcceptors(shard int, current []membership.Member, members []membership.Member) []membership.Member {
	candidates := rank(shard, withoutDraining(members))
	wanted := acceptorCount(len(candidates))
	var chosen []membership.Member
	for _, candidate := range candidates {
		kept := slices.ContainsFunc(current, func(m membership.Member) bool { return m.ID() == candidate.ID() })
		if kept && len(chosen) < wanted {
			chosen = append(chosen, candidate)
		}
	}
	chosen = addAcceptors(chosen, candidates, wanted, true)
	chosen = addAcceptors(chosen, candidates, wanted, false)
	slices.SortFunc(chosen, func(a, b membership.Member) int { return strings.Compare(a.ID(), b.ID()) })
	return chosen
}

// addAcceptors adds candidates to the chosen acceptors until there are as many as wanted. With
// newZoneOnly, only candidates from zones without an acceptor are added.
func addAcceptors(chosen, candidates []membership.Member, wanted int, newZoneOnly bool) []membership.Member {
	for _, candidate := range candidates {
		if len(chosen) >= wanted {
			break
		}
		taken := slices.ContainsFunc(chosen, func(m membership.Member) bool {
			return m.ID() == candidate.ID() || (newZoneOnly && m.Zone == candidate.Zone)
		})
		if !taken {
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}

func withoutDraining(members []membership.Member) []membership.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return m.Draining })
}
