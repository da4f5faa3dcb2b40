package node_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/checker"
	"github.com/hatchplank/hatchplank/internal/emulator"
	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

func newWorld(seed uint64, nodes int) *emulator.World {
	deployment, _, err := emulator.FromExample("schools")
	Expect(err).NotTo(HaveOccurred())
	return emulator.NewWorld(emulator.Options{
		Deployment: deployment, Seed: seed, Nodes: nodes, Mechanisms: applier.AllMechanisms(),
		Limits: checker.DefaultLimits(), Logger: zerolog.Nop(),
	})
}

// owned counts the cells that all live nodes own together.
func owned(world *emulator.World) int {
	total := 0
	for _, n := range world.Nodes {
		if !n.Process.Killed() {
			total += len(n.Node.Owners.Owned())
		}
	}
	return total
}

var _ = Describe("the cell layout", func() {
	It("is recorded by the first nodes even if replies are lost", func() {
		world := newWorld(1, 3)
		world.KeyValue.SetFaults(keyvalue.Faults{LostReplies: 0.5})
		world.Loop.RunFor(time.Minute)
		Expect(owned(world)).To(Equal(len(world.Options.Deployment.Settings.Cells)))
	})

	It("keeps a node with another layout from owning cells, even as the only member", func() {
		world := newWorld(2, 2)
		world.Loop.RunFor(30 * time.Second)
		world.Options.Deployment.Settings.Cells = []settings.Cell{{Name: "north", Pools: []string{"glossa"}}}
		other := world.AddNode("other", "marousi")
		world.Loop.RunFor(10 * time.Second)
		for _, n := range world.Nodes[:2] {
			n.Kill()
		}
		world.Loop.RunFor(2 * time.Minute)
		Expect(other.Node.Owners.Owned()).To(BeEmpty())
		Expect(other.Node.Ready()).To(ContainSubstring("cells"))
	})
})
