package poison

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// suspect quarantines a request provisionally, beside others that are not sent again, and waits until
// trials are due.
func (c *cluster) suspect(identity Identity, others ...Identity) {
	for i := range crashThreshold {
		c.crash(c.server(fmt.Sprint(identity, "-", i)), map[*node][]Identity{c.nodes[i]: {identity, others[i]}})
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(provisionalQuarantine)
}

// trialOf returns the only admission of a request that all nodes are asked for at once.
func (c *cluster) trialOf(request Request) admission {
	admitted := c.admittedAtOnce(request)
	Expect(admitted).To(HaveLen(1))
	Expect(admitted[0].request.Trial).NotTo(BeNil())
	return admitted[0]
}

// Guards against a request that several nodes send in the moment in which its quarantine ends, and
// against one that stays refused after a trial in which it was served.
func TestTrialThatIsServedReleasesEverywhere(t *testing.T) {
	runInCluster(t, 8, 3, func(c *cluster) {
		all := numbered(0, 4)
		c.suspect(all[0], all[1:]...)
		trial := c.trialOf(Request{Identity: all[0]})
		trial.node.guard.RequestServed(trial.request, time.Now().Add(-time.Millisecond))
		trial.node.guard.EndTrial(trial.request.Trial, true)
		time.Sleep(time.Second)
		Expect(c.admittedAtOnce(Request{Identity: all[0]})).To(HaveLen(8))
		Expect(c.store.entries()).To(BeEmpty())
	})
}

// Guards against a request that stays refused, or that two nodes try, after the node with the trial has
// stopped, lost its caller or its server's answer.
func TestTrialWithoutAnOutcomeIsFollowedByAnother(t *testing.T) {
	cases := map[string]struct {
		end  func(c *cluster, trial admission)
		next time.Duration
	}{
		"not sent":         {func(_ *cluster, trial admission) { trial.node.guard.EndTrial(trial.request.Trial, false) }, messageTime},
		"sent, no answer":  {func(_ *cluster, trial admission) { trial.node.guard.EndTrial(trial.request.Trial, true) }, trialPause + messageTime},
		"the node stopped": {func(c *cluster, trial admission) { c.network.SetCut(trial.node.address, true) }, time.Second + trialMargin},
		"connection broken, the server lives": {func(c *cluster, trial admission) {
			trial.node.guard.AttemptBroken(context.Background(), trial.request, c.server("living"), time.Now())
			trial.node.guard.EndTrial(trial.request.Trial, true)
		}, secondProbeDelay + trialPause + messageTime},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, 8, 3, func(c *cluster) {
				all := numbered(0, 4)
				c.suspect(all[0], all[1:]...)
				test.end(c, c.trialOf(Request{Identity: all[0]}))
				if test.next > messageTime {
					time.Sleep(test.next - 2*messageTime)
					Expect(c.admittedAtOnce(Request{Identity: all[0]})).To(BeEmpty())
				}
				time.Sleep(test.next)
				c.trialOf(Request{Identity: all[0]})
			})
		})
	}
}

// Guards against nodes that run a quarantined request freely because they don't reach the node that
// grants trials, or that has no successor yet.
func TestRequestIsRefusedWithoutANodeThatGrantsTrials(t *testing.T) {
	runInCluster(t, 5, 0, func(c *cluster) {
		all := numbered(0, 4)
		c.suspect(all[0], all[1:]...)
		c.network.SetCut(c.holder, true)
		reached := c.admittedAtOnce(Request{Identity: all[0]})
		for _, admitted := range reached {
			Expect(admitted.node.address).To(Equal(c.holder))
		}
		c.holder = ""
		time.Sleep(maxTrialTime)
		Expect(c.admittedAtOnce(Request{Identity: all[0]})).To(BeEmpty())
		c.holder = c.nodes[0].address
		c.trialOf(Request{Identity: all[0]})
	})
}

// Guards against a node that was paused, or held a request for long, and sends it beside the next trial.
func TestTrialIsNotSentAfterItsTime(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		all := numbered(0, 4)
		c.suspect(all[0], all[1:]...)
		trial := c.trialOf(Request{Identity: all[0]})
		_, refused := trial.node.guard.Refused(trial.request)
		Expect(refused).To(BeFalse())
		time.Sleep(time.Second + trialMargin)
		c.trialOf(Request{Identity: all[0]})
		_, refused = trial.node.guard.Refused(trial.request)
		Expect(refused).To(BeTrue())
	})
}

