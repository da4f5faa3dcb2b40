package poison

import "time"

// ServerEnd is a server that ended, with what was under way there.
type ServerEnd struct {
	// Server is the ID of its incarnation.
	Server   string
	Suspects []Identity
	// Elapsed is how long each of them had run, in the same order. Earlier builds send none.
	Elapsed []time.Duration
	// Served are those of them that the reporting node has seen served before.
	Served []Identity
	// Age of the end when this is sent. Whether its suspects were served since depends on
	// the time of the end, not on that at which a node receives the report.
	Age time.Duration
}

// aged returns the ends as they are sent at the time.
func aged(ends []timedEnd, now time.Time) []ServerEnd {
	reported := make([]ServerEnd, len(ends))
	for i, end := range ends {
		reported[i] = ServerEnd{Server: end.server, Suspects: identitiesOf(end.suspects), Served: end.served, Age: now.Sub(end.at)}
		for _, suspect := range end.suspects {
			reported[i].Elapsed = append(reported[i].Elapsed, suspect.elapsed)
		}
	}
	return reported
}

// unknownElapsed is that of a suspect whose node did not report how long it had run.
const unknownElapsed = time.Duration(-1)

// elapsedOf returns how long the suspect at an index had run.
func (e ServerEnd) elapsedOf(index int) time.Duration {
	if index < len(e.Elapsed) {
		return e.Elapsed[index]
	}
	return unknownElapsed
}

// timedEnd is a server's end with its time on this node's steady clock.
type timedEnd struct {
	server   string
	suspects []suspect
	served   []Identity
	at       time.Time
}

// ledgerEnd unites what the nodes report of one end.
type ledgerEnd struct {
	at time.Time
	// suspects, and how long each had run.
	suspects map[Identity]time.Duration
	// served are those of them that were served before, as some node reports.
	served map[Identity]bool
	// settled: an identity was held for this end, and its hold is over.
	settled bool
}

// suspect notes an identity. Of several attempts the longest one counts: the first of them
// ended the server, if they did.
func (e *ledgerEnd) suspect(identity Identity, elapsed time.Duration) {
	if before, known := e.suspects[identity]; known {
		elapsed = max(elapsed, before)
	}
	e.suspects[identity] = elapsed
}

func (e *ledgerEnd) has(identity Identity) bool {
	_, suspected := e.suspects[identity]
	return suspected
}

// explained reports whether an identity that is held, or was held for it, was under way.
func (e *ledgerEnd) explained(held func(Identity) bool) bool {
	if e.settled {
		return true
	}
	for identity := range e.suspects {
		if held(identity) {
			return true
		}
	}
	return false
}
