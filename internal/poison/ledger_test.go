package poison

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // fixes the seed
)

// ledgerOf counts ends, each given by the numbers of what was under way.
func ledgerOf(ends [][]int, now time.Time) *Ledger {
	ledger := NewLedger()
	for i, numbers := range ends {
		ledger.Add([]ServerEnd{{Server: fmt.Sprint("s", i), Suspects: identities(numbers)}}, now)
	}
	return ledger
}

func identities(numbers []int) []Identity {
	var all []Identity
	for _, number := range numbers {
		all = append(all, numbered(number, number+1)...)
	}
	return all
}

func TestLedgerFindsWhatEndsServers(t *testing.T) {
	cases := map[string]struct {
		ends [][]int
		// held are refused already, served were seen served before the ends.
		held, found, served []int
		// rivals of the one that is found, which is the first of both: times are not known.
		rivals []int
	}{
		"two ends":                              {[][]int{{1}, {1}}, nil, nil, nil, nil},
		"three ends":                            {[][]int{{1}, {1}, {1}}, nil, []int{1}, nil, nil},
		"a neighbour at two of three":           {[][]int{{1, 2}, {1, 2}, {1}}, nil, []int{1}, nil, nil},
		"a neighbour at all three":              {[][]int{{1, 2}, {1, 2}, {1, 2}}, nil, []int{1}, nil, []int{2}},
		"a neighbour at three of four":          {[][]int{{1, 2}, {1, 2}, {1, 2}, {1}}, nil, []int{1}, nil, nil},
		"two at servers of their own":           {[][]int{{1}, {2}, {1}, {2}, {1}, {2}}, nil, []int{1, 2}, nil, nil},
		"two, one with more ends":               {[][]int{{1}, {2}, {1}, {2}, {1}, {2}, {1}}, nil, []int{1, 2}, nil, nil},
		"what a held one explains":              {[][]int{{1, 2}, {1, 2}, {1, 2}}, []int{1}, nil, nil, nil},
		"explained, and one end more":           {[][]int{{1, 2}, {1, 2}, {1, 2}, {2}}, []int{1}, []int{2}, nil, nil},
		"two explained, and one end more":       {[][]int{{1, 2}, {1, 2}, {2}}, []int{1}, nil, nil, nil},
		"many neighbours at one end":            {[][]int{{1, 2, 3, 4, 5, 6, 7, 8}, {1}, {1}}, nil, []int{1}, nil, nil},
		"a neighbour at all three, once served": {[][]int{{1, 2}, {1, 2}, {1, 2}}, nil, []int{1}, []int{2}, nil},
		"both once served":                      {[][]int{{1, 2}, {1, 2}, {1, 2}}, nil, []int{1}, []int{1, 2}, []int{2}},
		"once served, and alone at a fourth":    {[][]int{{1, 2}, {1, 2}, {1, 2}, {2}}, nil, []int{2}, []int{2}, nil},
		"once served, and ends servers now":     {[][]int{{2}, {2}, {2}}, nil, []int{2}, []int{2}, nil},
		"ends under other requests each time":   {[][]int{{1}, {2}, {3}, {4}}, nil, nil, nil, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			held := map[Identity]bool{}
			for _, identity := range identities(test.held) {
				held[identity] = true
			}
			now := time.Now()
			var found, rivals []Identity
			ledger := ledgerOf(test.ends, now)
			ledger.Add([]ServerEnd{{Server: "s0", Served: identities(test.served)}}, now)
			entries, _ := ledger.Decide(func(i Identity) bool { return held[i] }, now)
			for _, entry := range entries {
				found = append(found, entry.Identity)
				rivals = append(rivals, entry.Rivals...)
			}
			Expect(found).To(ConsistOf(identities(test.found)))
			Expect(rivals).To(ConsistOf(identities(test.rivals)))
		})
	}
}

