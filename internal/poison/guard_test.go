package poison

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// Three servers end under one request, each time at another node. After the contact
// time all nodes refuse it, whatever else is wrong.
func TestAllNodesLearnOfAPoisonRequest(t *testing.T) {
	const nodes = 12
	cases := map[string]struct {
		before func(w *world)
		after  func(w *world)
	}{
		"nothing else is wrong": {},
		"the store is away": {
			before: func(w *world) { w.store.away = true },
		},
		"the holder of orders is dead": {
			before: func(w *world) { w.network.SetCut(w.holder, true) },
		},
		"all collectors but one are cut off": {
			before: func(w *world) {
				for _, decide := range w.collectors[min(1, len(w.collectors)):] {
					w.network.SetCut(decide, true)
				}
			},
		},
		"half of the nodes don't reach the others": {
			before: func(w *world) {
				for _, n := range w.nodes[6:] {
					w.network.SetPart(n.address, 1)
				}
			},
		},
		"nobody is known to hold the orders": {
			before: func(w *world) { w.holder, w.collectors = "", nil },
		},
		"the store comes back, the holder is dead": {
			before: func(w *world) {
				w.store.away = true
				w.network.SetCut(w.holder, true)
			},
			after: func(w *world) {
				w.store.mutex.Lock()
				w.store.away = false
				w.store.mutex.Unlock()
				time.Sleep(contact)
			},
		},
		"a node starts after it": {
			after: func(w *world) { w.nodes[7].stop(); w.nodes[7] = w.start(w.nodes[7].address) },
		},
		"all nodes start again": {
			after: func(w *world) {
				for i, n := range w.nodes {
					n.stop()
					w.store.watch(n, false)
					w.nodes[i] = w.start(n.address)
				}
			},
		},
	}
	// The holder of orders collectors, and up to five others.
	for _, collectors := range []int{0, 5} {
		for name, test := range cases {
			t.Run(fmt.Sprintf("%s, %d collectors", name, collectors), func(t *testing.T) {
				inWorld(t, nodes, collectors, func(w *world) {
					if test.before != nil {
						test.before(w)
					}
					poison := numbered(0, 1)
					for i := range endsToHold {
						w.end(w.server(fmt.Sprint("s", i)), map[*node][]Identity{w.nodes[i]: poison})
						Expect(w.held(poison[0])).To(BeZero())
						time.Sleep(time.Second)
					}
					time.Sleep(contact - time.Second)
					if test.after != nil {
						test.after(w)
					}
					Expect(w.held(poison[0])).To(Equal(nodes))
					Expect(w.store.entries()).To(Or(HaveLen(1), BeEmpty()))
				})
			})
		}
	}
}

// What ran beside the poison request is served on, although its callers send it again
// and it meets the poison request a second time.
func TestNeighboursOfAPoisonRequestAreServed(t *testing.T) {
	inWorld(t, 4, 4, func(w *world) {
		poison, neighbours := numbered(0, 1), numbered(1, 64)
		twice := neighbours[:20]
		w.end(w.server("s0"), map[*node][]Identity{w.nodes[0]: append(poison, neighbours...)})
		time.Sleep(time.Second)
		w.end(w.server("s1"), map[*node][]Identity{w.nodes[1]: poison, w.nodes[2]: twice})
		time.Sleep(time.Second)
		w.end(w.server("s2"), map[*node][]Identity{w.nodes[3]: poison})
		time.Sleep(time.Second)
		Expect(w.held(poison[0])).To(Equal(4))
		// A last copy was under way; and a server ends for another reason.
		w.end(w.server("s3"), map[*node][]Identity{w.nodes[3]: append(poison, twice...)})
		time.Sleep(time.Second)
		for _, neighbour := range neighbours {
			Expect(w.held(neighbour)).To(BeZero())
		}
	})
}

