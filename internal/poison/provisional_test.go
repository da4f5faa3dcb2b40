package poison

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// tie ends three servers under all identities at three nodes, and each under its culprit, if
// there are any. The first identity has always run for the same time, so it is the likeliest.
func (w *world) tie(identities []Identity, culprits ...Identity) {
	for i := range endsToHold {
		server := w.server(fmt.Sprint("s", i))
		w.refuse(server)
		if i < len(culprits) {
			w.nodes[i].guard.Broke(context.Background(), culprits[i], server, time.Now().Add(-time.Second))
		}
		for number, identity := range identities {
			ran := time.Second + time.Duration(number*i)*100*time.Millisecond
			w.nodes[i].guard.Broke(context.Background(), identity, server, time.Now().Add(-ran))
		}
		time.Sleep(time.Second)
	}
}

// twoCulprits ends three servers under two harmless requests, one of them under one bad request and
// two under another, and lets the likeliest harmless one's rival be served.
func (w *world) twoCulprits() (harmless, bad []Identity) {
	harmless, bad = numbered(0, 2), numbered(2, 4)
	w.tie(harmless, bad[0], bad[1], bad[1])
	w.nodes[3].guard.Served(harmless[1], time.Now())
	time.Sleep(provisionalHold)
	return harmless, bad
}

// Guards against a request that ends a further server each time its provisional hold is over,
// although its rivals, each at another node, have been served since.
func TestProvisionalHoldIsConfirmedOnceItsRivalsAreServed(t *testing.T) {
	inWorld(t, 8, 3, func(w *world) {
		tied := numbered(0, 3)
		w.tie(tied)
		Expect(w.held(tied[0])).To(Equal(8))
		w.nodes[4].guard.Served(tied[1], time.Now())
		w.nodes[5].guard.Served(tied[2], time.Now())
		time.Sleep(provisionalHold)
		Expect(w.held(tied[0])).To(Equal(8))
		Expect(w.held(tied[1]) + w.held(tied[2])).To(BeZero())
		Expect(w.store.entries()).To(HaveLen(1))
	})
}

// Guards against a guess that is taken for certain: one rival has not been served.
func TestProvisionalHoldEndsWhereARivalIsLeft(t *testing.T) {
	inWorld(t, 4, 3, func(w *world) {
		tied := numbered(0, 3)
		w.tie(tied)
		w.nodes[3].guard.Served(tied[1], time.Now())
		Expect(w.held(tied[0])).To(Equal(4))
		Expect(w.store.entries()).To(BeEmpty())
		time.Sleep(provisionalHold)
		for _, identity := range tied {
			Expect(w.held(identity)).To(BeZero())
		}
	})
}

// Guards against a harmless request that stays refused after a further end has shown that
// another one ends the servers.
func TestWrongGuessIsReleasedByAFurtherEnd(t *testing.T) {
	inWorld(t, 4, 3, func(w *world) {
		tied := numbered(0, 2)
		w.tie(tied)
		Expect(w.held(tied[0])).To(Equal(4))
		w.end(w.server("s9"), map[*node][]Identity{w.nodes[3]: tied[1:]})
		time.Sleep(time.Second)
		Expect(w.held(tied[0])).To(BeZero())
		Expect(w.held(tied[1])).To(Equal(4))
		Expect(w.store.entries()).To(HaveLen(1))
	})
}

// Guards against requests that are refused in the moment before a node objects, which has served
// them since and collects no reports.
func TestNodeThatServedObjectsBeforeAnybodyRefuses(t *testing.T) {
	inWorld(t, 5, 3, func(w *world) {
		harmless := numbered(0, 1)
		for i := range endsToHold {
			w.end(w.server(fmt.Sprint("s", i)), map[*node][]Identity{w.nodes[i]: harmless})
			if i == 0 {
				time.Sleep(time.Second)
				w.nodes[3].guard.Served(harmless[0], time.Now())
			}
		}
		for range 1000 {
			time.Sleep(time.Millisecond)
			Expect(w.held(harmless[0])).To(BeZero())
		}
	})
}

// Guards against a harmless request that is refused for minutes where servers ended under two
// others: it was at three of the ends, each of them at two or fewer, and that its rival was served
// says nothing of who ended the servers.
func TestRivalsThatWereServedProveNothingWhereTwoRequestsEndServers(t *testing.T) {
	inWorld(t, 4, 3, func(w *world) {
		harmless, _ := w.twoCulprits()
		Expect(w.held(harmless[0])).To(BeZero())
	})
}

// Guards against a harmless request that stays refused for minutes although one of two that ended
// its servers is found: what that one explains leaves it fewer ends than it is held for.
func TestRequestIsReleasedOnceTheCauseOfMostOfItsEndsIsHeld(t *testing.T) {
	inWorld(t, 4, 3, func(w *world) {
		harmless, bad := w.twoCulprits()
		Expect(w.held(harmless[0])).To(Equal(4))
		for i := range 2 {
			w.end(w.server(fmt.Sprint("t", i)), map[*node][]Identity{w.nodes[i]: bad[1:]})
			time.Sleep(time.Second)
		}
		Expect(w.held(bad[1])).To(Equal(4))
		Expect(w.held(harmless[0])).To(BeZero())
	})
}
