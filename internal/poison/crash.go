package poison

import "time"

// Crash is an unplanned end of a server process, with the requests that were running there.
type Crash struct {
	// Server is the ID of the incarnation.
	Server   string
	Suspects []Identity
	// Elapsed is how long each suspect had run, in the same order. Earlier builds send none.
	Elapsed []time.Duration
	// Served are those of the suspects that the reporting node has seen served before.
	Served []Identity
	// Age is the time since the crash at the moment of sending. Whether the suspects were
	// served since the crash depends on the time of the crash, not on that at which a node
	// receives the report.
	Age time.Duration
}

// withAges returns the crashes in the form in which they are sent at the given time.
func withAges(crashes []timedCrash, now time.Time) []Crash {
	reported := make([]Crash, len(crashes))
	for i, crash := range crashes {
		reported[i] = Crash{Server: crash.server, Suspects: identitiesOf(crash.suspects), Served: crash.served, Age: now.Sub(crash.at)}
		for _, suspect := range crash.suspects {
			reported[i].Elapsed = append(reported[i].Elapsed, suspect.elapsed)
		}
	}
	return reported
}

// unknownElapsed marks a suspect whose node did not report how long it had run.
const unknownElapsed = time.Duration(-1)

// elapsedOf returns how long the suspect at an index had run.
func (c Crash) elapsedOf(index int) time.Duration {
	if index < len(c.Elapsed) {
		return c.Elapsed[index]
	}
	return unknownElapsed
}

// timedCrash is a crash with its time on this node's monotonic clock.
type timedCrash struct {
	server   string
	suspects []suspect
	served   []Identity
	at       time.Time
}

// crashRecord merges what the nodes report about one crash.
type crashRecord struct {
	at time.Time
	// suspects, and how long each had run.
	suspects map[Identity]time.Duration
	// served are those of the suspects that some node reports as served before.
	served map[Identity]bool
	// settled is set once an identity was quarantined for this crash, not provisionally, and the
	// quarantine is over.
	settled bool
	// spent are the suspects that were as likely as one whose provisional quarantine is over.
	spent map[Identity]bool
}

// addSuspect records an identity. Of several attempts the one that ran longest counts: if the
// attempts crashed the server, the first of them did.
func (c *crashRecord) addSuspect(identity Identity, elapsed time.Duration) {
	if before, known := c.suspects[identity]; known {
		elapsed = max(elapsed, before)
	}
	c.suspects[identity] = elapsed
}

// spend excludes the crash from the fresh ones of a suspect.
func (c *crashRecord) spend(identity Identity) {
	if !c.hasSuspect(identity) {
		return
	}
	if c.spent == nil {
		c.spent = map[Identity]bool{}
	}
	c.spent[identity] = true
}

func (c *crashRecord) hasSuspect(identity Identity) bool {
	_, suspected := c.suspects[identity]
	return suspected
}

// explained reports whether an identity was running that is the proved cause of crashes, or was
// quarantined as such for this one.
func (c *crashRecord) explained(isProved func(Identity) bool) bool {
	if c.settled {
		return true
	}
	for identity := range c.suspects {
		if isProved(identity) {
			return true
		}
	}
	return false
}