// Whatever ends, with whatever beside: who is held was at three ended servers, and
// whoever is at all of four ends is held.
func TestLedgerIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ends := rapid.SliceOfN(rapid.SliceOfNDistinct(rapid.IntRange(1, 12), 0, 6, rapid.ID[int]), 0, 12).Draw(t, "ends")
		exceeded := rapid.Bool().Draw(t, "poison")
		if exceeded && len(ends) > endsToHold {
			for i := range ends {
				ends[i] = append(ends[i], 99)
			}
		}
		now := time.Now()
		counts := map[Identity]int{}
		for _, end := range ends {
			for _, identity := range identities(end) {
				counts[identity]++
			}
		}
		found := false
		entries, _ := ledgerOf(ends, now).Decide(func(Identity) bool { return false }, now)
		for _, entry := range entries {
			if counts[entry.Identity] < endsToHold || len(entry.Servers) != counts[entry.Identity] {
				t.Fatalf("held with %d ends of %d", len(entry.Servers), counts[entry.Identity])
			}
			found = found || entry.Identity == numbered(99, 100)[0]
		}
		if exceeded && len(ends) > endsToHold && !found {
			t.Fatal("the one at all ends was not held")
		}
	})
}

// Memory is bounded, whatever callers send.
func TestLedgerIsBounded(t *testing.T) {
	RegisterTestingT(t)
	ledger := NewLedger()
	now := time.Now()
	all := numbered(0, 4*mostSuspects)
	for i := range 3 * mostEnds {
		ledger.Add([]ServerEnd{{Server: fmt.Sprint("s", i), Suspects: all}}, now.Add(time.Duration(i)*time.Millisecond))
	}
	Expect(len(ledger.ends)).To(BeNumerically("<=", mostEnds+1))
	for _, end := range ledger.ends {
		Expect(len(end.suspects)).To(BeNumerically("<=", mostSuspects))
	}
	ledger.Decide(func(Identity) bool { return false }, now.Add(endMemory+time.Hour))
	Expect(ledger.ends).To(BeEmpty())
}

// A entry blames since the first end, whenever a node learned of it.
func TestEntryTellsWhenTheFirstServerEnded(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	ledger := NewLedger()
	for i, age := range []time.Duration{2 * time.Second, 9 * time.Second, 0} {
		ledger.Add([]ServerEnd{{Server: fmt.Sprint("s", i), Suspects: numbered(0, 1), Age: age}}, now)
	}
	entries, _ := ledger.Decide(func(Identity) bool { return false }, now)
	Expect(entries).To(HaveLen(1))
	Expect(now.Sub(entries[0].Since)).To(Equal(9 * time.Second))
}

// timedEnds are ends with the time that each numbered request had run there, in ms.
func timedEnds(ends ...map[int]int) []ServerEnd {
	var told []ServerEnd
	for i, end := range ends {
		server := ServerEnd{Server: fmt.Sprint("s", i)}
		for number, millis := range end {
			server.Suspects = append(server.Suspects, numbered(number, number+1)...)
			server.Elapsed = append(server.Elapsed, time.Duration(millis)*time.Millisecond)
		}
		told = append(told, server)
	}
	return told
}

