package poison

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// maxSentEntries limits the entries in the reply to a report.
const maxSentEntries = 32

// queueCrash adds a crash to the next report to the collectors.
func (g *Guard) queueCrash(crash timedCrash) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.pending = append(g.pending, crash)
	if len(g.pending) == 1 {
		time.AfterFunc(reportBatchDelay, g.sendPending)
	}
}

func (g *Guard) sendPending() {
	now := time.Now()
	g.mutex.Lock()
	crashes := g.pending
	g.pending = nil
	collectors := g.config.Collectors()
	for _, collector := range collectors {
		if collector != g.config.Address {
			g.unacknowledged = append(g.unacknowledged, &unacknowledgedReport{collector: collector, crashes: crashes, since: now})
		}
	}
	g.mutex.Unlock()
	if len(collectors) == 0 {
		g.shared.add(crashes, now)
	}
	g.sendReports(now)
	g.recordCrashes(withAges(crashes, now))
}

// sendReports sends the unacknowledged reports, until reportRetryWindow has passed.
func (g *Guard) sendReports(now time.Time) {
	g.mutex.Lock()
	var kept, due []*unacknowledgedReport
	for _, report := range g.unacknowledged {
		if now.Sub(report.since) > reportRetryWindow {
			continue
		}
		kept = append(kept, report)
		if now.Sub(report.since) >= storeFallbackDelay {
			g.shared.add(report.crashes, now)
		}
		if !report.sending {
			report.sending = true
			due = append(due, report)
		}
	}
	g.unacknowledged = kept
	g.mutex.Unlock()
	for _, report := range due {
		g.config.Transport.Call(report.collector, Report{Ends: withAges(report.crashes, now)}, reportTimeout, func(message peer.Message, err error) {
			g.reportAnswered(report, message, err)
		})
	}
}

