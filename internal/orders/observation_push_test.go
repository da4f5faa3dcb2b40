package orders

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a holder whose work grows with nodes x servers, and against servers of a large pool
// that no update looks at.
func TestUpdatesLookAtAllServersInTurn(t *testing.T) {
	g := NewWithT(t)
	servers := largeSnapshot(2*maxServersLookedAt + 1).Pool("p")
	seen := map[string]int{}
	for number := range 3 {
		part := window(servers, number)
		g.Expect(len(part)).To(BeNumerically("<=", maxServersLookedAt))
		for _, server := range part {
			seen[server.ID]++
		}
	}
	g.Expect(seen).To(HaveLen(len(servers)))
	g.Expect(window(servers[:maxServersLookedAt], 5)).To(HaveLen(maxServersLookedAt))
}
