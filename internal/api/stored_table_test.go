package api_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/internal/table"
	"github.com/hatchplank/hatchplank/internal/tablestore"
)

// singleNode is a membership.View of one node.
type singleNode struct{}

func (singleNode) Self() membership.Member      { return membership.Member{Name: "node"} }
func (singleNode) Members() []membership.Member { return []membership.Member{{Name: "node"}} }

var _ = Describe("StoredTable", func() {
	var loop *simulation.Loop
	var kvProcess *simulation.Process
	var stored *api.StoredTable

	BeforeEach(func() {
		loop = simulation.NewLoop(1)
		network := simulation.NewNetwork(loop)
		kvProcess = simulation.NewProcess(loop, "kv")
		process := simulation.NewProcess(loop, "node")
		kv := keyvalue.NewStore(keyvalue.Options{Clock: kvProcess, Random: loop.Fork()})
		store := tablestore.New(tablestore.Dependencies{
			Members: singleNode{}, KeyValues: keyvalue.NewSimulated(network, kvProcess, process, kv),
			Transport: simulation.NewPeerNetwork(network).Transport(process), Clock: process, Random: loop.Fork(),
			Validate: func(rows []table.Row) []table.Problem { return table.Validate(rows, table.Constraints{}) },
			Log:      zerolog.Nop(),
		}, tablestore.DefaultOptions())
		stored = api.NewStoredTable(store)
		store.Start()
	})

	propose := func(edit api.TableEdit) (table.Revision, error) {
		GinkgoHelper()
		calls := 0
		var revision table.Revision
		var err error
		stored.Propose(edit, time.Second, func(r table.Revision, e error) { calls, revision, err = calls+1, r, e })
		Expect(calls).To(BeZero(), "done was called before Propose returned")
		loop.RunFor(5 * time.Minute)
		Expect(calls).To(Equal(1))
		return revision, err
	}

	withWeight := func(weight int, rows ...table.Row) []table.Row {
		changed := append([]table.Row{}, rows...)
		changed[0].Weight = weight
		return changed
	}

	It("keeps other tenants' rows in an operator's edit", func() {
		rows := testRows()
		Expect(propose(api.TableEdit{Rows: rows, Author: "admin"})).To(BeEquivalentTo(1))
		Expect(propose(api.TableEdit{Base: 1, Tenant: attica, Rows: withWeight(5, rows[0])})).To(BeEquivalentTo(2))
		snapshot := stored.Snapshot()
		Expect(snapshot.Rows()).To(HaveLen(2))
		foreign, _ := snapshot.Row(foreignModel)
		Expect(foreign).To(Equal(rows[2]))
		changed, _ := snapshot.Row(ownModel)
		Expect(changed.Weight).To(Equal(5))
	})

	It("refuses an operator's edit that reuses the name of another tenant's row", func() {
		rows := testRows()
		Expect(propose(api.TableEdit{Rows: rows})).To(BeEquivalentTo(1))
		hijacked := rows[2]
		hijacked.Tenant = attica
		_, err := propose(api.TableEdit{Base: 1, Tenant: attica, Rows: []table.Row{hijacked}})
		Expect(err).To(BeAssignableToTypeOf(result.Refusal{}))
		Expect(err.(result.Refusal).Code).To(Equal(result.Forbidden))
		Expect(stored.Snapshot().Revision()).To(BeEquivalentTo(1))
	})

	It("reports the changes of both sides of a conflict, to an operator only those of its tenant", func() {
		rows := testRows()
		Expect(propose(api.TableEdit{Rows: rows})).To(BeEquivalentTo(1))
		theirs := withWeight(2, rows...)
		theirs[2].Weight = 9
		Expect(propose(api.TableEdit{Base: 1, Rows: theirs})).To(BeEquivalentTo(2))
		_, err := propose(api.TableEdit{Base: 1, Tenant: attica, Rows: withWeight(3, rows[:2]...)})
		var conflict *api.TableConflictError
		Expect(err).To(BeAssignableToTypeOf(conflict))
		conflict = err.(*api.TableConflictError)
		Expect(conflict.Current).To(BeEquivalentTo(2))
		Expect(conflict.Conflicts).To(ConsistOf(table.Conflict{Row: ownModel, Column: table.ColumnWeight, Base: "1", Mine: "3", Theirs: "2"}))
		Expect(conflict.Mine).To(HaveLen(1))
		Expect(conflict.Theirs).To(HaveLen(1))
	})

	It("reports a conflict if the base is no longer in memory or never existed", func() {
		rows := testRows()
		for revision := range 12 {
			Expect(propose(api.TableEdit{Base: table.Revision(revision), Rows: withWeight(revision+1, rows...)})).To(BeEquivalentTo(revision + 1))
		}
		for _, base := range []table.Revision{1, 99} {
			_, err := propose(api.TableEdit{Base: base, Rows: rows})
			Expect(err).To(BeAssignableToTypeOf(&api.TableConflictError{}))
			Expect(err.(*api.TableConflictError).Current).To(BeEquivalentTo(12))
		}
	})

	It("lists violated rules and repeated names", func() {
		rows := testRows()
		rows[0].MinReplicas = 9
		_, err := propose(api.TableEdit{Rows: rows})
		Expect(err).To(BeAssignableToTypeOf(&table.InvalidError{}))
		_, err = propose(api.TableEdit{Rows: append(testRows(), testRows()[0])})
		Expect(err).To(BeAssignableToTypeOf(&table.InvalidError{}))
		Expect(stored.Snapshot().Revision()).To(BeZero())
	})

	It("does not report success while the key-value service is unavailable", func() {
		kvProcess.Pause()
		_, err := propose(api.TableEdit{Rows: testRows()})
		Expect(err).To(Or(MatchError(outside.ErrNotApplied), MatchError(outside.ErrAmbiguous)))
	})

	It("limits the history to the tenant", func() {
		rows := testRows()
		Expect(propose(api.TableEdit{Rows: rows, Author: "admin"})).To(BeEquivalentTo(1))
		Expect(propose(api.TableEdit{Base: 1, Tenant: ionia, Rows: withWeight(4, rows[2]), Author: "ionia/operator"})).To(BeEquivalentTo(2))
		history := func(tenant string) []api.HistoryEntry {
			var entries []api.HistoryEntry
			stored.History(tenant, 10, time.Second, func(e []api.HistoryEntry, err error) {
				Expect(err).NotTo(HaveOccurred())
				entries = e
			})
			loop.RunFor(time.Minute)
			return entries
		}
		Expect(history("")).To(HaveLen(2))
		Expect(history(attica)).To(HaveLen(1))
		own := history(ionia)
		Expect(own).To(HaveLen(2))
		for _, change := range own[1].Changes {
			Expect(change.Added).To(BeTrue(), "the first revision only adds")
		}
		Expect(own[0].Author).To(Equal("ionia/operator"))
		Expect(own[0].Changes).To(ConsistOf(table.RowChange{Row: foreignModel, Columns: []table.ColumnChange{
			{Column: table.ColumnWeight, Before: "1", After: "4"},
		}}))
	})
})

var _ = DescribeTable("a revision is in force", func(nodes []tablestore.NodeRevision, inForce bool) {
	Expect(api.NewRevisionStatus(7, nodes).InForce).To(Equal(inForce))
},
	Entry("when all nodes use it or a newer one", []tablestore.NodeRevision{{Revision: 7, Answered: true}, {Revision: 8, Answered: true}}, true),
	Entry("but not while a node uses an older one", []tablestore.NodeRevision{{Revision: 7, Answered: true}, {Revision: 6, Answered: true}}, false),
	Entry("but not while a node does not answer", []tablestore.NodeRevision{{Revision: 7, Answered: true}, {Revision: 8}}, false),
	Entry("but not when no node is known", nil, false),
)
