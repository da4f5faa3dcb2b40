package poison

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // fixes the seed
)

// crashLogOf returns a log of crashes, each given by the numbers of the running requests.
func crashLogOf(crashes [][]int, now time.Time) *CrashLog {
	log := NewCrashLog()
	for i, numbers := range crashes {
		log.Add([]Crash{{Server: fmt.Sprint("s", i), Suspects: identities(numbers)}}, now)
	}
	return log
}

func identities(numbers []int) []Identity {
	var all []Identity
	for _, number := range numbers {
		all = append(all, numbered(number, number+1)...)
	}
	return all
}

func TestCrashLogFindsPoisonRequests(t *testing.T) {
	cases := map[string]struct {
		crashes [][]int
		// quarantined are quarantined already; served were served before the crashes.
		quarantined, found, served []int
		// rivals of the found identity, which is the first of the two where running times are
		// unknown.
		rivals []int
	}{
		"two crashes":                               {[][]int{{1}, {1}}, nil, nil, nil, nil},
		"three crashes":                             {[][]int{{1}, {1}, {1}}, nil, []int{1}, nil, nil},
		"another at two of three":                   {[][]int{{1, 2}, {1, 2}, {1}}, nil, []int{1}, nil, nil},
		"another at all three":                      {[][]int{{1, 2}, {1, 2}, {1, 2}}, nil, []int{1}, nil, []int{2}},
		"another at three of four":                  {[][]int{{1, 2}, {1, 2}, {1, 2}, {1}}, nil, []int{1}, nil, nil},
		"two at separate servers":                   {[][]int{{1}, {2}, {1}, {2}, {1}, {2}}, nil, []int{1, 2}, nil, nil},
		"two, one with more crashes":                {[][]int{{1}, {2}, {1}, {2}, {1}, {2}, {1}}, nil, []int{1, 2}, nil, nil},
		"explained by a quarantined one":            {[][]int{{1, 2}, {1, 2}, {1, 2}}, []int{1}, nil, nil, nil},
		"explained, and one more crash":             {[][]int{{1, 2}, {1, 2}, {1, 2}, {2}}, []int{1}, []int{2}, nil, nil},
		"two explained, and one more crash":         {[][]int{{1, 2}, {1, 2}, {2}}, []int{1}, nil, nil, nil},
		"many others at one crash":                  {[][]int{{1, 2, 3, 4, 5, 6, 7, 8}, {1}, {1}}, nil, []int{1}, nil, nil},
		"another at all three, once served":         {[][]int{{1, 2}, {1, 2}, {1, 2}}, nil, []int{1}, []int{2}, nil},
		"both once served":                          {[][]int{{1, 2}, {1, 2}, {1, 2}}, nil, []int{1}, []int{1, 2}, []int{2}},
		"once served, and the only one at a fourth": {[][]int{{1, 2}, {1, 2}, {1, 2}, {2}}, nil, []int{2}, []int{2}, nil},
		"once served, and crashes servers now":      {[][]int{{2}, {2}, {2}}, nil, []int{2}, []int{2}, nil},
		"crashes under other requests each time":    {[][]int{{1}, {2}, {3}, {4}}, nil, nil, nil, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			quarantined := map[Identity]bool{}
			for _, identity := range identities(test.quarantined) {
				quarantined[identity] = true
			}
			now := time.Now()
			var found, rivals []Identity
			log := crashLogOf(test.crashes, now)
			log.Add([]Crash{{Server: "s0", Served: identities(test.served)}}, now)
			entries, _ := log.Decide(func(i Identity) bool { return quarantined[i] }, now)
			for _, entry := range entries {
				found = append(found, entry.Identity)
				rivals = append(rivals, entry.Rivals...)
			}
			Expect(found).To(ConsistOf(identities(test.found)))
			Expect(rivals).To(ConsistOf(identities(test.rivals)))
		})
	}
}