// Guards against a harmless request that is refused until the time of a trial is over that no node has:
// the reply that granted it came too late, or its caller had left by then.
func TestTrialThatNobodyAwaitsIsFollowedByAnother(t *testing.T) {
	cases := map[string]struct{ delay, callerLeaves time.Duration }{
		"the reply is late":           {trialAskTimeout * 3 / 4, time.Second},
		"the caller leaves meanwhile": {trialAskTimeout / 4, trialAskTimeout / 8},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, 4, 3, func(c *cluster) {
				all := numbered(0, 4)
				c.suspect(all[0], all[1:]...)
				granter := c.nodes[0].guard.trialGranter()
				other := c.nodes[slices.IndexFunc(c.nodes, func(n *node) bool { return n.address != granter })]
				c.network.SetSlow(granter, test.delay)
				ctx, leave := context.WithTimeout(context.Background(), test.callerLeaves)
				defer leave()
				trial, refusal := other.guard.Admit(ctx, Request{Identity: all[0]}, time.Now().Add(5*time.Second))
				Expect(trial).To(BeNil())
				Expect(refusal).NotTo(BeNil())
				time.Sleep(2 * trialAskTimeout)
				c.network.SetSlow(granter, 0)
				c.trialOf(Request{Identity: all[0]})
			})
		})
	}
}

// Guards against a trial that is granted beside another one, after the end of an earlier one was told late.
func TestLateEndOfATrialDoesNotEndTheNext(t *testing.T) {
	for _, sent := range []bool{false, true} {
		runInCluster(t, 4, 3, func(c *cluster) {
			all := numbered(0, 4)
			c.suspect(all[0], all[1:]...)
			first := c.trialOf(Request{Identity: all[0]})
			time.Sleep(time.Second + trialMargin)
			second := c.trialOf(Request{Identity: all[0]})
			first.node.guard.EndTrial(first.request.Trial, sent)
			time.Sleep(trialPause + messageTime)
			Expect(c.admittedAtOnce(Request{Identity: all[0]})).To(BeEmpty())
			second.node.guard.EndTrial(second.request.Trial, false)
			time.Sleep(messageTime)
			c.trialOf(Request{Identity: all[0]})
		})
	}
}

// Guards against trials of two suspects at one server at the same time, whose crash proves nothing.
func TestSuspectsAreTriedOneAfterTheOther(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		all := numbered(0, 8)
		c.suspect(all[0], all[2:5]...)
		c.suspect(all[1], all[5:8]...)
		c.trialOf(Request{Identity: all[0]})
		Expect(c.admittedAtOnce(Request{Identity: all[1]})).To(BeEmpty())
		time.Sleep(trialSpacing)
		c.trialOf(Request{Identity: all[1]})
	})
}

// Guards against a harmless request that stays refused since the trials of others that are sent more
// often take each turn.
func TestSuspectsAreTriedInTheOrderInWhichTheyAskedFirst(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		all := numbered(0, 12)
		for i, identity := range all[:3] {
			c.suspect(identity, all[3+3*i:6+3*i]...)
		}
		harmless, often := all[0], all[1:3]
		const pause, seldom = 20 * time.Millisecond, 700 * time.Millisecond
		next := time.Now().Add(seldom)
		for began := time.Now(); time.Since(began) < maxRefusal; time.Sleep(pause) {
			for _, identity := range often {
				// Their trials end without a word.
				c.nodes[1].admit(Request{Identity: identity})
			}
			if time.Now().Before(next) {
				continue
			}
			next = time.Now().Add(seldom)
			if trial, _ := c.nodes[2].admit(Request{Identity: harmless}); trial != nil {
				return
			}
		}
		t.Error("no trial of the harmless request")
	})
}

// Guards against a poison request that is tried for ever: after the third quarantine only an operator
// releases it.
func TestTrialsEndWithTheThirdQuarantine(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		all := numbered(0, 4)
		c.suspect(all[0], all[1:]...)
		for number := range maxQuarantines {
			c.crashTrial(fmt.Sprint("trial-", number), c.trialOf(Request{Identity: all[0]}))
			time.Sleep(2 * time.Second)
			Expect(c.refusedBy(all[0])).To(Equal(4))
			time.Sleep(quarantineDuration(min(number+1, maxQuarantines-1)))
		}
		time.Sleep(trialWindow)
		Expect(c.admittedAtOnce(Request{Identity: all[0]})).To(BeEmpty())
		for i := range c.nodes {
			c.restart(i)
		}
		Expect(c.admittedAtOnce(Request{Identity: all[0]})).To(BeEmpty())
		c.store.removeAll()
		time.Sleep(time.Second)
		Expect(c.admittedAtOnce(Request{Identity: all[0]})).To(HaveLen(4))
	})
}