func (g *Guard) reportAnswered(report *unacknowledgedReport, message peer.Message, err error) {
	if entries, ok := message.(Entries); ok && err == nil {
		for _, quarantined := range entries.Entries {
			g.receiveEntry(quarantined, report.collector)
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	report.sending = false
	if err != nil {
		g.config.Logger.Debug().Str("node", report.collector).Err(err).Msg("report of ended servers not answered")
		return
	}
	for i, other := range g.unacknowledged {
		if other == report {
			g.unacknowledged = append(g.unacknowledged[:i:i], g.unacknowledged[i+1:]...)
			return
		}
	}
}

func (g *Guard) serveReport(_ string, message peer.Message, reply func(peer.Message, error)) {
	g.recordCrashes(message.(Report).Ends)
	reply(g.newestEntries(), nil)
}

// newestEntries are the reply to a report, so that a reporting node that missed an entry
// receives it.
func (g *Guard) newestEntries() Entries {
	entries := g.Entries()
	slices.SortFunc(entries, func(a, b Entry) int { return b.Until.Compare(a.Until) })
	var newest Entries
	for _, entry := range entries[:min(len(entries), maxSentEntries)] {
		newest.Entries = append(newest.Entries, entry.message(time.Now()))
	}
	return newest
}

// recordCrashes counts crashes, reports to the other collectors which of their suspects this
// node has served, and schedules the decision after a delay in which other nodes report as
// well.
func (g *Guard) recordCrashes(crashes []Crash) {
	now := time.Now()
	g.crashes.Add(crashes, now)
	if served := g.crashesWithServed(crashes); len(served) > 0 {
		g.crashes.Add(served, now)
		g.sendToCollectors(Report{Ends: served})
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.decisionScheduled {
		g.decisionScheduled = true
		time.AfterFunc(decisionDelay, g.decide)
	}
}

// crashesWithServed returns the crashes with only those suspects that this node has seen served
// and the reporting node has not. It is needed since a node that had nothing running at a
// server sends no report of its own.
func (g *Guard) crashesWithServed(crashes []Crash) []Crash {
	var found []Crash
	for _, crash := range crashes {
		isReported := func(identity Identity) bool { return slices.Contains(crash.Served, identity) }
		if served := slices.DeleteFunc(g.served.among(crash.identities()), isReported); len(served) > 0 {
			found = append(found, Crash{Server: crash.Server, Served: served, Age: crash.Age})
		}
	}
	return found
}

// sendToCollectors sends a report to the other collectors, without waiting for replies.
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
	g.decisionScheduled = false
	g.mutex.Unlock()
	g.clearServed()
	now := time.Now()
	entries, explained := g.crashes.Decide(g.quarantine.quarantinedAt(now), now)
	for _, entry := range entries {
		if _, served := g.releaseIfServed(entry); served {
			continue
		}
		if g.applyEntry(entry, "own count", objectionWindow) {
			g.broadcast(entry.message(time.Now()), true)
			g.saveEntry(entry)
		}
	}
	for _, identity := range explained {
		g.releaseExplained(identity)
	}
}

// releaseExplained releases an identity from the crashes that another one explains. It stays
// suspected of the others: without it, a third request that was running there would seem to be
// their only possible cause.
func (g *Guard) releaseExplained(identity Identity) {
	now := time.Now()
	released := Released{Identity: identity, Explained: true, Ends: g.crashes.ExplainedCrashes(identity, g.quarantine.quarantinedAt(now))}
	if len(released.Ends) == 0 {
		// It was released meanwhile by a message.
		return
	}
	if removed, _ := g.release(identity, released.Ends, "another request explains its crashes"); removed {
		g.broadcast(released, true)
		g.entryStore.remove(identity, now)
	}
}

// clearServed clears the suspects that this node knows to have been served since their first
// crash. Otherwise they would leave open which of the others is the cause, or be taken for it.
func (g *Guard) clearServed() {
	for identity, since := range g.crashes.Suspects() {
		if g.servedSince(identity, since) {
			g.release(identity, g.knownCrashes(identity), "a server has served it since")
		}
	}
}

// confirm makes provisional entries final once servers have served all their rivals since the
// first crash: then no rival explains the crashes. Once trials are admitted, these decide instead.
func (g *Guard) confirm(now time.Time) {
	for _, entry := range g.Entries() {
		if !entry.provisional() || entry.ServedBefore || !now.Before(entry.Until) {
			continue
		}
		if slices.ContainsFunc(entry.Rivals, func(rival Identity) bool { return !g.servedSince(rival, entry.Since) }) {
			continue
		}
		confirmed := entry.confirmed(now)
		if g.applyEntry(confirmed, "its rivals were served", 0) {
			g.broadcast(confirmed.message(now), true)
			g.saveEntry(confirmed)
		}
	}
}

func (g *Guard) servedSince(identity Identity, since time.Time) bool {
	began, known := g.served.lastBegan(identity)
	return known && began.After(since)
}

// reportRivalServed reports to the collectors that a rival of a provisional entry was served:
// its other rivals may be served at other nodes. The entry is confirmed at once if none is left.
func (g *Guard) reportRivalServed(identity Identity, began time.Time) {
	if g.quarantine.hasRival(identity, began) {
		g.sendServed(identity, began)
		g.confirm(time.Now())
	}
}

// reportServedRivals reports to the collectors which rivals of a new entry servers have served
// since its first crash.
func (g *Guard) reportServedRivals(entry Entry) {
	for _, rival := range entry.Rivals {
		if began, known := g.served.lastBegan(rival); known && began.After(entry.Since) {
			g.sendServed(rival, began)
		}
	}
}

// sendServed reports to the collectors that a server has served an identity.
func (g *Guard) sendServed(identity Identity, began time.Time) {
	for _, collector := range g.otherCollectors() {
		g.config.Transport.Send(collector, Released{Identity: identity, Age: time.Since(began)})
	}
}

// saveEntry saves an entry for nodes that start later.
func (g *Guard) saveEntry(entry Entry) { g.entryStore.save(entry, time.Now()) }

// applyEntry quarantines an identity, subject to an objection window, and reports whether it
// was not quarantined before. An entry whose identity was released is dropped.
func (g *Guard) applyEntry(entry Entry, source string, window time.Duration) bool {
	now := time.Now()
	if g.crashes.IsReleased(entry) || !g.quarantine.add(entry, now.Add(window), now) {
		return false
	}
	if g.quarantine.removeIf(entry.Identity, g.crashes.IsReleased) {
		// It was released after the first check.
		return false
	}
	g.crashes.RememberEntry(entry)
	g.trials.forget(entry.Identity)
	g.config.Logger.Warn().Str("identity", entry.Identity.Text()).Int("ends", len(entry.Servers)).Strs("servers", entry.Servers).
		Int("times", entry.Times).Bool("provisional", entry.provisional()).Dur("for_ms", entry.Until.Sub(now)).Dur("trials_until_ms", entry.expires().Sub(now)).Str("told_by", source).Msg("request refused by all nodes from now on")
	g.reportServedRivals(entry)
	return true
}

// releaseIfServed releases an identity that a server has served since the first crash of the
// entry. It reports whether that is so, with the message to answer with.
func (g *Guard) releaseIfServed(entry Entry) (Released, bool) {
	if !g.servedSince(entry.Identity, entry.Since) {
		return Released{}, false
	}
	began, _ := g.served.lastBegan(entry.Identity)
	released := Released{Identity: entry.Identity, Age: time.Since(began), Ends: mergeServers(g.knownCrashes(entry.Identity), entry.Servers)}
	g.release(entry.Identity, released.Ends, "a server has served it since")
	return released, true
}

// release drops an identity from the quarantine and from the suspects of crashes. It reports
// whether the identity was quarantined, and whether it had not been released from all of these
// crashes before.
func (g *Guard) release(identity Identity, servers []string, reason string) (removed, grew bool) {
	grew = g.crashes.Release(identity, servers, time.Now())
	g.shared.clear(identity, servers)
	removed = g.quarantine.removeIf(identity, g.crashes.IsReleased)
	g.trials.forget(identity)
	if removed {
		g.entryStore.cancelSave(identity)
		g.config.Logger.Warn().Str("identity", identity.Text()).Str("reason", reason).Msg("request released")
	}
	return removed, grew
}

// knownCrashes returns the servers that, as far as this node knows, crashed under an identity.
func (g *Guard) knownCrashes(identity Identity) []string {
	entry, _ := g.quarantine.Lookup(identity, time.Now())
	return mergeServers(g.crashes.CrashesOf(identity), entry.Servers)
}

// mergeServers returns the servers of both lists, in order.
func mergeServers(one, other []string) []string {
	merged := slices.Concat(one, other)
	slices.Sort(merged)
	return slices.Compact(merged)
}

// broadcast sends a message to this node's followers, and also to the collectors if the message
// originates here or this node is a collector: so it arrives where some collectors don't reach
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

// receiveEntry applies and forwards the entry of another node.
func (g *Guard) receiveEntry(received Quarantined, from string) {
	entry := received.entry(time.Now())
	if released, served := g.releaseIfServed(entry); served {
		g.config.Transport.Send(from, released)
		return
	}
	if g.applyEntry(entry, from, objectionWindow) {
		g.broadcast(received, false)
		g.saveEntry(entry)
	}
}

// serveReleased releases an identity, and forwards the message if the identity was quarantined
// here, or if it is new that other requests explain its crashes: the entry may still be in flight
// to nodes that receive it from here. That it was served is recorded, so that an entry in flight
// does not quarantine it again.
func (g *Guard) serveReleased(from string, message peer.Message, reply func(peer.Message, error)) {
	released := message.(Released)
	reason, servers := "another request explains its crashes", released.Ends
	if !released.Explained {
		reason = "a server has served it since"
		began := time.Now().Add(-released.Age)
		g.served.addIdentity(released.Identity, began)
		if g.quarantine.hasRival(released.Identity, began) {
			g.confirm(time.Now())
		}
	}
	if !released.Explained || len(released.Ends) == 0 {
		servers = mergeServers(released.Ends, g.knownCrashes(released.Identity))
	}
	removed, grew := g.release(released.Identity, servers, reason+", reported by "+from)
	if removed || grew && released.Explained {
		g.broadcast(released, false)
	}
	if removed {
		// The node that sent it deletes the key, unless it stops before.
		g.entryStore.remove(released.Identity, time.Now().Add(2*saveInterval+g.entryStore.delay(released.Identity)))
	}
	reply(nil, nil)
}