// Guards against a harmless request that is refused for one at the same ends: what ends a
// server does so after its own time.
func TestLedgerHoldsTheLikeliestAtTheSameEnds(t *testing.T) {
	cases := map[string]struct {
		ends []map[int]int
		held int
	}{
		"ends a server at once":              {[]map[int]int{{1: 800, 2: 3}, {1: 40, 2: 5}, {1: 310, 2: 2}}, 2},
		"ends a server late":                 {[]map[int]int{{1: 90, 2: 2000}, {1: 700, 2: 2010}, {1: 10, 2: 2030}}, 2},
		"unknown times are no evidence":      {[]map[int]int{{1: -1, 2: 50}, {1: -1, 2: 400}, {1: -1, 2: 900}}, 2},
		"three, one of them with even times": {[]map[int]int{{1: 5, 2: 30, 3: 900}, {1: 600, 2: 31, 3: 20}, {1: 77, 2: 29, 3: 400}}, 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			now := time.Now()
			ledger := NewLedger()
			ledger.Add(timedEnds(test.ends...), now)
			for i := range test.ends {
				for number, millis := range test.ends[i] {
					if millis < 0 {
						ledger.ends[fmt.Sprint("s", i)].suspects[numbered(number, number+1)[0]] = unknownElapsed
					}
				}
			}
			entries, explained := ledger.Decide(func(Identity) bool { return false }, now)
			Expect(entries).To(HaveLen(1))
			Expect(entries[0].Identity).To(Equal(numbered(test.held, test.held+1)[0]))
			Expect(entries[0].Until.Sub(now)).To(Equal(provisionalHold))
			Expect(entries[0].Rivals).To(HaveLen(len(test.ends[0]) - 1))
			Expect(explained).To(BeEmpty())
		})
	}
}

// Guards against a wrong guess that lasts: the next end, at which the held request was not
// under way, shows its rival.
func TestLedgerReleasesWhatAnotherExplains(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	ledger := NewLedger()
	both := numbered(1, 3)
	ledger.Add(timedEnds(map[int]int{1: 10, 2: 20}, map[int]int{1: 10, 2: 90}, map[int]int{1: 10, 2: 500}), now)
	entries, _ := ledger.Decide(func(Identity) bool { return false }, now)
	Expect(entries[0].Identity).To(Equal(both[0]))
	ledger.Add([]ServerEnd{{Server: "s9", Suspects: both[1:], Elapsed: []time.Duration{0}}}, now)
	entries, explained := ledger.Decide(func(identity Identity) bool { return identity == both[0] }, now)
	Expect(entries).To(HaveLen(1))
	Expect(entries[0].Identity).To(Equal(both[1]))
	Expect(entries[0].Until.Sub(now)).To(Equal(firstHold))
	Expect(explained).To(Equal(both[:1]))
}

// Guards against a request that ends servers and is released, since some of its ends have been
// forgotten and another one was at the rest.
func TestLedgerReleasesNobodyForPartOfTheEnds(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	ledger := NewLedger()
	held := numbered(1, 2)[0]
	ledger.Add([]ServerEnd{{Server: "a", Suspects: numbered(1, 2), Age: endMemory + time.Second}, {Server: "b", Suspects: numbered(1, 3)}}, now)
	ledger.Add([]ServerEnd{{Server: "c", Suspects: numbered(2, 3)}, {Server: "d", Suspects: numbered(2, 3)}, {Server: "e", Suspects: numbered(2, 3)}}, now)
	entries, explained := ledger.Decide(func(identity Identity) bool { return identity == held }, now)
	Expect(entries).To(HaveLen(1))
	Expect(explained).To(BeEmpty())
}

// Guards against a rival that is held when the provisional hold is over, for ends that were
// explained.
func TestLedgerHoldsNoRivalForSettledEnds(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	ledger := NewLedger()
	ledger.Add(timedEnds(map[int]int{1: 10, 2: 20}, map[int]int{1: 10, 2: 90}, map[int]int{1: 10, 2: 500}), now)
	nobody := func(Identity) bool { return false }
	entries, _ := ledger.Decide(nobody, now)
	ledger.Expired(entries[0].Identity)
	entries, _ = ledger.Decide(nobody, now.Add(provisionalHold))
	Expect(entries).To(BeEmpty())
	// One more end is enough for the one that was held.
	ledger.Add([]ServerEnd{{Server: "s9", Suspects: numbered(1, 2), Elapsed: []time.Duration{0}}}, now)
	entries, _ = ledger.Decide(nobody, now.Add(provisionalHold))
	Expect(entries).To(HaveLen(1))
	Expect(entries[0].Until.Sub(now)).To(Equal(provisionalHold + firstHold))
}
