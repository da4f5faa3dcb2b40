package ratelimit_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // fixes the seed
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

const (
	quotaNodes = 28
	quotaCost  = 9_190.0
)

var quota = ratelimit.Limit{Rate: 500_000, Burst: 500_000, Window: 8 * time.Second}

const (
	// quotaCapacity is what the quota allows in a window, and quotaTolerance what the users tolerate.
	quotaCapacity  = 9 * 500_000.0
	quotaTolerance = 1.1*quotaCapacity + 110_000
	// leaseUsage is the rate over the time for which a counter node counts without contact.
	leaseUsage = 0.5 * 500_000
)

// usage records what was granted of the quota.
type usage struct {
	mutex  sync.Mutex
	grants []grant
}

type grant struct {
	at   time.Time
	cost float64
	by   string
}

func (u *usage) add(granted grant) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.grants = append(u.grants, granted)
}

// maxInWindow is the largest sum in any window, and what each counter node granted in it; what nodes
// granted without one has no name.
func (u *usage) maxInWindow() (largest float64, byCounter map[string]float64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	slices.SortFunc(u.grants, func(a, b grant) int { return a.at.Compare(b.at) })
	first, sum, from, to := 0, 0.0, 0, 0
	for last, granted := range u.grants {
		sum += granted.cost
		for granted.at.Sub(u.grants[first].at) >= quota.Window {
			sum -= u.grants[first].cost
			first++
		}
		if sum > largest {
			largest, from, to = sum, first, last+1
		}
	}
	byCounter = map[string]float64{}
	for _, granted := range u.grants[from:to] {
		byCounter[granted.by] += granted.cost
	}
	return largest, byCounter
}

// total is the sum of the grants since a time.
func (u *usage) total(since time.Time) float64 {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	sum := 0.0
	for _, granted := range u.grants {
		if !granted.at.Before(since) {
			sum += granted.cost
		}
	}
	return sum
}

// takeQuota takes from the quota at a node.
func (f *fleet) takeQuota(node int) ratelimit.Verdict {
	return f.limiters[node].Take(context.Background(), ratelimit.Request{Name: "north", Limit: quota, Cost: quotaCost})
}

// useQuota sends requests of a multiple of the quota's rate for a duration, to all nodes in turn.
func (f *fleet) useQuota(multiple float64, duration time.Duration, used *usage) {
	interval := time.Duration(quotaCost / (multiple * quota.Rate) * float64(time.Second))
	for end, number := time.Now().Add(duration), 0; time.Now().Before(end); number++ {
		node := number * 5 % len(f.limiters)
		go func() {
			if verdict := f.takeQuota(node); verdict.Allowed {
				used.add(grant{at: time.Now(), cost: quotaCost, by: verdict.CountedBy})
			}
		}()
		time.Sleep(interval)
	}
}

// addressOf is the address of a node.
func (f *fleet) addressOf(node int) string { return f.Addresses()[node] }

// replaceCounters has a new list of counter nodes sent to some nodes only: the live ones.
func (f *fleet) replaceCounters(token int64, live []string) ratelimit.Counters {
	earlier := f.limiters[0].Counters()
	for _, limiter := range f.limiters {
		if known := limiter.Counters(); known.Token > earlier.Token {
			earlier = known
		}
	}
	counters := ratelimit.Counters{Token: token, Version: 1, Addresses: ratelimit.ChooseCounters(earlier.Addresses, live)}
	for node, limiter := range f.limiters {
		if slices.Contains(live, f.addressOf(node)) {
			limiter.SetCounters(counters)
		}
	}
	return counters
}

// without removes a number of nodes: the counter node, then others of the list up to a number of counter
// nodes, then others. It returns the addresses of the rest and of those removed.
func (f *fleet) without(counter string, counters, nodes int) (rest, removed []string) {
	all, list := f.Addresses(), f.limiters[0].Counters().Addresses
	removed = []string{counter}
	for _, address := range list {
		if address != counter && len(removed) < counters {
			removed = append(removed, address)
		}
	}
	for _, address := range all {
		if !slices.Contains(list, address) && len(removed) < nodes {
			removed = append(removed, address)
		}
	}
	rest = slices.DeleteFunc(all, func(address string) bool { return slices.Contains(removed, address) })
	return rest, removed
}

// TestNodesWithoutTheNewListDoNotCountBesideIt: a third of the nodes, the counter node among them, do not
// reach the store, so they do not know the new order holder and are not in its list. They reach all
// nodes: the counter node of the earlier list was in contact with more than half of that list, which
// counted by the new one, and both granted the limit.
func TestNodesWithoutTheNewListDoNotCountBesideIt(t *testing.T) {
	for name, before := range map[string]float64{"from an unused limit": 0, "at half of the limit": 0.5, "beyond the limit": 4} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, quotaNodes, func(f *fleet) {
				f.inUse.Store(true)
				time.Sleep(quota.Window)
				used := &usage{}
				counter := f.takeQuota(0).CountedBy
				if before > 0 {
					f.useQuota(before, quota.Window, used)
				}
				live, _ := f.without(counter, 3, quotaNodes/3)
				f.replaceCounters(2, live)
				changed := time.Now()
				f.useQuota(4, 2*quota.Window, used)
				time.Sleep(time.Second)
				sum, byCounter := used.maxInWindow()
				Expect(sum).To(BeNumerically("<=", quotaCapacity+leaseUsage), "%v", byCounter)
				Expect(used.total(changed)).To(BeNumerically(">=", 0.9*2*8*quota.Rate))
			})
		})
	}
}