// A neighbour with as many ends as the poison request can't be told apart by counting. It is
// released as soon as a node knows that a server has served it since the first end.
func TestRequestThatWasServedIsReleased(t *testing.T) {
	cases := map[string]struct {
		served time.Duration
		held   int
	}{
		"before the first end, while the other never was": {-time.Second, 0},
		"between two ends": {1500 * time.Millisecond, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 4, 3, func(w *world) {
				both := numbered(0, 2)
				began := time.Now()
				if test.served < 0 {
					w.nodes[3].guard.Served(both[1], began.Add(test.served))
				}
				for i := range 3 {
					w.end(w.server(fmt.Sprint("s", i)), map[*node][]Identity{w.nodes[i]: both})
					time.Sleep(time.Second)
					if i == 1 && test.served > 0 {
						w.nodes[3].guard.Served(both[1], began.Add(test.served))
					}
				}
				time.Sleep(contact)
				Expect(w.held(both[0])).To(Equal(4))
				Expect(w.held(both[1])).To(Equal(test.held))
				Expect(w.store.entries()).To(HaveLen(1 + test.held/4))
			})
		})
	}
}

// Only a server that ended, unplanned, counts against what was under way there.
func TestProofsOfAnEnd(t *testing.T) {
	cases := map[string]struct {
		// look is what happens at the server that broke attempts.
		look func(w *world, server *fleet.Server)
		ends bool
	}{
		"refuses connections at once": {func(w *world, server *fleet.Server) { w.refuse(server) }, true},
		"refuses connections soon": {func(w *world, server *fleet.Server) {
			time.AfterFunc(100*time.Millisecond, func() { w.refuse(server) })
		}, true},
		"another instance answers": {func(w *world, server *fleet.Server) {
			w.nodes[0].guard.Ended(server.ID, "another instance answers")
		}, true},
		"its record is gone, and nobody answers": {func(w *world, server *fleet.Server) {
			w.silence(server)
			time.AfterFunc(100*time.Millisecond, func() { w.nodes[0].view.UpdateServers(map[string]*fleet.Server{server.ID: nil}) })
		}, true},
		"its address is another server's, and nobody answers": {func(w *world, server *fleet.Server) {
			w.silence(server)
			next := &fleet.Server{ID: server.ID + "-next", Address: server.Address}
			w.nodes[0].view.UpdateServers(map[string]*fleet.Server{server.ID: nil, next.ID: next})
		}, true},
		"nobody answers, and it stays listed": {func(w *world, server *fleet.Server) { w.silence(server) }, false},
		"lives on":                            {func(*world, *fleet.Server) {}, false},
		"ends seconds later": {func(w *world, server *fleet.Server) {
			time.AfterFunc(2*time.Second, func() {
				w.refuse(server)
				w.nodes[0].guard.Ended(server.ID, "refuses connections")
			})
		}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 1, 1, func(w *world) {
				poison := numbered(0, 1)
				for i := range endsToHold {
					server := w.server(fmt.Sprint("s", i))
					w.nodes[0].guard.Broke(context.Background(), poison[0], server, time.Now())
					test.look(w, server)
					time.Sleep(5 * time.Second)
				}
				Expect(w.held(poison[0]) == 1).To(Equal(test.ends))
			})
		})
	}
}

// silence makes a server's address take no connection and refuse none.
func (w *world) silence(server *fleet.Server) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.silent[server.Address] = true
}

// refuse makes a server's address refuse connections.
func (w *world) refuse(server *fleet.Server) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.refusing[server.Address] = true
}

// A server that drains, or has taken its record away, ends in time: that is nobody's
// doing.
func TestPlannedEndsDoNotCount(t *testing.T) {
	for _, record := range []*fleet.Server{nil, {Draining: true}} {
		inWorld(t, 1, 1, func(w *world) {
			poison := numbered(0, 1)
			for i := range endsToHold + 1 {
				server := w.server(fmt.Sprint("s", i))
				var leaving *fleet.Server
				if record != nil {
					leaving = &fleet.Server{ID: server.ID, Address: server.Address, Draining: true}
				}
				w.nodes[0].view.UpdateServers(map[string]*fleet.Server{server.ID: leaving})
				// It serves on meanwhile.
				time.Sleep(2 * time.Second)
				w.end(server, map[*node][]Identity{w.nodes[0]: poison})
				time.Sleep(time.Second)
			}
			Expect(w.held(poison[0])).To(BeZero())
		})
	}
}

