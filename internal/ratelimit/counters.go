package ratelimit

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Counters are the counter nodes: those that count limits for all nodes. The order holder
// chooses them. Counters are immutable.
type Counters struct {
	// Token of the holder's term, and Version within the term, order the choices: the higher is
	// the newer.
	Token   int64
	Version uint64
	// Addresses of the nodes.
	Addresses []string
}

// ListVersion identifies Counters in messages between nodes.
type ListVersion struct {
	// Token and Version as in Counters.
	Token   int64
	Version uint64
	// Digest of the addresses. Two holders may choose the same nodes.
	Digest uint64
}

// list returns the version that identifies the counter nodes.
func (c Counters) list() ListVersion {
	return ListVersion{Token: c.Token, Version: c.Version, Digest: xxhash.Sum64String(strings.Join(c.Addresses, " "))}
}

// isKnown reports whether the version was sent. An earlier build sends none.
func (v ListVersion) isKnown() bool { return v != ListVersion{} }

// isNewer reports whether v is newer than the other.
func (v ListVersion) isNewer(other ListVersion) bool {
	if v.Token != other.Token {
		return v.Token > other.Token
	}
	return v.Version > other.Version
}

// ranked returns the addresses in the order in which they count a limit: by rendezvous hash,
// so that only the limits of a removed node move to another one.
func (c Counters) ranked(name string) []string {
	ranked := slices.Clone(c.Addresses)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(b+" "+name), xxhash.Sum64String(a+" "+name))
	})
	return ranked
}

// MaxCounters is the number of counter nodes in a fleet of at least that size: enough to spread
// the load, and few enough that a quorum is contacted quickly and that a node needs few
// connections.
const MaxCounters = 8

// ChooseCounters returns the addresses of the counter nodes: the earlier ones that are live,
// and others in order of hash, so that all holders choose the same.
func ChooseCounters(earlier, live []string) []string {
	var chosen []string
	for _, address := range earlier {
		if slices.Contains(live, address) && len(chosen) < MaxCounters {
			chosen = append(chosen, address)
		}
	}
	if len(chosen) < MaxCounters {
		chosen = fill(chosen, live)
	}
	slices.Sort(chosen)
	return chosen
}

// fill adds live nodes in order of hash up to MaxCounters.
func fill(chosen, live []string) []string {
	others := slices.Clone(live)
	slices.SortFunc(others, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	for _, address := range others {
		if len(chosen) == MaxCounters {
			break
		}
		if !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// maxRankings bounds the cached rankings: servers, whose limits are counted too, come and go.
const maxRankings = 4096

// counterList holds the newest Counters and caches rankings.
type counterList struct {
	mutex   sync.Mutex
	current Counters
	// version identifies current.
	version  ListVersion
	rankings map[string][]string
}

// set replaces the counters if the update is newer. It returns the earlier ones, and whether the
// addresses changed.
func (l *counterList) set(update Counters) (earlier Counters, changed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	earlier = l.current
	if !update.list().isNewer(l.version) {
		return earlier, false
	}
	changed = !slices.Equal(update.Addresses, earlier.Addresses)
	l.current, l.version = update, update.list()
	if changed {
		l.rankings = map[string][]string{}
	}
	return earlier, changed
}

// list returns the version of the newest counters.
func (l *counterList) list() ListVersion {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.version
}

// confirms reports whether a node with the list of a version counts by the same nodes as this one. A
// node of an earlier build does not tell, and is assumed to.
func (l *counterList) confirms(list ListVersion) bool {
	return !list.isKnown() || list.Digest == l.list().Digest
}

func (l *counterList) get() Counters {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
}

// ranked is Counters.ranked with a cache.
func (l *counterList) ranked(name string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if cached, exists := l.rankings[name]; exists {
		return cached
	}
	ranked := l.current.ranked(name)
	if l.rankings == nil || len(l.rankings) >= maxRankings {
		l.rankings = map[string][]string{}
	}
	l.rankings[name] = ranked
	return ranked
}
