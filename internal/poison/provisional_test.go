package poison

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// tie crashes three servers, each under all identities at another node, so that all identities
// have equally many crashes. If there are culprits, each server crashes under one of them as well.
// The first identity has always run for the same time, so it is the likeliest cause.
func (c *cluster) tie(identities []Identity, culprits ...Identity) {
	for i := range crashThreshold {
		server := c.server(fmt.Sprint("s", i))
		c.refuse(server)
		if i < len(culprits) {
			c.nodes[i].guard.AttemptBroken(context.Background(), Request{Identity: culprits[i]}, server, time.Now().Add(-time.Second))
		}
		for number, identity := range identities {
			ran := time.Second + time.Duration(number*i)*100*time.Millisecond
			c.nodes[i].guard.AttemptBroken(context.Background(), Request{Identity: identity}, server, time.Now().Add(-ran))
		}
		time.Sleep(time.Second)
	}
}

// twoCulprits crashes three servers under two unrelated requests, one of them also under one
// poison request and two under another, and has the rival of the likeliest unrelated request
// served.
func (c *cluster) twoCulprits() (unrelated, poison []Identity) {
	unrelated, poison = c.tieUnderTwoCulprits()
	time.Sleep(provisionalQuarantine)
	return unrelated, poison
}

// tieUnderTwoCulprits is the same within the provisional quarantine.
func (c *cluster) tieUnderTwoCulprits() (unrelated, poison []Identity) {
	unrelated, poison = numbered(0, 2), numbered(2, 4)
	c.tie(unrelated, poison[0], poison[1], poison[1])
	c.nodes[3].guard.RequestServed(Request{Identity: unrelated[1]}, time.Now())
	return unrelated, poison
}

// Guards against a request that crashes a further server each time its provisional quarantine
// expires, although its rivals, each at another node, have been served since.
func TestProvisionalQuarantineIsConfirmedOnceItsRivalsAreServed(t *testing.T) {
	runInCluster(t, 8, 3, func(c *cluster) {
		tied := numbered(0, 3)
		c.tie(tied)
		Expect(c.refusedBy(tied[0])).To(Equal(8))
		c.nodes[4].guard.RequestServed(Request{Identity: tied[1]}, time.Now())
		c.nodes[5].guard.RequestServed(Request{Identity: tied[2]}, time.Now())
		time.Sleep(provisionalQuarantine)
		Expect(c.refusedBy(tied[0])).To(Equal(8))
		Expect(c.refusedBy(tied[1]) + c.refusedBy(tied[2])).To(BeZero())
		Expect(c.store.entries()).To(HaveLen(1))
	})
}

// Guards against confirming a provisional entry with one rival that has not been served.
func TestProvisionalQuarantineExpiresWhereARivalIsLeft(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		tied := numbered(0, 3)
		c.tie(tied)
		c.nodes[3].guard.RequestServed(Request{Identity: tied[1]}, time.Now())
		Expect(c.refusedBy(tied[0])).To(Equal(4))
		time.Sleep(provisionalQuarantine)
		for _, n := range c.nodes {
			Expect(n.guard.Entries()).To(HaveLen(1))
			Expect(n.guard.Entries()[0].provisional()).To(BeTrue())
		}
		for _, identity := range tied {
			Expect(c.refusedBy(identity)).To(BeZero())
		}
	})
}

// Guards against an unrelated request that stays refused after a further crash has shown that
// another one is the cause.
func TestFalsePositiveIsReleasedByAFurtherCrash(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		tied := numbered(0, 2)
		c.tie(tied)
		Expect(c.refusedBy(tied[0])).To(Equal(4))
		c.crash(c.server("s9"), map[*node][]Identity{c.nodes[3]: tied[1:]})
		time.Sleep(time.Second)
		Expect(c.refusedBy(tied[0])).To(BeZero())
		Expect(c.refusedBy(tied[1])).To(Equal(4))
		Expect(c.store.entries()).To(HaveLen(1))
	})
}

// Guards against refusals in the moment before a node objects that has served the request since
// and is no collector.
func TestNodeThatServedObjectsBeforeAnyNodeRefuses(t *testing.T) {
	runInCluster(t, 5, 3, func(c *cluster) {
		unrelated := numbered(0, 1)
		for i := range crashThreshold {
			c.crash(c.server(fmt.Sprint("s", i)), map[*node][]Identity{c.nodes[i]: unrelated})
			if i == 0 {
				time.Sleep(time.Second)
				c.nodes[3].guard.RequestServed(Request{Identity: unrelated[0]}, time.Now())
			}
		}
		for range 1000 {
			time.Sleep(time.Millisecond)
			Expect(c.refusedBy(unrelated[0])).To(BeZero())
		}
	})
}

// Guards against an unrelated request that is refused for minutes where servers crashed under
// two others: it was running at three of the crashes, each of the two at fewer, and that its
// rival was served proves nothing about the cause.
func TestRivalsThatWereServedProveNothingWhereTwoRequestsEndServers(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		unrelated, _ := c.twoCulprits()
		Expect(c.refusedBy(unrelated[0])).To(BeZero())
	})
}