// The same where the node that started again sees the last end itself: the others must
// not believe it either.
func TestNodeThatStartedAgainBlamesNobodyForOldEnds(t *testing.T) {
	inWorld(t, 4, 4, func(w *world) {
		harmless := numbered(0, 1)
		w.network.SetCut(w.nodes[3].address, true)
		end := func(number int, at *node) {
			w.end(w.server(fmt.Sprint("s", number)), map[*node][]Identity{at: harmless})
			time.Sleep(3 * time.Second)
		}
		end(0, w.nodes[0])
		w.nodes[2].guard.Served(harmless[0], time.Now())
		end(1, w.nodes[0])
		w.nodes[1].stop()
		w.nodes[1] = w.start(w.nodes[1].address)
		w.network.SetCut(w.nodes[0].address, true)
		end(2, w.nodes[1])
		Expect(w.held(harmless[0])).To(BeZero())
	})
}

// Where another server takes an ended one's place at once, its record may be gone before
// the node sees that the attempt broke.
func TestRecordThatGoesWithItsServerIsNoPlan(t *testing.T) {
	inWorld(t, 1, 1, func(w *world) {
		poison := numbered(0, 1)
		for i := range endsToHold {
			server := w.server(fmt.Sprint("s", i))
			time.Sleep(time.Second)
			w.nodes[0].view.UpdateServers(map[string]*fleet.Server{server.ID: nil})
			w.end(server, map[*node][]Identity{w.nodes[0]: poison})
			time.Sleep(time.Second)
		}
		Expect(w.held(poison[0])).To(Equal(1))
	})
}

