package poison

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// For arbitrary runs: the number of remembered runs of each pool is that of the identities that are
// kept, and as many are kept as fit.
func TestRememberedRunsAreThoseOfKeptRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 4
		ring := newServedRing(size)
		kept := map[Identity]map[string]int{}
		var order []Identity
		for i := range rapid.IntRange(0, 60).Draw(t, "runs") {
			number := rapid.IntRange(0, 8).Draw(t, "request")
			identity := numbered(number, number+1)[0]
			if kept[identity] == nil {
				if len(order) == size {
					delete(kept, order[0])
					order = order[1:]
				}
				kept[identity] = map[string]int{}
				order = append(order, identity)
			}
			began := time.Unix(int64(i), 0)
			if rapid.Bool().Draw(t, "own") {
				// The pool of the latest run counts for all of an identity.
				pool, count := fmt.Sprint("pool", rapid.IntRange(0, 2).Draw(t, "pool")), 1
				for _, before := range kept[identity] {
					count += before
				}
				kept[identity] = map[string]int{pool: count}
				ring.count(identity, pool, began)
			} else {
				ring.add(identity, began)
			}
			if last, known := ring.lastBegan(identity); !known || last != began {
				t.Fatalf("last began %v, %v", last, known)
			}
		}
		expected := map[string]int{}
		for _, counts := range kept {
			for pool, count := range counts {
				expected[pool] += count
			}
		}
		for number := range 3 {
			pool := fmt.Sprint("pool", number)
			if count := ring.countOf(pool); count != expected[pool] {
				t.Fatalf("%d runs of %s, expected %d", count, pool, expected[pool])
			}
		}
		if len(ring.pools) != len(expected) || len(ring.runs) != len(kept) {
			t.Fatalf("%d pools and %d identities kept", len(ring.pools), len(ring.runs))
		}
	})
}

// Guards against memory of a pool that counts runs which other pools' requests have displaced.
func TestDisplacedRequestsAreNotRemembered(t *testing.T) {
	RegisterTestingT(t)
	served := newServed()
	for _, identity := range numbered(0, minRemembered) {
		served.add(Request{Identity: identity, Pool: "rare"}, time.Now())
	}
	Expect(served.remembered("rare")).To(Equal(minRemembered))
	for _, identity := range numbered(minRemembered, minRemembered+maxServed) {
		served.add(Request{Identity: identity, Pool: "busy"}, time.Now())
	}
	Expect(served.remembered("rare")).To(BeZero())
	Expect(served.remembered("busy")).To(Equal(maxServed))
}
