package claims

import (
	"slices"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// keyTally gathers what the sealed acceptors hold of one key.
type keyTally struct {
	entry     KeyRecord
	votes     map[outside.AttemptID]int
	contested bool
	// recorded is the holder whose outcome is known.
	recorded outside.AttemptID
}

// mergeEntries unites the entries of sealed acceptors, in order of key. A key
// whose winner can't be told stays contested: it keeps all its holders, and no
// new attempt wins it.
func mergeEntries(complete [][]KeyRecord, configuration Configuration) []KeyRecord {
	tallies := map[Key]*keyTally{}
	for _, entries := range complete {
		for _, entry := range entries {
			tally, seen := tallies[entry.Key]
			if !seen {
				tally = &keyTally{entry: entry, votes: map[outside.AttemptID]int{}}
				tallies[entry.Key] = tally
			}
			tally.add(entry)
		}
	}
	united := make([]KeyRecord, 0, len(tallies))
	for _, tally := range tallies {
		tally.entry.Holders = tally.settle(configuration.writeQuorum())
		united = append(united, tally.entry)
	}
	slices.SortFunc(united, func(a, b KeyRecord) int {
		if lessKey(a.Key, b.Key) {
			return -1
		}
		return 1
	})
	return united
}

func (t *keyTally) add(entry KeyRecord) {
	t.entry.Age = max(t.entry.Age, entry.Age)
	if entry.Outcome != nil && len(entry.Holders) == 1 {
		t.entry.Outcome = entry.Outcome
		t.recorded = entry.Holders[0]
	}
	t.contested = t.contested || len(entry.Holders) > 1
	for _, holder := range entry.Holders {
		t.votes[holder]++
	}
}

// settle returns the winner if it is certain, else all that may have won.
func (t *keyTally) settle(writeQuorum int) []outside.AttemptID {
	if t.recorded != "" {
		return []outside.AttemptID{t.recorded}
	}
	holders := make([]outside.AttemptID, 0, len(t.votes))
	for holder, votes := range t.votes {
		if !t.contested && votes >= writeQuorum {
			return []outside.AttemptID{holder}
		}
		holders = append(holders, holder)
	}
	slices.Sort(holders)
	return holders
}