// For arbitrary crashes: each quarantined identity was running at three or more of them, and an
// identity that was running at all of four or more is quarantined.
func TestCrashLogQuarantinesByTheThreshold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashes := rapid.SliceOfN(rapid.SliceOfNDistinct(rapid.IntRange(1, 12), 0, 6, rapid.ID[int]), 0, 12).Draw(t, "ends")
		addPoison := rapid.Bool().Draw(t, "poison")
		if addPoison && len(crashes) > crashThreshold {
			for i := range crashes {
				crashes[i] = append(crashes[i], 99)
			}
		}
		now := time.Now()
		counts := map[Identity]int{}
		for _, crash := range crashes {
			for _, identity := range identities(crash) {
				counts[identity]++
			}
		}
		found := false
		entries, _ := crashLogOf(crashes, now).Decide(func(Identity) bool { return false }, now)
		for _, entry := range entries {
			if counts[entry.Identity] < crashThreshold || len(entry.Servers) != counts[entry.Identity] {
				t.Fatalf("quarantined with %d crashes of %d", len(entry.Servers), counts[entry.Identity])
			}
			found = found || entry.Identity == numbered(99, 100)[0]
		}
		if addPoison && len(crashes) > crashThreshold && !found {
			t.Fatal("the identity at all crashes was not quarantined")
		}
	})
}

// Memory is bounded, whatever callers send.
func TestCrashLogIsBounded(t *testing.T) {
	RegisterTestingT(t)
	log := NewCrashLog()
	now := time.Now()
	all := numbered(0, 4*maxSuspects)
	for i := range 3 * maxCrashes {
		log.Add([]Crash{{Server: fmt.Sprint("s", i), Suspects: all}}, now.Add(time.Duration(i)*time.Millisecond))
	}
	Expect(len(log.crashes)).To(BeNumerically("<=", maxCrashes+1))
	for _, crash := range log.crashes {
		Expect(len(crash.suspects)).To(BeNumerically("<=", maxSuspects))
	}
	log.Decide(func(Identity) bool { return false }, now.Add(crashRetention+time.Hour))
	Expect(log.crashes).To(BeEmpty())
}

// An entry starts at the first crash, whenever a node received its report.
func TestEntryStartsAtTheFirstCrash(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	log := NewCrashLog()
	for i, age := range []time.Duration{2 * time.Second, 9 * time.Second, 0} {
		log.Add([]Crash{{Server: fmt.Sprint("s", i), Suspects: numbered(0, 1), Age: age}}, now)
	}
	entries, _ := log.Decide(func(Identity) bool { return false }, now)
	Expect(entries).To(HaveLen(1))
	Expect(now.Sub(entries[0].Since)).To(Equal(9 * time.Second))
}

// crashesWithTimes returns crashes with the time that each numbered request had run there, in
// ms.
func crashesWithTimes(crashes ...map[int]int) []Crash {
	var found []Crash
	for i, crash := range crashes {
		server := Crash{Server: fmt.Sprint("s", i)}
		for number, millis := range crash {
			server.Suspects = append(server.Suspects, numbered(number, number+1)...)
			server.Elapsed = append(server.Elapsed, time.Duration(millis)*time.Millisecond)
		}
		found = append(found, server)
	}
	return found
}

