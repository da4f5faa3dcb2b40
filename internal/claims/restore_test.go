package claims

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// restoredCluster is a cluster whose members change at random, before and after its key-value service
// is restored from a backup.
type restoredCluster struct {
	*testCluster
	random  *rand.Rand
	started int
}

// changeMember kills a node or starts a new one, then runs the loop for up to 20 s.
func (c *restoredCluster) changeMember() {
	name := fmt.Sprintf("node-%d", c.random.IntN(5))
	if c.random.IntN(2) == 0 && c.nodes[name] != nil && len(c.nodes) > 3 {
		c.kill(name)
	} else {
		c.started++
		c.start(fmt.Sprintf("new-%d", c.started), fmt.Sprintf("zone-%d", c.started%3), 1)
	}
	c.loop.RunFor(time.Duration(c.random.IntN(20_000)) * time.Millisecond)
}

// changeMembers makes one to four changes.
func (c *restoredCluster) changeMembers() {
	for range 1 + c.random.IntN(4) {
		c.changeMember()
	}
}

var _ = Describe("a restore of the key-value service from a backup", func() {
	// The restore loses the configuration in which the key was claimed, and its epoch is assigned again.
	It("lets no key run twice", func() {
		for seed := range uint64(40) {
			cluster := &restoredCluster{testCluster: newTestCluster(seed+1, 5), random: rand.New(rand.NewPCG(seed, 5))}
			backup := cluster.store.Backup()
			cluster.changeMembers()
			key := Key{Tenant: "alpha", Value: fmt.Sprint("seat-", seed)}
			cluster.claimAndWait(slices.Sorted(maps.Keys(cluster.nodes))[0], key, "first")
			cluster.store.Restore(backup)
			for round := range 3 {
				cluster.changeMembers()
				for _, name := range slices.Sorted(maps.Keys(cluster.nodes)) {
					cluster.claimAndWait(name, key, fmt.Sprint("later-", round, name))
				}
			}
			Expect(cluster.runs[key]).To(BeNumerically("<=", 1), "seed %d", seed)
		}
	})
})
