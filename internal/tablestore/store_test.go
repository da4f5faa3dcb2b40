package tablestore

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/internal/table"
)

var _ = Describe("Store", func() {
	var c *cluster
	BeforeEach(func() {
		c = newCluster(1, 3, 5, DefaultOptions().RecentEntries)
		c.loop.RunFor(5 * time.Second)
	})
	AfterEach(func() { Expect(c.regressions).To(BeEmpty()) })

	edit := func(base table.Revision, rows ...table.Row) Edit {
		return Edit{Base: base, Changed: rows, Author: "operator", Comment: "why"}
	}

	It("distributes an accepted edit to all nodes within 2 s", func() {
		var accepted bool
		c.nodes[0].store.Propose(edit(0, row("a", 1)), func(o Outcome) { accepted = o.Code == result.OK })
		c.loop.RunFor(2 * time.Second)
		Expect(accepted).To(BeTrue())
		Expect(c.divergence()).To(BeEmpty())
	})

	// Node 0 can't reach the key-value service, and node 1 is partitioned from all
	// others, so node 0 has to get the edit from node 2 or 3 with lossy messages.
	It("distributes an edit within 3 s to a node that depends on its peers, one of which is unreachable", func() {
		for seed := range uint64(150) {
			impaired := newCluster(seed, 4, 1, DefaultOptions().RecentEntries)
			impaired.loop.RunFor(5 * time.Second)
			impaired.network.Cut = func(from, to string) bool {
				partitioned := from == "node-01" || to == "node-01"
				return partitioned || (from == "node-00" && to == kvName) || (from == kvName && to == "node-00")
			}
			impaired.conditions.Loss = 0.2
			impaired.nodes[2].store.Propose(edit(0, row("a", 1)), func(Outcome) {})
			impaired.loop.RunFor(3 * time.Second)
			Expect(impaired.nodes[0].store.Revision()).To(Equal(table.Revision(1)), "seed %d", seed)
		}
	})

	It("reports a conflict with the edits accepted since the base", func() {
		Expect(c.propose(0, edit(0, row("a", 1))).Code).To(Equal(result.OK))
		outcome := c.propose(1, edit(0, row("b", 1)))
		Expect(outcome.Code).To(Equal(result.RevisionConflict))
		Expect(outcome.Revision).To(Equal(table.Revision(1)))
		Expect(outcome.Concurrent).To(HaveLen(1))
		Expect(outcome.Concurrent[0].Author).To(Equal("operator"))
		Expect(outcome.Concurrent[0].Delta.Changed).To(Equal([]table.Row{row("a", 1)}))
	})

	It("accepts exactly one of two concurrent edits", func() {
		codes := map[result.Code]int{}
		for index := range 2 {
			c.nodes[index].store.Propose(edit(0, row("a", 1+index)), func(o Outcome) { codes[o.Code]++ })
		}
		c.loop.RunFor(10 * time.Second)
		Expect(codes).To(Equal(map[result.Code]int{result.OK: 1, result.RevisionConflict: 1}))
	})

	It("rejects an invalid table without writing", func() {
		outcome := c.propose(0, edit(0, row(invalidRow, 1)))
		Expect(outcome.Code).To(Equal(result.InvalidTable))
		Expect(outcome.Problems).To(HaveLen(1))
		Expect(c.nodes[0].store.Revision()).To(BeZero())
	})

	It("accepts an edit that changes nothing with the revision of its base", func() {
		Expect(c.propose(0, edit(0, row("a", 1))).Revision).To(Equal(table.Revision(1)))
		outcome := c.propose(0, edit(1, row("a", 1)))
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(outcome.Revision).To(Equal(table.Revision(1)))
	})

	It("rejects edits during an outage of the service, and still distributes accepted ones", func() {
		c.nodes[0].store.Propose(edit(0, row("a", 1)), func(Outcome) {})
		c.loop.RunFor(5 * time.Millisecond)
		c.kv.SetFaults(keyvalue.Faults{Outage: true})
		c.loop.RunFor(5 * time.Second)
		c.start(7)
		c.loop.RunFor(10 * time.Second)
		Expect(c.divergence()).To(BeEmpty())
		Expect(c.nodes[7].store.Revision()).To(Equal(table.Revision(1)))
		Expect(c.propose(0, edit(1, row("b", 1))).Code).To(Equal(result.StoreUnavailable))
	})

	DescribeTable("determines the outcome of a write",
		func(faults keyvalue.Faults, code result.Code, revision table.Revision) {
			c.kv.SetFaults(faults)
			outcome := c.propose(0, edit(0, row("a", 1)))
			Expect(outcome.Code).To(Equal(code))
			c.kv.SetFaults(keyvalue.Faults{})
			c.loop.RunFor(time.Minute)
			Expect(c.nodes[1].store.Revision()).To(Equal(revision))
		},
		Entry("whose replies are all lost", keyvalue.Faults{LostReplies: 1}, result.OK, table.Revision(1)),
		Entry("at a slow service", keyvalue.Faults{Delay: 1500 * time.Millisecond}, result.OK, table.Revision(1)),
		Entry("at a service slower than the timeout", keyvalue.Faults{Delay: 5 * time.Second}, result.StoreUnavailable, table.Revision(0)),
	)

	It("bounds the log, the snapshots and the history in the service", func() {
		const edits = 600
		for revision := range edits {
			c.nodes[0].store.Propose(edit(table.Revision(revision), row(fmt.Sprint(revision%7), revision)), func(Outcome) {})
			c.loop.RunFor(100 * time.Millisecond)
		}
		c.loop.RunFor(5 * time.Second)
		Expect(c.nodes[14].store.Revision()).To(Equal(table.Revision(edits)))
		Expect(c.kv.Range(logPrefix).KeyValues).To(HaveLen(maxLogEntries))
		Expect(c.kv.Range(snapshotPrefix).KeyValues).To(HaveLen(maxSnapshots))
		Expect(c.kv.Range(historyPrefix).KeyValues).To(HaveLen(maxHistoryRecords))
		var history []HistoryRecord
		c.nodes[3].store.History(10, func(records []HistoryRecord, err error) {
			Expect(err).NotTo(HaveOccurred())
			history = records
		})
		c.loop.RunFor(time.Second)
		Expect(history).To(HaveLen(10))
		Expect(history[0].Revision).To(Equal(table.Revision(edits)))
		Expect(history[0].Changed).To(HaveLen(1))
	})

	It("restores the table of a restarted cluster from the service alone", func() {
		for revision := range 300 {
			c.nodes[0].store.Propose(edit(table.Revision(revision), row(fmt.Sprint(revision), 1)), func(Outcome) {})
			c.loop.RunFor(100 * time.Millisecond)
		}
		for index := range c.nodes {
			c.start(index)
		}
		Expect(c.nodes[0].store.Loaded()).To(BeFalse())
		c.loop.RunFor(10 * time.Second)
		Expect(c.divergence()).To(BeEmpty())
		Expect(c.nodes[0].store.Loaded()).To(BeTrue())
	})

	It("reports the revision that each node uses", func() {
		c.propose(0, edit(0, row("a", 1)))
		c.nodes[4].process.Pause()
		var answers []NodeRevision
		c.nodes[0].store.InForce(func(nodes []NodeRevision) { answers = nodes })
		c.loop.RunFor(5 * time.Second)
		Expect(answers).To(HaveLen(len(c.nodes)))
		for index, answer := range answers {
			Expect(answer.Member.Name).To(Equal(c.members[index].Name))
			Expect(answer.Answered).To(Equal(index != 4))
			if answer.Answered {
				Expect(answer.Revision).To(Equal(table.Revision(1)))
			}
		}
	})

	It("brings a node up to date after a network partition", func() {
		c.network.Cut = func(from, to string) bool { return from == "node-04" || to == "node-04" }
		for revision := range 200 {
			c.nodes[0].store.Propose(edit(table.Revision(revision), row("a", revision+1)), func(Outcome) {})
			c.loop.RunFor(100 * time.Millisecond)
		}
		Expect(c.nodes[4].store.Revision()).To(BeZero())
		c.network.Cut = func(string, string) bool { return false }
		c.loop.RunFor(5 * time.Second)
		Expect(c.divergence()).To(BeEmpty())
	})

	It("converges with 10% of the messages lost, 10% duplicated and 10% late", func() {
		c.conditions = simulation.Conditions{
			Delay: time.Millisecond, Loss: 0.1, Duplication: 0.1, Late: 0.1, LateDelay: 3 * time.Second,
		}
		for revision := range 50 {
			c.nodes[revision%15].store.Propose(edit(table.Revision(revision), row("a", revision+1)), func(Outcome) {})
			c.loop.RunFor(time.Second)
		}
		c.loop.RunFor(5 * time.Second)
		Expect(c.divergence()).To(BeEmpty())
	})
})
