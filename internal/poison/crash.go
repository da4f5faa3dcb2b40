package poison

import (
	"slices"
	"time"
)

// Crash is an unplanned end of a server process, with the requests that were running there.
type Crash struct {
	// Server is the ID of the incarnation.
	Server   string
	Suspects []Identity
	// Elapsed is how long each suspect had run, in the same order. Earlier builds send none.
	Elapsed []time.Duration
	// Served are those of the suspects and parts that the reporting node has seen served before.
	Served []Identity
	// Age is the time since the crash at the moment of sending. Whether the suspects were
	// served since the crash depends on the time of the crash, not on that at which a node
	// receives the report.
	Age time.Duration
	// Parts are the parts of each suspect's prompt, in the order of the suspects. Earlier builds
	// send none.
	Parts [][]Identity
	// Trials are, for each suspect, the identities that it was a trial of.
	Trials [][]Identity
}

// withAges returns the crashes in the form in which they are sent at the given time.
func withAges(crashes []timedCrash, now time.Time) []Crash {
	reported := make([]Crash, len(crashes))
	for i, crash := range crashes {
		reported[i] = Crash{Server: crash.server, Suspects: identitiesOf(crash.suspects), Served: crash.served, Age: now.Sub(crash.at)}
		for _, suspect := range crash.suspects {
			reported[i].Elapsed = append(reported[i].Elapsed, suspect.elapsed)
			reported[i].Parts = append(reported[i].Parts, suspect.partIdentities())
			reported[i].Trials = append(reported[i].Trials, suspect.Trial.identities())
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

// partsOf and trialsOf return what is reported of the suspect at an index.
func (c Crash) partsOf(index int) []Identity  { return atIndex(c.Parts, index) }
func (c Crash) trialsOf(index int) []Identity { return atIndex(c.Trials, index) }

// atIndex returns an element, or none beyond the end.
func atIndex(lists [][]Identity, index int) []Identity {
	if index < len(lists) {
		return lists[index]
	}
	return nil
}

// identities returns those of all suspects and of their parts.
func (c Crash) identities() []Identity {
	return distinct(slices.Concat(append([][]Identity{c.Suspects}, c.Parts...)...))
}

// timedCrash is a crash with its time on this node's monotonic clock.
type timedCrash struct {
	server   string
	suspects []suspect
	served   []Identity
	at       time.Time
}

// identities returns those of all suspects and of their parts.
func (c timedCrash) identities() []Identity {
	var all []Identity
	for _, suspect := range c.suspects {
		all = append(all, suspect.Request.identities()...)
	}
	return distinct(all)
}

// distinct sorts identities and drops those that occur again.
func distinct(identities []Identity) []Identity {
	slices.SortFunc(identities, Identity.compare)
	return slices.Compact(identities)
}

// crashRecord merges what the nodes report about one crash.
type crashRecord struct {
	server string
	at     time.Time
	// suspects are the requests that were running, and the parts of their prompts, and how long
	// each had run.
	suspects map[Identity]time.Duration
	// requests are the requests that were reported, whether or not they are still suspects. parts
	// is what is known of the parts.
	requests map[Identity]bool
	parts    map[Identity]suspectedPart
	// trials are the identities on trial, each with those of the request that ran.
	trials map[Identity][]Identity
	// served are those of the suspects that some node reports as served before.
	served map[Identity]bool
	// settled is set once an identity was quarantined for this crash, not provisionally, and the
	// quarantine is over.
	settled bool
	// spent are the suspects that were as likely as one whose provisional quarantine is over.
	spent map[Identity]bool
}

// suspectedPart is what is known of a part of prompts at one crash.
type suspectedPart struct {
	// requests is the number of requests with the part, position the largest one in a prompt,
	// from 1 on.
	requests, position int
}

func newCrashRecord(server string, at time.Time) *crashRecord {
	return &crashRecord{
		server: server, at: at, suspects: map[Identity]time.Duration{}, served: map[Identity]bool{},
		requests: map[Identity]bool{}, parts: map[Identity]suspectedPart{}, trials: map[Identity][]Identity{},
	}
}

// addRequest records a request with its parts, unless it is known. Identities that are released
// from the crash are no suspects.
func (c *crashRecord) addRequest(identity Identity, elapsed time.Duration, parts, trials []Identity, isReleased func(Identity) bool) {
	known := c.requests[identity]
	if !known && len(c.requests) >= maxSuspects {
		return
	}
	c.requests[identity] = true
	if !identity.IsZero() && !isReleased(identity) {
		c.addSuspect(identity, elapsed)
	}
	for i, part := range parts[:min(len(parts), maxParts)] {
		before, suspected := c.parts[part]
		if !suspected && len(c.parts) >= maxSuspectedParts {
			break
		}
		if !known {
			before.requests++
		}
		before.position = max(before.position, i+1)
		c.parts[part] = before
		if !isReleased(part) {
			c.addSuspect(part, elapsed)
		}
	}
	for _, tried := range trials[:min(len(trials), maxParts)] {
		c.trials[tried] = append([]Identity{identity}, parts[:min(len(parts), maxParts)]...)
	}
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
