package poison

import "time"

// trialState is how far the trials of an entry are. Its phase only grows, so that an older
// message never replaces a newer one: it is even while a node may begin a trial, and odd while
// one may be under way, in both cases until a time at most.
type trialState struct {
	phase int
	until time.Time
}

func (s trialState) isOpen(now time.Time) bool {
	return s.phase > 0 && s.phase%2 == 0 && now.Before(s.until)
}

func (s trialState) isUnderWay(now time.Time) bool { return s.phase%2 == 1 && now.Before(s.until) }

// opened and begun return the state in which a trial may begin, and that in which it has begun.
func (s trialState) opened(until time.Time) trialState {
	return trialState{phase: max(s.phase+s.phase%2, 2), until: until}
}

func (s trialState) begun(until time.Time) trialState {
	return trialState{phase: s.opened(until).phase + 1, until: until}
}

// merged returns the newer one of two states.
func (s trialState) merged(other trialState) trialState {
	if other.phase > s.phase || other.phase == s.phase && other.until.Sub(s.until) >= minExtension {
		return other
	}
	return s
}