// A server that breaks many attempts and lives is looked at a few times a second.
func TestServersThatLiveAreLookedAtSeldom(t *testing.T) {
	inWorld(t, 1, 1, func(w *world) {
		server := w.server("s")
		for _, identity := range numbered(0, 100) {
			w.nodes[0].guard.Broke(context.Background(), identity, server, time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		Expect(w.looked()).To(BeNumerically("<=", 2*4))
	})
}

// When its time is over a request may run again. One more end is enough then, for twice
// the time.
func TestHoldEndsAndReturnsLonger(t *testing.T) {
	inWorld(t, 3, 3, func(w *world) {
		poison := numbered(0, 1)
		ends := 0
		end := func() {
			w.end(w.server(fmt.Sprint("s", ends)), map[*node][]Identity{w.nodes[ends%3]: poison})
			ends++
			time.Sleep(time.Second)
		}
		for range endsToHold {
			end()
		}
		Expect(w.held(poison[0])).To(Equal(3))
		time.Sleep(firstHold)
		Expect(w.held(poison[0])).To(BeZero())
		Expect(w.store.entries()).To(BeEmpty())
		end()
		Expect(w.held(poison[0])).To(Equal(3))
		time.Sleep(firstHold)
		Expect(w.held(poison[0])).To(Equal(3))
		time.Sleep(firstHold)
		Expect(w.held(poison[0])).To(BeZero())
	})
}

// An operator who has mended the servers removes the key.
func TestKeyThatIsRemovedReleases(t *testing.T) {
	inWorld(t, 3, 3, func(w *world) {
		poison := numbered(0, 1)
		for i := range endsToHold {
			w.end(w.server(fmt.Sprint("s", i)), map[*node][]Identity{w.nodes[i]: poison})
			time.Sleep(time.Second)
		}
		Expect(w.held(poison[0])).To(Equal(3))
		w.store.removeAll()
		time.Sleep(time.Second)
		Expect(w.held(poison[0])).To(BeZero())
		Expect(w.store.entries()).To(BeEmpty())
		// It is forgiven: one end is not enough.
		w.end(w.server("s9"), map[*node][]Identity{w.nodes[0]: poison})
		time.Sleep(time.Second)
		Expect(w.held(poison[0])).To(BeZero())
	})
}

// Symptom: requests that were served between the ends of three servers were refused for
// minutes. Sequence: a node started again, read from the store which servers had ended, and
// held what was under way at three of them. Cause: it took the time at which it read
// of an end for that of the end, so that all servings lay before. Settled by: no node
// released the request, though one that had served it 45 times lived all the while.
func TestEndsThatAreLearnedLateKeepTheirTime(t *testing.T) {
	inWorld(t, 3, 3, func(w *world) {
		harmless := numbered(0, 1)
		// One collector never answers, so the ends go by way of the store.
		w.network.SetCut(w.nodes[2].address, true)
		for i := range endsToHold {
			w.end(w.server(fmt.Sprint("s", i)), map[*node][]Identity{w.nodes[0]: harmless})
			time.Sleep(3 * time.Second)
			if i == endsToHold-2 {
				w.nodes[0].guard.Served(harmless[0], time.Now())
				time.Sleep(time.Second)
			}
		}
		Expect(w.held(harmless[0])).To(BeZero())
		// The ends before it was released don't name it in the store any more.
		Expect(w.store.sharedEndsOf(harmless[0])).To(BeNumerically("<=", 1))
		for i := range w.nodes {
			w.nodes[i].stop()
			w.store.watch(w.nodes[i], false)
			w.nodes[i] = w.start(w.nodes[i].address)
			time.Sleep(contact)
			Expect(w.held(harmless[0])).To(BeZero())
		}
	})
}

// Three servers ended within 2 s under a harmless request that all callers of a tenant send,
// beside one that ends servers. Two nodes knew that it had been served since, and withdrew the
// entry 1 to 3 ms after it was told; in these, a node refused three requests that it held.
func TestEntryThatIsWithdrawnAtOnceRefusesNobody(t *testing.T) {
	inWorld(t, 4, 3, func(w *world) {
		both := numbered(0, 2)
		for i := range 3 {
			w.end(w.server(fmt.Sprint("s", i)), map[*node][]Identity{w.nodes[i]: both})
			if i < 2 {
				time.Sleep(time.Second)
				w.nodes[3].guard.Served(both[1], time.Now())
			}
		}
		for range 1000 {
			time.Sleep(time.Millisecond)
			Expect(w.held(both[1])).To(BeZero())
		}
		Expect(w.held(both[0])).To(Equal(4))
	})
}

// endThree ends three servers one after the other, each under the identities at one node.
func (w *world) endThree(identities []Identity, at ...*node) {
	for i := range endsToHold {
		w.end(w.server(fmt.Sprint("s", i)), map[*node][]Identity{at[i]: identities})
		time.Sleep(time.Second)
	}
}

// A request that was served before is refused all the same once servers end under it, and under
// none that was not.
func TestRequestThatEndsServersAfterItWasServedIsRefused(t *testing.T) {
	inWorld(t, 4, 3, func(w *world) {
		changed := numbered(0, 1)
		w.nodes[3].guard.Served(changed[0], time.Now())
		time.Sleep(time.Second)
		w.endThree(changed, w.nodes[0], w.nodes[1], w.nodes[2])
		Expect(w.held(changed[0])).To(Equal(4))
	})
}

// A harmless request was refused with one that ends servers, at just the same three ends: 296
// and 378 times in two runs of the soak, though a node that lived on had served it 2 s before
// the first of them. That node had none of them under way at the servers that ended, and only
// who has tells what it knows of them. Settled by the nodes' lines: both entries name the same
// three servers, of which the serving node reported one, under other requests.
func TestNodeWithNothingUnderWayTellsWhatItHasServed(t *testing.T) {
	inWorld(t, 4, 4, func(w *world) {
		both := numbered(0, 2)
		w.nodes[0].guard.Served(both[1], time.Now())
		time.Sleep(time.Second)
		w.endThree(both, w.nodes[1], w.nodes[2], w.nodes[1])
		Expect(w.held(both[0])).To(Equal(4))
		Expect(w.held(both[1])).To(BeZero())
	})
}