// TestLimitHoldsWhileListsOfCountersSpread: new lists of counter nodes reach some nodes only, which
// are other ones each time, so that several lists are known at once.
func TestLimitHoldsWhileListsOfCountersSpread(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		lists := rapid.SliceOfN(rapid.SliceOfNDistinct(rapid.IntRange(0, quotaNodes-1), 1, quotaNodes/2, rapid.ID[int]), 1, 4).Draw(r, "nodes without the list")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 3000), len(lists), len(lists)).Draw(r, "pauses in ms")
		var sum float64
		var byCounter map[string]float64
		withFleet(t, quotaNodes, func(f *fleet) {
			f.inUse.Store(true)
			time.Sleep(quota.Window)
			used := &usage{}
			f.useQuota(4, 2*time.Second, used)
			for i, missed := range lists {
				live := f.Addresses()
				for _, node := range missed {
					live = slices.DeleteFunc(live, func(address string) bool { return address == f.addressOf(node) })
				}
				f.replaceCounters(int64(i+2), live)
				f.useQuota(4, time.Duration(pauses[i])*time.Millisecond, used)
			}
			f.useQuota(4, 4*time.Second, used)
			time.Sleep(time.Second)
			sum, byCounter = used.maxInWindow()
		})
		if sum > quotaTolerance {
			r.Fatalf("%.0f tokens in a window, %.0f tolerated; by counter node: %v", sum, quotaTolerance, byCounter)
		}
	})
}

// TestNodesLearnANewerListFromEachOther: a node that no holder sent the list gets it with the reply to
// a request, and a counter node that was replaced does when it is asked.
func TestNodesLearnANewerListFromEachOther(t *testing.T) {
	withFleet(t, quotaNodes, func(f *fleet) {
		f.inUse.Store(true)
		time.Sleep(time.Second)
		live, missing := f.without(f.takeQuota(0).CountedBy, 3, quotaNodes/3)
		counters := f.replaceCounters(2, live)
		time.Sleep(time.Second)
		for node := range f.limiters {
			f.takeQuota(node)
		}
		time.Sleep(time.Second)
		for node, limiter := range f.limiters {
			Expect(limiter.Counters()).To(Equal(counters), "%s, without the list at first: %v", f.addressOf(node), slices.Contains(missing, f.addressOf(node)))
		}
	})
}

// earlierBuild is the transport of a node whose build does not know lists in messages.
type earlierBuild struct{ peer.Transport }

func (e earlierBuild) Call(address string, message peer.Message, timeout time.Duration, done func(peer.Message, error)) {
	e.Transport.Call(address, withoutList(message), timeout, func(reply peer.Message, err error) { done(withoutList(reply), err) })
}

func (e earlierBuild) Handle(prototype peer.Message, handler peer.Handler) {
	e.Transport.Handle(prototype, func(from string, message peer.Message, reply func(peer.Message, error)) {
		handler(from, withoutList(message), func(answer peer.Message, err error) { reply(withoutList(answer), err) })
	})
}

func withoutList(message peer.Message) peer.Message {
	switch known := message.(type) {
	case ratelimit.TakeRequest:
		known.List = ratelimit.ListVersion{}
		return known
	case ratelimit.TakeReply:
		known.List, known.Counters = ratelimit.ListVersion{}, ratelimit.Counters{}
		return known
	}
	return message
}

// TestNodesOfAnEarlierBuildAreCountedFor: they neither tell their list nor learn one, and lists change, while
// half of the nodes and of the counter nodes run one.
func TestNodesOfAnEarlierBuildAreCountedFor(t *testing.T) {
	isEarlier := func(node int) bool { return node%2 == 0 }
	withBuilds(t, quotaNodes, isEarlier, func(f *fleet) {
		f.inUse.Store(true)
		time.Sleep(quota.Window)
		used := &usage{}
		f.useQuota(4, quota.Window, used)
		all := f.Addresses()
		f.replaceCounters(2, slices.DeleteFunc(slices.Clone(all), func(address string) bool { return address == f.limiters[0].Counters().Addresses[0] }))
		f.replaceCounters(3, all)
		f.useQuota(4, quota.Window, used)
		time.Sleep(time.Second)
		sum, byCounter := used.maxInWindow()
		Expect(sum).To(BeNumerically("<=", quotaCapacity+leaseUsage), "%v", byCounter)
		Expect(used.total(time.Time{})).To(BeNumerically(">=", 0.95*2*8*quota.Rate))
		for node := range f.limiters {
			Expect(f.takeQuota(node).CountedBy).NotTo(BeEmpty())
		}
	})
}