// Guards against an unrelated request that is refused instead of the poison request at the same
// crashes: a poison request crashes its server a fixed time after its start.
func TestCrashLogQuarantinesTheLikeliestAtTheSameCrashes(t *testing.T) {
	cases := map[string]struct {
		crashes  []map[int]int
		expected int
	}{
		"crashes a server at once":               {[]map[int]int{{1: 800, 2: 3}, {1: 40, 2: 5}, {1: 310, 2: 2}}, 2},
		"crashes a server late":                  {[]map[int]int{{1: 90, 2: 2000}, {1: 700, 2: 2010}, {1: 10, 2: 2030}}, 2},
		"unknown times are no evidence":          {[]map[int]int{{1: -1, 2: 50}, {1: -1, 2: 400}, {1: -1, 2: 900}}, 2},
		"three, one of them with constant times": {[]map[int]int{{1: 5, 2: 30, 3: 900}, {1: 600, 2: 31, 3: 20}, {1: 77, 2: 29, 3: 400}}, 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			now := time.Now()
			log := NewCrashLog()
			log.Add(crashesWithTimes(test.crashes...), now)
			for i := range test.crashes {
				for number, millis := range test.crashes[i] {
					if millis < 0 {
						log.crashes[fmt.Sprint("s", i)].suspects[numbered(number, number+1)[0]] = unknownElapsed
					}
				}
			}
			entries, explained := log.Decide(func(Identity) bool { return false }, now)
			Expect(entries).To(HaveLen(1))
			Expect(entries[0].Identity).To(Equal(numbered(test.expected, test.expected+1)[0]))
			Expect(entries[0].Until.Sub(now)).To(Equal(provisionalQuarantine))
			Expect(entries[0].Rivals).To(HaveLen(len(test.crashes[0]) - 1))
			Expect(explained).To(BeEmpty())
		})
	}
}

// Guards against a false positive that lasts: the next crash, at which the quarantined request
// was not running, points to its rival.
func TestCrashLogReleasesWhatAnotherExplains(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	log := NewCrashLog()
	both := numbered(1, 3)
	log.Add(crashesWithTimes(map[int]int{1: 10, 2: 20}, map[int]int{1: 10, 2: 90}, map[int]int{1: 10, 2: 500}), now)
	entries, _ := log.Decide(func(Identity) bool { return false }, now)
	Expect(entries[0].Identity).To(Equal(both[0]))
	log.Add([]Crash{{Server: "s9", Suspects: both[1:], Elapsed: []time.Duration{0}}}, now)
	entries, explained := log.Decide(func(identity Identity) bool { return identity == both[0] }, now)
	Expect(entries).To(HaveLen(1))
	Expect(entries[0].Identity).To(Equal(both[1]))
	Expect(entries[0].Until.Sub(now)).To(Equal(initialQuarantine))
	Expect(explained).To(Equal(both[:1]))
}

// Guards against the release of a poison request, some of whose crashes have expired from the
// log while another request was running at the rest.
func TestCrashLogReleasesNothingAfterCrashesHaveExpired(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	log := NewCrashLog()
	quarantined := numbered(1, 2)[0]
	log.Add([]Crash{{Server: "a", Suspects: numbered(1, 2), Age: crashRetention + time.Second}, {Server: "b", Suspects: numbered(1, 3)}}, now)
	log.Add([]Crash{{Server: "c", Suspects: numbered(2, 3)}, {Server: "d", Suspects: numbered(2, 3)}, {Server: "e", Suspects: numbered(2, 3)}}, now)
	entries, explained := log.Decide(func(identity Identity) bool { return identity == quarantined }, now)
	Expect(entries).To(HaveLen(1))
	Expect(explained).To(BeEmpty())
}

// Guards against a rival that is quarantined when a provisional quarantine expires, for crashes
// that were explained.
func TestCrashLogQuarantinesNoRivalForSettledCrashes(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	log := NewCrashLog()
	log.Add(crashesWithTimes(map[int]int{1: 10, 2: 20}, map[int]int{1: 10, 2: 90}, map[int]int{1: 10, 2: 500}), now)
	none := func(Identity) bool { return false }
	entries, _ := log.Decide(none, now)
	log.QuarantineExpired(entries[0].Identity)
	entries, _ = log.Decide(none, now.Add(provisionalQuarantine))
	Expect(entries).To(BeEmpty())
	// One more crash is enough for the identity that was quarantined.
	log.Add([]Crash{{Server: "s9", Suspects: numbered(1, 2), Elapsed: []time.Duration{0}}}, now)
	entries, _ = log.Decide(none, now.Add(provisionalQuarantine))
	Expect(entries).To(HaveLen(1))
	Expect(entries[0].Until.Sub(now)).To(Equal(provisionalQuarantine + initialQuarantine))
}
