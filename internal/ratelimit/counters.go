package ratelimit

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Counters are the nodes that count limits for all, as the holder of orders tells.
// They are immutable.
type Counters struct {
	// Token of the holder's term and Version within it order what was told.
	Token   int64
	Version uint64
	// Addresses of the nodes.
	Addresses []string
}

// newer reports whether c was told after the other.
func (c Counters) newer(other Counters) bool {
	if c.Token != other.Token {
		return c.Token > other.Token
	}
	return c.Version > other.Version
}

// ranked returns the addresses in the order in which they count a limit: by
// rendezvous hash, so that a node that leaves moves only what it counted.
func (c Counters) ranked(name string) []string {
	ranked := slices.Clone(c.Addresses)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(b+" "+name), xxhash.Sum64String(a+" "+name))
	})
	return ranked
}

// MaxCounters is how many nodes count: enough that none counts much, and few
// enough that a quorum of them is soon heard and that a node needs few connections.
const MaxCounters = 8

// ChooseCounters returns the nodes that count: those of the earlier ones that live, and
// others in order of hash, so that all holders choose alike.
func ChooseCounters(earlier, living []string) []string {
	var chosen []string
	for _, address := range earlier {
		if slices.Contains(living, address) && len(chosen) < MaxCounters {
			chosen = append(chosen, address)
		}
	}
	if len(chosen) < MaxCounters {
		chosen = fill(chosen, living)
	}
	slices.Sort(chosen)
	return chosen
}

// fill adds living nodes in order of hash until there are enough.
func fill(chosen, living []string) []string {
	others := slices.Clone(living)
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

// mostRanked rankings are remembered: servers, whose limits are counted too, come and go.
const mostRanked = 4096

// counterList holds the newest Counters and remembers rankings.
type counterList struct {
	mutex   sync.Mutex
	current Counters
	byName  map[string][]string
}

// set takes over what was told, unless something newer was. It reports whether the
// addresses changed.
func (l *counterList) set(told Counters) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !told.newer(l.current) {
		return false
	}
	changed := !slices.Equal(told.Addresses, l.current.Addresses)
	l.current = told
	if changed {
		l.byName = map[string][]string{}
	}
	return changed
}

func (l *counterList) get() Counters {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
}

// ranked is Counters.ranked, remembered for each limit.
func (l *counterList) ranked(name string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if found, known := l.byName[name]; known {
		return found
	}
	ranked := l.current.ranked(name)
	if l.byName == nil || len(l.byName) >= mostRanked {
		l.byName = map[string][]string{}
	}
	l.byName[name] = ranked
	return ranked
}