// Guards against an unrelated request that stays refused although one of the two poison requests
// beside it is found: the crashes that are left to it are below the threshold. It is released
// before its provisional quarantine would have expired.
func TestRequestIsReleasedOnceTheCauseOfMostOfItsCrashesIsQuarantined(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		unrelated, poison := c.tieUnderTwoCulprits()
		Expect(c.refusedBy(unrelated[0])).To(Equal(4))
		for i := range 2 {
			c.crash(c.server(fmt.Sprint("t", i)), map[*node][]Identity{c.nodes[i]: poison[1:]})
			time.Sleep(time.Second)
		}
		Expect(c.refusedBy(poison[1])).To(Equal(4))
		Expect(c.refusedBy(unrelated[0])).To(BeZero())
	})
}

// Guards against a poison request that runs again after its provisional quarantine although the
// requests beside it had been served before the entry was made, each by another node that is no
// collector.
func TestRivalsServedBeforeTheEntryConfirmIt(t *testing.T) {
	runInCluster(t, 8, 3, func(c *cluster) {
		poison, others := numbered(0, 1), numbered(1, 5)
		for i := range crashThreshold {
			// The second and the third crash have the same other requests, so that two causes are
			// enough.
			others := others[2*min(i, 1):][:2]
			c.crash(c.server(fmt.Sprint("s", i)), map[*node][]Identity{c.nodes[i]: append([]Identity{poison[0]}, others...)})
			time.Sleep(time.Second / 2)
			if i == 0 {
				c.nodes[4].guard.RequestServed(Request{Identity: others[0]}, time.Now())
				c.nodes[5].guard.RequestServed(Request{Identity: others[1]}, time.Now())
			}
		}
		time.Sleep(time.Second)
		Expect(c.refusedBy(poison[0])).To(Equal(8))
		Expect(c.store.entries()).To(HaveLen(1))
		time.Sleep(provisionalQuarantine)
		Expect(c.refusedBy(poison[0])).To(Equal(8))
	})
}

// Guards against a poison request that many nodes send to servers in the moment in which its
// provisional quarantine is over, since the requests beside it are not sent again: one of them sends
// it, and the crash quarantines it for the full time.
func TestRequestThatCrashesServersBesideOthersEachTimeIsQuarantinedForTheFullTime(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		poison, others := numbered(0, 1), numbered(1, 7)
		for i := range crashThreshold {
			c.crash(c.server(fmt.Sprint("s", i)), map[*node][]Identity{c.nodes[i]: append([]Identity{poison[0]}, others[2*i:2*i+2]...)})
			time.Sleep(time.Second)
		}
		Expect(c.refusedBy(poison[0])).To(Equal(4))
		time.Sleep(provisionalQuarantine)
		admitted := c.admittedAtOnce(Request{Identity: poison[0]})
		Expect(admitted).To(HaveLen(1))
		c.crashTrial("s9", admitted[0])
		time.Sleep(time.Second)
		Expect(c.refusedBy(poison[0])).To(Equal(4))
		time.Sleep(initialQuarantine - 2*time.Second)
		Expect(c.refusedBy(poison[0])).To(Equal(4))
		for _, other := range others {
			Expect(c.refusedBy(other)).To(BeZero())
		}
	})
}

// Guards against a released false positive that takes the crashes it was suspected of with it: a
// third request at them was left as their only suspect, and quarantined for the full time.
func TestReleasedRequestStaysSuspectedOfUnexplainedCrashes(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	log := crashLogOf([][]int{{1, 2}, {1, 2, 3}, {1, 2}, {3}, {3}}, now)
	released, third := numbered(1, 2)[0], numbered(2, 3)[0]
	log.RememberEntry(Entry{Identity: released, Rivals: []Identity{third}, Until: now.Add(provisionalQuarantine)})
	entries, explained := log.Decide(func(identity Identity) bool { return identity == released }, now)
	Expect(entries).To(HaveLen(1))
	Expect(explained).To(Equal([]Identity{released}))
	poison := entries[0].Identity
	isQuarantined := func(identity Identity) bool { return identity == released || identity == poison }
	Expect(log.ExplainedCrashes(released, isQuarantined)).To(Equal([]string{"s1"}))
	log.Release(released, log.ExplainedCrashes(released, isQuarantined), now)
	log.Add([]Crash{{Server: "s9", Suspects: identities([]int{2, 4})}}, now)
	entries, _ = log.Decide(func(identity Identity) bool { return identity == poison }, now)
	Expect(entries).To(HaveLen(1))
	Expect(entries[0].Identity).To(Equal(third))
	Expect(entries[0].provisional()).To(BeTrue())
}

// Guards against an entry that is confirmed by its rivals while its trial is under way: the rivals of
// a harmless request are served in the meantime, and it isn't, since all nodes refuse it.
func TestRivalsServedDuringATrialDoNotConfirmTheEntry(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		tied := numbered(0, 2)
		c.tie(tied)
		time.Sleep(provisionalQuarantine)
		Expect(c.admittedAtOnce(Request{Identity: tied[0]})).To(HaveLen(1))
		c.nodes[3].guard.RequestServed(Request{Identity: tied[1]}, time.Now())
		time.Sleep(time.Second)
		for _, n := range c.nodes {
			Expect(n.guard.Entries()).To(HaveLen(1))
			Expect(n.guard.Entries()[0].provisional()).To(BeTrue())
		}
	})
}
