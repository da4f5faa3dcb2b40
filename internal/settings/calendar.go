package settings

import "time"

// RoundLength returns the time from a round's opening to the end of its last phase.
func (w Workload) RoundLength() time.Duration {
	var length time.Duration
	for _, phase := range w.Phases[1:] {
		length += phase.Duration
	}
	return length
}

// Openings returns the times before the horizon at which rounds open, in the order
// of Rounds.
func (w Workload) Openings(horizon time.Duration) []time.Duration {
	var openings []time.Duration
	for _, round := range w.Rounds {
		for opening := round.Start; opening < horizon; opening += round.Every {
			openings = append(openings, opening)
			if round.Every == 0 {
				break
			}
		}
	}
	return openings
}

// RateAt returns the requests per second of a class with the given rates by phase,
// at a time after the beginning of the calendar. Between rounds it is the rate of
// the quiet phase; the rates of overlapping rounds are added.
func (w Workload) RateAt(rates map[string]float64, at time.Duration) float64 {
	quiet := rates[w.Phases[0].Name]
	total := quiet
	for _, round := range w.Rounds {
		if elapsed, open := round.elapsed(at, w.RoundLength()); open {
			total += round.Scale * (w.rateInRound(rates, elapsed) - quiet)
		}
	}
	return max(total, 0)
}

// PhaseAt returns the phase at a time after the beginning of the calendar. If
// several rounds are open, it is the phase of the one opened last; if none is, it
// is the quiet phase.
func (w Workload) PhaseAt(at time.Duration) Phase {
	newest, found := time.Duration(0), false
	for _, round := range w.Rounds {
		elapsed, open := round.elapsed(at, w.RoundLength())
		if open && (!found || elapsed < newest) {
			newest, found = elapsed, true
		}
	}
	if !found {
		return w.Phases[0]
	}
	index, _ := w.phaseInRound(newest)
	return w.Phases[index]
}

// elapsed returns the time since the round's latest opening, and whether the round
// is still open.
func (r Round) elapsed(at, length time.Duration) (time.Duration, bool) {
	since := at - r.Start
	if since < 0 {
		return 0, false
	}
	if r.Every > 0 {
		since %= r.Every
	}
	return since, since < length
}

// phaseInRound returns the index of the phase at a time after the opening, and the
// time since that phase began.
func (w Workload) phaseInRound(elapsed time.Duration) (int, time.Duration) {
	last := len(w.Phases) - 1
	for index := 1; index < last; index++ {
		if elapsed < w.Phases[index].Duration {
			return index, elapsed
		}
		elapsed -= w.Phases[index].Duration
	}
	return last, elapsed
}

// rateInRound returns the rate at a time after the opening. It changes linearly
// from the rate of the previous phase during the ramp.
func (w Workload) rateInRound(rates map[string]float64, elapsed time.Duration) float64 {
	index, since := w.phaseInRound(elapsed)
	phase := w.Phases[index]
	target := rates[phase.Name]
	if since >= phase.Ramp {
		return target
	}
	before := rates[w.Phases[index-1].Name]
	return before + (target-before)*float64(since)/float64(phase.Ramp)
}
