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

// AcceptorsPerShard is the number of nodes that hold a shard's votes when
// enough nodes live. Five, spread over the zones, stand the loss of any two of
// them without the key-value service's help. With fewer nodes the largest odd
// number is taken: an even one stands no more losses.
const AcceptorsPerShard = 5

// acceptorCount returns how many acceptors a shard has among so many nodes.
func acceptorCount(nodes int) int {
	count := min(nodes, AcceptorsPerShard)
	if count > 0 && count%2 == 0 {
		count--
	}
	return count
}

// configurationPrefix is where configurations are kept in the key-value
// service, one key a shard.
const configurationPrefix = "claims/"

// Configuration is a shard's set of acceptors at an epoch.
type Configuration struct {
	Epoch uint64
	Token string
	// Acceptors in order of name. Empty: the shard rests in the key-value
	// service, in pages under its snapshot prefix.
	Acceptors []membership.Member
	// SnapshotPages counts the pages of a resting shard.
	SnapshotPages int
	// QuarantineUntil is set when the shard's votes were lost.
	QuarantineUntil time.Time
}

// writeQuorum is how many acceptors must vote for an attempt.
func (c Configuration) writeQuorum() int { return len(c.Acceptors)/2 + 1 }

// sealQuorum is how many acceptors must be sealed so that each write quorum
// has one of them.
func (c Configuration) sealQuorum() int { return len(c.Acceptors) - c.writeQuorum() + 1 }

func (c Configuration) id(shard int) ConfigurationID {
	return ConfigurationID{Shard: shard, Epoch: c.Epoch, Token: c.Token}
}

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

// shardOf returns the shard a key belongs to.
func shardOf(key Key, shards int) int {
	digest := xxhash.Sum64String(key.Tenant + "\x00" + key.Value)
	return int(digest % uint64(shards))
}

// rank returns the members in order of rendezvous hash for a shard.
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

// chooseAcceptors keeps what is alive of the current acceptors and fills up by
// rank, from zones that have none yet where possible.
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
