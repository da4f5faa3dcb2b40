package poison

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// mostSentEntries entries are sent with the answer to a report.
const mostSentEntries = 32

// report gathers ends for a moment and sends them to the collectors.
func (g *Guard) report(end timedEnd) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.gathered = append(g.gathered, end)
	if len(g.gathered) == 1 {
		time.AfterFunc(reportPause, g.sendGathered)
	}
}

func (g *Guard) sendGathered() {
	now := time.Now()
	g.mutex.Lock()
	ends := g.gathered
	g.gathered = nil
	collectors := g.config.Collectors()
	for _, collector := range collectors {
		if collector != g.config.Address {
			g.unanswered = append(g.unanswered, &unanswered{collector: collector, ends: ends, since: now})
		}
	}
	g.mutex.Unlock()
	if len(collectors) == 0 {
		g.shared.add(ends, now)
	}
	g.sendUnanswered(now)
	g.take(aged(ends, now))
}

// sendUnanswered sends the reports that have no answer yet, for a while.
func (g *Guard) sendUnanswered(now time.Time) {
	g.mutex.Lock()
	var kept, due []*unanswered
	for _, report := range g.unanswered {
		if now.Sub(report.since) > reportMemory {
			continue
		}
		kept = append(kept, report)
		if now.Sub(report.since) >= shareAfter {
			g.shared.add(report.ends, now)
		}
		if !report.sending {
			report.sending = true
			due = append(due, report)
		}
	}
	g.unanswered = kept
	g.mutex.Unlock()
	for _, report := range due {
		g.config.Transport.Call(report.collector, Report{Ends: aged(report.ends, now)}, reportTimeout, func(message peer.Message, err error) {
			g.answered(report, message, err)
		})
	}
}

