package poison

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// mostTold verdicts go with the answer to a report.
const mostTold = 32

// report gathers ends for a moment and sends them to the nodes that judge.
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
	for _, judge := range g.config.Judges() {
		if judge != g.config.Address {
			g.unanswered = append(g.unanswered, &unanswered{judge: judge, ends: ends, since: now})
		}
	}
	g.mutex.Unlock()
	g.sendUnanswered(now)
	g.take(aged(ends, now))
}

// sendUnanswered sends the reports that no judge has answered yet, for a while.
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
		g.config.Transport.Call(report.judge, Report{Ends: aged(report.ends, now)}, reportTimeout, func(message peer.Message, err error) {
			g.answered(report, message, err)
		})
	}
}

func (g *Guard) answered(report *unanswered, message peer.Message, err error) {
	if verdicts, told := message.(Verdicts); told && err == nil {
		for _, condemned := range verdicts.Condemned {
			g.takeTold(condemned, report.judge)
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	report.sending = false
	if err != nil {
		g.config.Logger.Debug().Str("node", report.judge).Err(err).Msg("report of ended servers not answered")
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
	reply(g.newestVerdicts(), nil)
}

// newestVerdicts are told with the answer to a report, so that a node which reports and
// was not reached by a verdict learns of it.
func (g *Guard) newestVerdicts() Verdicts {
	verdicts := g.Verdicts()
	slices.SortFunc(verdicts, func(a, b Verdict) int { return b.Until.Compare(a.Until) })
	var told Verdicts
	for _, verdict := range verdicts[:min(len(verdicts), mostTold)] {
		told.Condemned = append(told.Condemned, verdict.message(time.Now()))
	}
	return told
}

// take notes ends, and judges after a pause in which other nodes report as well.
func (g *Guard) take(ends []ServerEnd) {
	g.ledger.Add(ends, time.Now())
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.judging {
		g.judging = true
		time.AfterFunc(settlePause, g.judge)
	}
}

func (g *Guard) judge() {
	g.mutex.Lock()
	g.judging = false
	g.mutex.Unlock()
	condemned := func(identity Identity) bool {
		_, held := g.Held(identity)
		return held
	}
	for _, verdict := range g.ledger.Judge(condemned, time.Now()) {
		if _, contradicted := g.contradict(verdict); contradicted {
			continue
		}
		if g.condemn(verdict, "own count") {
			g.tell(verdict.message(time.Now()), true)
			g.record.wanted(verdict, time.Now())
		}
	}
}

// condemn takes a verdict over, and reports whether the identity was not refused before.
func (g *Guard) condemn(verdict Verdict, toldBy string) bool {
	now := time.Now()
	if !g.quarantine.add(verdict, now) {
		return false
	}
	g.ledger.Convicted(verdict)
	g.config.Logger.Warn().Str("identity", verdict.Identity.Text()).Int("ends", len(verdict.Servers)).Strs("servers", verdict.Servers).
		Int("times", verdict.Times).Dur("for_ms", verdict.Until.Sub(now)).Str("told_by", toldBy).Msg("request refused by all nodes from now on")
	return true
}

// contradict reports whether a server has served the identity since the first end that
// it is blamed for, and what to answer then.
func (g *Guard) contradict(verdict Verdict) (Released, bool) {
	began, known := g.served.last(verdict.Identity)
	if !known || !began.After(verdict.Since) {
		return Released{}, false
	}
	g.release(verdict.Identity, "a server has served it since")
	return Released{Identity: verdict.Identity, Age: time.Since(began)}, true
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

// tell sends a message to the nodes that follow this one, and to those that judge, if
// it is this node's own word or it judges itself: so a word gets around where some of
// them don't reach each other, and not every node tells all of them.
func (g *Guard) tell(message peer.Message, own bool) {
	told := map[string]bool{g.config.Address: true}
	addresses := g.config.Followers()
	if judges := g.config.Judges(); own || slices.Contains(judges, g.config.Address) {
		addresses = append(addresses, judges...)
	}
	for _, address := range addresses {
		if !told[address] {
			told[address] = true
			g.config.Transport.Send(address, message)
		}
	}
}

func (g *Guard) serveCondemned(from string, message peer.Message, reply func(peer.Message, error)) {
	g.takeTold(message.(Condemned), from)
	reply(nil, nil)
}

// takeTold takes over and passes on the verdict of another node.
func (g *Guard) takeTold(told Condemned, from string) {
	verdict := told.verdict(time.Now())
	if released, contradicted := g.contradict(verdict); contradicted {
		g.config.Transport.Send(from, released)
		return
	}
	if g.condemn(verdict, from) {
		g.tell(told, false)
		g.record.wanted(verdict, time.Now())
	}
}

// serveReleased takes over that an identity was served, so that a verdict which is still
// on its way does not hold it again, and passes the word on if it was held here.
func (g *Guard) serveReleased(from string, message peer.Message, reply func(peer.Message, error)) {
	released := message.(Released)
	g.served.add(released.Identity, time.Now().Add(-released.Age))
	if g.release(released.Identity, "a server has served it since, told by "+from) {
		g.tell(released, false)
	}
	reply(nil, nil)
}
