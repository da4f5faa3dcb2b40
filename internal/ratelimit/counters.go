package ratelimit

import (
	"cmp"
	"slices"
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

// isNewer reports whether c is newer than the other.
func (c Counters) isNewer(other Counters) bool {
	if c.Token != other.Token {
		return c.Token > other.Token
	}
	return c.Version > other.Version
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
	mutex    sync.Mutex
	current  Counters
	rankings map[string][]string
}

// set replaces the counters if the update is newer, and reports whether the addresses changed.
func (l *counterList) set(update Counters) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !update.isNewer(l.current) {
		return false
	}
	changed := !slices.Equal(update.Addresses, l.current.Addresses)
	l.current = update
	if changed {
		l.rankings = map[string][]string{}
	}
	return changed
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