// Guards against an unrelated request that is quarantined for the full time, since a poison request
// crashed the server of its trial: one that has crashed others, or none before.
func TestCrashInATrialBesideAPoisonRequestProvesNothing(t *testing.T) {
	for _, poison := range []Identity{numbered(1, 2)[0], numbered(9, 10)[0]} {
		runInCluster(t, 4, 3, func(c *cluster) {
			all := numbered(0, 4)
			unrelated := all[0]
			c.suspect(unrelated, all[1:]...)
			trial := c.trialOf(Request{Identity: unrelated})
			server := c.server("both")
			c.refuse(server)
			trial.node.guard.AttemptBroken(context.Background(), trial.request, server, time.Now())
			c.nodes[0].guard.AttemptBroken(context.Background(), Request{Identity: poison}, server, time.Now())
			time.Sleep(time.Second)
			for _, entry := range c.nodes[0].guard.Entries() {
				Expect(entry.provisional()).To(BeTrue())
			}
			time.Sleep(maxTrialTime)
			again := c.trialOf(Request{Identity: unrelated})
			again.node.guard.RequestServed(again.request, time.Now().Add(-time.Millisecond))
			time.Sleep(time.Second)
			Expect(c.refusedBy(unrelated)).To(BeZero())
		})
	}
}

// Guards against a poison request whose trials prove nothing, since others run beside it each time.
func TestCrashesInTwoTrialsBesideOthersProveTheCause(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		all := numbered(0, 8)
		c.suspect(all[0], all[1:4]...)
		for number := range trialCrashes {
			trial := c.trialOf(Request{Identity: all[0]})
			server := c.server(fmt.Sprint("trial-", number))
			c.refuse(server)
			trial.node.guard.AttemptBroken(context.Background(), trial.request, server, time.Now())
			c.nodes[0].guard.AttemptBroken(context.Background(), Request{Identity: all[5+number]}, server, time.Now())
			time.Sleep(time.Second + trialMargin)
		}
		Expect(c.refusedBy(all[0])).To(Equal(4))
		Expect(c.nodes[0].guard.Entries()[0].provisional()).To(BeFalse())
	})
}

// crashWithPart crashes servers under requests with one part of their prompts, each at the given place
// among them, and waits until the decision and the quarantine that follows are over.
func (c *cluster) crashWithPart(requests []Request, places ...int) {
	for i, place := range places {
		server := c.server(fmt.Sprint("s", i))
		c.refuse(server)
		c.nodes[i%len(c.nodes)].guard.AttemptBroken(context.Background(), requests[place], server, time.Now())
	}
	time.Sleep(time.Second + provisionalQuarantine)
}

// withSharedPart returns requests with one part of their prompts, which servers have served.
func (c *cluster) withSharedPart(count int) []Request {
	requests := make([]Request, count)
	for i, identity := range numbered(0, count) {
		requests[i] = Request{Identity: identity, Parts: PartsOf("caller", "h", []string{"first"})}
		c.nodes[0].guard.RequestServed(requests[i], time.Now())
	}
	time.Sleep(time.Second)
	return requests
}

// Guards against requests that are refused until all entries are over: each of them is quarantined, and
// so is the part of their prompts that they share, so that each would have needed two trials at once.
func TestRequestWithSeveralQuarantinedIdentitiesIsTried(t *testing.T) {
	runInCluster(t, 4, 4, func(c *cluster) {
		requests := c.withSharedPart(2)
		c.crashWithPart(requests, 0, 0, 0, 1, 1, 1)
		Expect(c.nodes[0].guard.Entries()).To(HaveLen(3))
		for i, request := range requests {
			trial := c.trialOf(request)
			time.Sleep(trialSpacing)
			Expect(c.admittedAtOnce(requests[1-i])).To(HaveLen(4 * i))
			trial.node.guard.RequestServed(trial.request, time.Now().Add(-time.Millisecond))
			time.Sleep(messageTime)
			Expect(c.admittedAtOnce(request)).To(HaveLen(4))
		}
	})
}

// Guards against further crashes under requests whose part crashes servers, where the requests are
// quarantined themselves: each of them would be tried before the part.
func TestPartThatCrashesServersIsProvedByTrialsOfItsRequests(t *testing.T) {
	runInCluster(t, 4, 4, func(c *cluster) {
		requests := c.withSharedPart(4)
		c.crashWithPart(requests, 0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3)
		crashed := 0
		for range 60 {
			for _, request := range requests {
				if admitted := c.admittedAtOnce(request); len(admitted) > 0 {
					crashed += len(admitted)
					c.crashTrial(fmt.Sprint("trial-", crashed), admitted[0])
				}
				time.Sleep(time.Second)
			}
		}
		Expect(crashed).To(BeNumerically("<=", maxFurtherCrashes))
		Expect(c.admittedAtOnce(Request{Identity: numbered(9, 10)[0], Parts: requests[0].Parts})).To(BeEmpty())
	})
}

