package router

import "math/rand/v2"

// PowerOfTwoChoices picks the candidate with the highest score among two random ones and the
// preferred ones. Picking the best of all would make all nodes send their requests to the same
// endpoint, the one that scored best by the last load figures.
type PowerOfTwoChoices struct{}

// Pick implements Picker.
func (PowerOfTwoChoices) Pick(random *rand.Rand, candidates []Candidate) int {
	count := len(candidates)
	if count == 1 {
		return 0
	}
	first := random.IntN(count)
	second := random.IntN(count - 1)
	if second >= first {
		second++
	}
	best := better(candidates, first, second)
	for index := range candidates {
		if candidates[index].Preferred {
			best = better(candidates, best, index)
		}
	}
	return best
}

// better returns the index of the higher score; the first on a tie.
func better(candidates []Candidate, first, second int) int {
	if candidates[second].Score > candidates[first].Score {
		return second
	}
	return first
}
