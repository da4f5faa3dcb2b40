package poison

import "slices"

// A crash in a trial proves an identity to be its cause where nothing else was running at the server.
// Otherwise it takes trialCrashes of them, or maxTrialCrashes if some had a suspect beside it that has
// other crashes as well: a poison request may run beside a trial at its own first crash.
const trialCrashes, maxTrialCrashes = 2, 3

// IsAmbiguous reports whether a crash under a request on trial for an identity would leave open
// which of the request's identities is the cause.
func (l *CrashLog) IsAmbiguous(identity Identity, others []Identity, wasQuarantined func(Identity) bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	attribution := l.newAttribution(wasQuarantined)
	return slices.ContainsFunc(others, func(other Identity) bool { return attribution.competes(other, identity, nil) })
}

// failedTrials returns, in order, the quarantined identities that trials show to be the cause of
// crashes that their quarantine isn't for yet.
func (a *attribution) failedTrials() []Identity {
	var failed []Identity
	for identity, crashes := range a.crashesOf {
		if a.wasQuarantined(identity) && a.failedTrial(identity, crashes) {
			failed = append(failed, identity)
		}
	}
	slices.SortFunc(failed, Identity.compare)
	return failed
}

// failedTrial reports whether one of an identity's crashes, in a trial, proves that it is the cause.
// Where that was proved before, each crash since its quarantine does.
func (a *attribution) failedTrial(identity Identity, crashes []*crashRecord) bool {
	past, count, unrivalled := a.log.past[identity], 0, 0
	for _, crash := range crashes {
		own, tried := crash.trials[identity]
		switch {
		case slices.Contains(past.servers, crash.server):
		case a.isProved(identity):
			if !past.refusedUntil.IsZero() && crash.at.After(past.refusedUntil) {
				return true
			}
		case tried && !a.hasCompetitor(crash, identity, own):
			if isAlone(crash, own) {
				return true
			}
			unrivalled++
			count++
		case tried:
			count++
		}
	}
	return unrivalled >= trialCrashes || count >= maxTrialCrashes
}

// isAlone reports whether only one request, with its own identities, was running at a crash.
func isAlone(crash *crashRecord, own []Identity) bool {
	for suspect := range crash.suspects {
		if !slices.Contains(own, suspect) {
			return false
		}
	}
	return true
}

// hasCompetitor reports whether another suspect may be the cause of a crash in the trial of an
// identity. Suspects that belong to the same request are own.
func (a *attribution) hasCompetitor(crash *crashRecord, identity Identity, own []Identity) bool {
	for suspect := range crash.suspects {
		if suspect == identity {
			continue
		}
		if slices.Contains(own, suspect) && a.competes(suspect, identity, crash) {
			return true
		}
		if !slices.Contains(own, suspect) && a.hasOtherCrash(suspect, crash) {
			return true
		}
	}
	return false
}

// competes reports whether another identity of the same request may be the cause of a crash as well:
// one that has other crashes, besides that of the trial, and isn't broader. A broader one is
// suspected later, if crashes are left.
func (a *attribution) competes(other, identity Identity, trial *crashRecord) bool {
	return other != identity && a.hasOtherCrash(other, trial) && !a.isBroader(other, identity)
}

// hasOtherCrash reports whether an identity is suspected of another crash that nothing explains.
func (a *attribution) hasOtherCrash(identity Identity, trial *crashRecord) bool {
	return slices.ContainsFunc(a.crashesOf[identity], func(crash *crashRecord) bool { return crash != trial && !a.explained[crash] })
}