// Guards against a part that is refused until its entry is over: each request with it has had a crash of
// its own, after which a trial of the part would prove nothing.
func TestPartIsTriedByARequestWithACrashOfItsOwn(t *testing.T) {
	runInCluster(t, 4, 4, func(c *cluster) {
		requests := c.withSharedPart(5)
		c.crashWithPart(requests, 0, 1, 2, 3, 4)
		Expect(c.nodes[0].guard.Entries()).To(HaveLen(1))
		Expect(c.admittedAtOnce(requests[0])).To(BeEmpty())
		time.Sleep(ambiguousTrialDelay)
		trial := c.trialOf(requests[0])
		trial.node.guard.RequestServed(trial.request, time.Now().Add(-time.Millisecond))
		time.Sleep(messageTime)
		Expect(c.admittedAtOnce(requests[1])).To(HaveLen(4))
	})
}

// Guards against a part that all requests share and that is quarantined for a crash in a trial, whose
// request had another suspected part.
func TestRequestWithAnotherSuspectIsNoTrial(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	parts := PartsOf("caller", "h", []string{"first", "dead", "fatal", "new"})
	shared, dead, fatal, unknown := parts[0].Identity, parts[1].Identity, parts[2].Identity, parts[3].Identity
	log := NewCrashLog()
	for i, part := range []Identity{dead, fatal, dead} {
		log.Add([]Crash{{Server: fmt.Sprint("s", i), Suspects: numbered(i, i+1), Parts: [][]Identity{{shared, part}}}}, now)
	}
	for _, identity := range []Identity{shared, dead} {
		log.RememberEntry(Entry{Identity: identity, Rivals: numbered(0, 1), Until: now.Add(provisionalQuarantine)})
	}
	quarantined := func(identity Identity) bool { return identity == shared || identity == dead }
	Expect(log.IsAmbiguous(shared, []Identity{dead}, quarantined)).To(BeTrue())
	Expect(log.IsAmbiguous(shared, []Identity{unknown}, quarantined)).To(BeFalse())
	Expect(log.IsAmbiguous(dead, []Identity{shared}, quarantined)).To(BeFalse())
	Expect(log.IsAmbiguous(dead, []Identity{shared, fatal}, quarantined)).To(BeTrue())
}

// Guards against a caller who has the parts of another one refused, by putting them into prompts that
// crash servers while the other sends nothing.
func TestPartsOfAnotherCallerAreNotSuspected(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		forged := PartsOf("attacker", "h", []string{"theirs"})
		for i, identity := range numbered(0, 8) {
			server := c.server(fmt.Sprint("s", i))
			c.refuse(server)
			c.nodes[i%4].guard.AttemptBroken(context.Background(), Request{Identity: identity, Parts: forged}, server, time.Now())
			time.Sleep(time.Second)
		}
		Expect(c.admittedAtOnce(Request{Identity: numbered(9, 10)[0], Parts: forged})).NotTo(HaveLen(4))
		Expect(c.admittedAtOnce(Request{Identity: numbered(9, 10)[0], Parts: PartsOf("victim", "h", []string{"theirs"})})).To(HaveLen(4))
	})
}

// Memory is bounded, whatever parts callers list.
func TestPartsAreBounded(t *testing.T) {
	RegisterTestingT(t)
	var ids []string
	for i := range 1000 {
		ids = append(ids, fmt.Sprint("part", i/2, strings.Repeat("x", 1000)))
	}
	parts := PartsOf("caller", "h", ids)
	Expect(parts).To(HaveLen(maxParts))
	Expect(parts[0].loggedID()).To(HaveLen(maxLoggedPartID))
	Expect(PartsOf("caller", "h", nil)).To(BeEmpty())

	now := time.Now()
	log := NewCrashLog()
	for i, identity := range numbered(0, 2*maxSuspects) {
		var own []Identity
		for _, part := range PartsOf("caller", "h", []string{fmt.Sprint("a", i), fmt.Sprint("b", i), fmt.Sprint("c", i), fmt.Sprint("d", i), fmt.Sprint("e", i)}) {
			own = append(own, part.Identity)
		}
		log.Add([]Crash{{Server: "s", Suspects: []Identity{identity}, Parts: [][]Identity{own}}}, now)
	}
	Expect(len(log.crashes["s"].suspects)).To(BeNumerically("<=", maxSuspects+maxSuspectedParts))
	Expect(len(log.crashes["s"].parts)).To(BeNumerically("<=", maxSuspectedParts))
	Expect(len(log.crashes["s"].requests)).To(BeNumerically("<=", maxSuspects))
}
