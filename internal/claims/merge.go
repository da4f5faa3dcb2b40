package claims

import (
	"slices"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// keyTally counts the votes of the sealed acceptors for one key.
type keyTally struct {
	entry KeyRecord
	votes map[outside.AttemptID]int
	// contested: an acceptor holds the key as contested from an earlier merge.
	contested bool
	// recordedBy is the holder whose outcome is recorded; empty if none is.
	recordedBy outside.AttemptID
}

// mergeEntries merges the entries collected from the sealed acceptors, sorted by key. A key whose
// winner is uncertain stays contested: it keeps all its possible holders, and no new attempt wins it.
func mergeEntries(collected [][]KeyRecord, configuration Configuration) []KeyRecord {
	tallies := map[Key]*keyTally{}
	for _, entries := range collected {
		for _, entry := range entries {
			tally, seen := tallies[entry.Key]
			if !seen {
				tally = &keyTally{entry: entry, votes: map[outside.AttemptID]int{}}
				tallies[entry.Key] = tally
			}
			tally.add(entry)
		}
	}
	merged := make([]KeyRecord, 0, len(tallies))
	for _, tally := range tallies {
		tally.entry.Holders = tally.resolveHolders(configuration.writeQuorum())
		merged = append(merged, tally.entry)
	}
	slices.SortFunc(merged, func(a, b KeyRecord) int {
		if lessKey(a.Key, b.Key) {
			return -1
		}
		return 1
	})
	return merged
}

// add counts one acceptor's entry.
func (t *keyTally) add(entry KeyRecord) {
	t.entry.Age = max(t.entry.Age, entry.Age)
	if entry.Outcome != nil && len(entry.Holders) == 1 {
		t.entry.Outcome = entry.Outcome
		t.recordedBy = entry.Holders[0]
	}
	t.contested = t.contested || len(entry.Holders) > 1
	for _, holder := range entry.Holders {
		t.votes[holder]++
	}
}

// resolveHolders returns the winner if it is certain, otherwise all attempts that may have won.
func (t *keyTally) resolveHolders(writeQuorum int) []outside.AttemptID {
	if t.recordedBy != "" {
		return []outside.AttemptID{t.recordedBy}
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