func (g *Guard) answered(report *unanswered, message peer.Message, err error) {
	if entries, told := message.(Entries); told && err == nil {
		for _, held := range entries.Entries {
			g.receiveEntry(held, report.collector)
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	report.sending = false
	if err != nil {
		g.config.Logger.Debug().Str("node", report.collector).Err(err).Msg("report of ended servers not answered")
		return
	}
	for i, open := range g.unanswered {
		if open == report {
			g.unanswered = append(g.unanswered[:i:i], g.unanswered[i+1:]...)
			return
		}
	}
}

func (g *Guard) serveReport(_ string, message peer.Message, reply func(peer.Message, error)) {
	g.take(message.(Report).Ends)
	reply(g.newestEntries(), nil)
}

// newestEntries are sent with the answer to a report, so that a node which reports and
// was not reached by an entry receives it.
func (g *Guard) newestEntries() Entries {
	entries := g.Entries()
	slices.SortFunc(entries, func(a, b Entry) int { return b.Until.Compare(a.Until) })
	var newest Entries
	for _, entry := range entries[:min(len(entries), mostSentEntries)] {
		newest.Entries = append(newest.Entries, entry.message(time.Now()))
	}
	return newest
}

// take notes ends, reports to the other collectors what this node has served of their suspects,
// and decides after a pause in which other nodes report as well.
func (g *Guard) take(ends []ServerEnd) {
	now := time.Now()
	g.ledger.Add(ends, now)
	if served := g.endsWithServed(ends); len(served) > 0 {
		g.ledger.Add(served, now)
		g.sendToCollectors(Report{Ends: served})
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.deciding {
		g.deciding = true
		time.AfterFunc(settlePause, g.decide)
	}
}

// endsWithServed returns the ends of whose suspects this node has seen some served that the
// reporting node has not, with these alone: a node that had nothing under way at a server
// reports nothing of its own.
func (g *Guard) endsWithServed(ends []ServerEnd) []ServerEnd {
	var found []ServerEnd
	for _, end := range ends {
		isReported := func(identity Identity) bool { return slices.Contains(end.Served, identity) }
		if served := slices.DeleteFunc(g.served.of(end.Suspects), isReported); len(served) > 0 {
			found = append(found, ServerEnd{Server: end.Server, Served: served, Age: end.Age})
		}
	}
	return found
}

// sendToCollectors sends a report to the other collectors, which need not answer.
func (g *Guard) sendToCollectors(report Report) {
	for _, collector := range g.otherCollectors() {
		g.config.Transport.Send(collector, report)
	}
}

func (g *Guard) otherCollectors() []string {
	isOwn := func(collector string) bool { return collector == g.config.Address }
	return slices.DeleteFunc(slices.Clone(g.config.Collectors()), isOwn)
}

func (g *Guard) decide() {
	g.mutex.Lock()
	g.deciding = false
	g.mutex.Unlock()
	now := time.Now()
	entries, explained := g.ledger.Decide(g.quarantine.heldAt(now), now)
	for _, entry := range entries {
		if _, contradicted := g.contradict(entry); contradicted {
			continue
		}
		if g.hold(entry, "own count", objectionTime) {
			g.broadcast(entry.message(time.Now()), true)
			g.save(entry)
		}
	}
	for _, identity := range explained {
		g.release(identity, "another request explains its ends")
		g.broadcast(Released{Identity: identity, Explained: true}, true)
		g.record.remove(identity, now)
	}
}

// confirm holds for good what is held provisionally, once servers have served all its rivals
// since: none of these explains the ends.
func (g *Guard) confirm(now time.Time) {
	for _, entry := range g.Entries() {
		if !entry.provisional() || slices.ContainsFunc(entry.Rivals, func(rival Identity) bool { return !g.servedSince(rival, entry.Since) }) {
			continue
		}
		confirmed := entry.confirmed(now)
		if g.hold(confirmed, "its rivals were served", 0) {
			g.broadcast(confirmed.message(now), true)
			g.save(confirmed)
		}
	}
}

func (g *Guard) servedSince(identity Identity, since time.Time) bool {
	began, known := g.served.last(identity)
	return known && began.After(since)
}

// clearRival reports to the collectors that a rival of what is held provisionally was served:
// the other rivals may be served at other nodes.
func (g *Guard) clearRival(identity Identity, began time.Time) {
	if !g.quarantine.hasRival(identity, began) {
		return
	}
	for _, collector := range g.otherCollectors() {
		g.config.Transport.Send(collector, Released{Identity: identity, Age: time.Since(began)})
	}
}

// save keeps an entry for nodes that start later, unless it is over before they have.
func (g *Guard) save(entry Entry) {
	if !entry.provisional() {
		g.record.wanted(entry, time.Now())
	}
}

// hold takes an entry over, which others may object to for a time, and reports whether the
// identity was not held before.
func (g *Guard) hold(entry Entry, toldBy string, objections time.Duration) bool {
	now := time.Now()
	if !g.quarantine.add(entry, now.Add(objections), now) {
		return false
	}
	g.ledger.Remember(entry)
	g.config.Logger.Warn().Str("identity", entry.Identity.Text()).Int("ends", len(entry.Servers)).Strs("servers", entry.Servers).
		Int("times", entry.Times).Bool("provisional", entry.provisional()).Dur("for_ms", entry.Until.Sub(now)).Str("told_by", toldBy).Msg("request refused by all nodes from now on")
	return true
}

// contradict reports whether a server has served the identity since the first end of the
// entry, and what to answer then.
func (g *Guard) contradict(entry Entry) (Released, bool) {
	if !g.servedSince(entry.Identity, entry.Since) {
		return Released{}, false
	}
	began, _ := g.served.last(entry.Identity)
	g.release(entry.Identity, "a server has served it since")
	return Released{Identity: entry.Identity, Age: time.Since(began)}, true
}

// release lets an identity go, and reports whether it was held.
func (g *Guard) release(identity Identity, reason string) bool {
	g.ledger.Clear(identity)
	g.shared.clear(identity)
	g.record.forget(identity)
	held := g.quarantine.remove(identity)
	if held {
		g.config.Logger.Warn().Str("identity", identity.Text()).Str("reason", reason).Msg("request released")
	}
	return held
}

// broadcast sends a message to the nodes that follow this one, and to the collectors, if it
// is this node's own or it is one of them: so it arrives where some of them don't reach
// each other, and not every node sends to all of them.
func (g *Guard) broadcast(message peer.Message, own bool) {
	reached := map[string]bool{g.config.Address: true}
	addresses := g.config.Followers()
	if collectors := g.config.Collectors(); own || slices.Contains(collectors, g.config.Address) {
		addresses = append(addresses, collectors...)
	}
	for _, address := range addresses {
		if !reached[address] {
			reached[address] = true
			g.config.Transport.Send(address, message)
		}
	}
}

func (g *Guard) serveQuarantined(from string, message peer.Message, reply func(peer.Message, error)) {
	g.receiveEntry(message.(Quarantined), from)
	reply(nil, nil)
}

// receiveEntry takes over and passes on the entry of another node.
func (g *Guard) receiveEntry(received Quarantined, from string) {
	entry := received.entry(time.Now())
	if released, contradicted := g.contradict(entry); contradicted {
		g.config.Transport.Send(from, released)
		return
	}
	if g.hold(entry, from, objectionTime) {
		g.broadcast(received, false)
		g.save(entry)
	}
}

// serveReleased takes over that an identity is harmless, and passes the message on if it was
// held here. That it was served is kept, so that an entry in flight does not hold it again.
func (g *Guard) serveReleased(from string, message peer.Message, reply func(peer.Message, error)) {
	released := message.(Released)
	reason := "another request explains its ends"
	if !released.Explained {
		reason = "a server has served it since"
		g.served.add(released.Identity, time.Now().Add(-released.Age))
	}
	if g.release(released.Identity, reason+", told by "+from) {
		g.broadcast(released, false)
	}
	reply(nil, nil)
}
