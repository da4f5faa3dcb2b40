package router

import "math/rand/v2"

// TwoChoices takes the better scored of two random candidates, and of the
// preferred one if there is any. Taking the best of all would send the
// requests of all nodes to the one endpoint that looked best a moment ago.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(random *rand.Rand, candidates []Candidate) int {
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

func better(candidates []Candidate, first, second int) int {
	if candidates[second].Score > candidates[first].Score {
		return second
	}
	return first
}
