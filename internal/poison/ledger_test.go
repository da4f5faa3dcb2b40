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
	}{
		"two ends":                              {[][]int{{1}, {1}}, nil, nil, nil},
		"three ends":                            {[][]int{{1}, {1}, {1}}, nil, []int{1}, nil},
		"a neighbour at two of three":           {[][]int{{1, 2}, {1, 2}, {1}}, nil, []int{1}, nil},
		"a neighbour at all three":              {[][]int{{1, 2}, {1, 2}, {1, 2}}, nil, []int{1, 2}, nil},
		"a neighbour at three of four":          {[][]int{{1, 2}, {1, 2}, {1, 2}, {1}}, nil, []int{1}, nil},
		"two at servers of their own":           {[][]int{{1}, {2}, {1}, {2}, {1}, {2}}, nil, []int{1, 2}, nil},
		"two, one with more ends":               {[][]int{{1}, {2}, {1}, {2}, {1}, {2}, {1}}, nil, []int{1, 2}, nil},
		"what a held one explains":              {[][]int{{1, 2}, {1, 2}, {1, 2}}, []int{1}, nil, nil},
		"explained, and one end more":           {[][]int{{1, 2}, {1, 2}, {1, 2}, {2}}, []int{1}, []int{2}, nil},
		"two explained, and one end more":       {[][]int{{1, 2}, {1, 2}, {2}}, []int{1}, nil, nil},
		"many neighbours at one end":            {[][]int{{1, 2, 3, 4, 5, 6, 7, 8}, {1}, {1}}, nil, []int{1}, nil},
		"a neighbour at all three, once served": {[][]int{{1, 2}, {1, 2}, {1, 2}}, nil, []int{1}, []int{2}},
		"both once served":                      {[][]int{{1, 2}, {1, 2}, {1, 2}}, nil, []int{1, 2}, []int{1, 2}},
		"once served, and alone at a fourth":    {[][]int{{1, 2}, {1, 2}, {1, 2}, {2}}, nil, []int{2}, []int{2}},
		"once served, and ends servers now":     {[][]int{{2}, {2}, {2}}, nil, []int{2}, []int{2}},
		"ends under other requests each time":   {[][]int{{1}, {2}, {3}, {4}}, nil, nil, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			held := map[Identity]bool{}
			for _, identity := range identities(test.held) {
				held[identity] = true
			}
			now := time.Now()
			var found []Identity
			ledger := ledgerOf(test.ends, now)
			ledger.Add([]ServerEnd{{Server: "s0", Served: identities(test.served)}}, now)
			for _, entry := range ledger.Decide(func(i Identity) bool { return held[i] }, now) {
				found = append(found, entry.Identity)
			}
			Expect(found).To(ConsistOf(identities(test.found)))
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
		for _, entry := range ledgerOf(ends, now).Decide(func(Identity) bool { return false }, now) {
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
	entries := ledger.Decide(func(Identity) bool { return false }, now)
	Expect(entries).To(HaveLen(1))
	Expect(now.Sub(entries[0].Since)).To(Equal(9 * time.Second))
}
