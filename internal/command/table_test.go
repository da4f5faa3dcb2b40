package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command")
}

// memoryTable is a table store that takes an edit only on its revision.
type memoryTable struct {
	mutex    sync.Mutex
	snapshot *table.Snapshot
	history  []api.HistoryEntry
	// rival, if set, is written just before the next edit.
	rival []table.Row
	// forceAsked counts the questions; the second is answered with yes.
	forceAsked int
}

func (m *memoryTable) Snapshot() *table.Snapshot {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.snapshot
}

func (m *memoryTable) Propose(edit api.TableEdit, _ time.Duration, done func(table.Revision, error)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.rival != nil {
		m.replace(m.rival, "rival")
		m.rival = nil
	}
	if problems := table.Validate(edit.Rows, table.Constraints{Tenants: []string{"attica"}}); len(problems) > 0 {
		done(0, &table.InvalidError{Problems: problems})
		return
	}
	if edit.Base != m.snapshot.Revision() {
		done(0, &api.TableConflictError{Current: m.snapshot.Revision()})
		return
	}
	m.replace(edit.Rows, edit.Author)
	done(m.snapshot.Revision(), nil)
}

func (m *memoryTable) replace(rows []table.Row, author string) {
	next := table.NewSnapshot(m.snapshot.Revision()+1, rows)
	entry := api.HistoryEntry{Revision: next.Revision(), Author: author, Changes: table.Changes(m.snapshot.Rows(), rows)}
	m.history = append([]api.HistoryEntry{entry}, m.history...)
	m.snapshot = next
}

func (m *memoryTable) History(_ string, limit int, _ time.Duration, done func([]api.HistoryEntry, error)) {
	done(m.history[:min(limit, len(m.history))], nil)
}

func (m *memoryTable) Status(_ time.Duration, done func(api.Status, error)) { done(api.Status{}, nil) }

func (m *memoryTable) RevisionStatus(revision table.Revision, _ time.Duration, done func(api.RevisionStatus, error)) {
	m.forceAsked++
	inForce := m.forceAsked > 1
	done(api.RevisionStatus{Revision: revision, InForce: inForce, Members: []api.MemberStatus{{Name: "node-2", Revision: 1}}}, nil)
}

// noGateway refuses every request; the table's commands send none.
type noGateway struct{}

func (noGateway) Submit(_ gateway.Request, responder gateway.Responder) func() {
	responder.Refuse(result.Refusal{Code: result.Internal})
	return func() {}
}

func modelRow(name string, priority int) table.Row {
	return table.Row{
		Name: name, Kind: table.KindModel, Version: "1", WeightBytes: 16 << 30, Tenant: "attica",
		Priority: priority, Weight: 10, MaxReplicas: 4, MemoryBytes: 40 << 30, TimeLimit: 30 * time.Second,
	}
}

var _ = Describe("The table's commands", func() {
	var store *memoryTable
	var node, directory string

	BeforeEach(func() {
		store = &memoryTable{snapshot: table.NewSnapshot(1, []table.Row{modelRow("m", 5), modelRow("n", 5)})}
		keyring, err := auth.NewKeyring([]auth.Credential{{SHA256: auth.HashToken("t"), Tenant: "attica", Role: auth.RoleOperator}})
		Expect(err).NotTo(HaveOccurred())
		server := httptest.NewServer(api.New(api.Config{
			Gateway: noGateway{}, Table: store.snapshot, Keyring: keyring, Clock: clock.System{},
			TableStore: store, Status: store,
		}))
		DeferCleanup(server.Close)
		node, directory = server.URL, GinkgoT().TempDir()
	})

	// run runs a command and returns its output and exit code.
	run := func(arguments ...string) (string, int) {
		command := NewTableCommand()
		var output, errors bytes.Buffer
		command.SetOut(&output)
		command.SetErr(&errors)
		command.SilenceUsage, command.SilenceErrors = true, true
		command.SetArgs(arguments)
		err := command.Execute()
		if err != nil {
			output.WriteString(err.Error())
		}
		return output.String(), exitCode(err)
	}
	call := func(arguments ...string) (string, int) {
		return run(append(arguments, "--node", node, "--token", "t")...)
	}
	file := func(name string, revision table.Revision, rows ...table.Row) string {
		path := filepath.Join(directory, name)
		format, _ := table.FormatOfFile(name)
		text, err := table.Encode(format, revision, rows)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
		return path
	}

	It("export a file that applies without changes in every form", func() {
		for _, format := range []string{"csv", "yaml", "json"} {
			text, code := call("export", "--format", format)
			Expect(code).To(Equal(ExitOK))
			path := filepath.Join(directory, "table."+format)
			Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
			output, code := call("apply", path)
			Expect(code).To(Equal(ExitOK))
			Expect(output).To(ContainSubstring("revision 1, nothing written"))
		}
	})

	It("show the table as columns and as JSON", func() {
		output, code := call("get")
		Expect(code).To(Equal(ExitOK))
		Expect(output).To(ContainSubstring("revision 1, 2 rows"))
		output, _ = call("get", "--output", "json")
		var document table.TableDocument
		Expect(json.Unmarshal([]byte(output), &document)).To(Succeed())
		Expect(document.Rows[0].Weights).To(Equal("16GiB"))
	})

	It("apply an edit, wait until it is in force and show it in the history", func() {
		output, code := call("apply", file("t.csv", 0, modelRow("m", 7), modelRow("o", 5)), "--wait", "--output", "json")
		Expect(code).To(Equal(ExitOK), output)
		var applied applyResult
		Expect(json.Unmarshal([]byte(output), &applied)).To(Succeed())
		Expect(applied).To(SatisfyAll(HaveField("Revision", table.Revision(2)), HaveField("Applied", true), HaveField("InForce", true)))
		Expect(applied.Changes).To(HaveLen(3))
		Expect(store.forceAsked).To(Equal(2))
		output, code = call("history", "--limit", "1")
		Expect(code).To(Equal(ExitOK))
		Expect(strings.Fields(output)).To(ContainElements("2", "attica/operator"))
	})

	It("show changes without writing them", func() {
		path := file("t.csv", 0, modelRow("m", 7))
		for _, arguments := range [][]string{{"diff", path}, {"apply", path, "--dry-run"}} {
			output, code := call(arguments...)
			Expect(code).To(Equal(ExitOK))
			Expect(output).To(SatisfyAll(ContainSubstring(`priority: "5" -> "7"`), ContainSubstring("- n")))
		}
		Expect(store.snapshot.Revision()).To(Equal(table.Revision(1)))
	})

	DescribeTable("meet an edit of somebody else",
		func(rivalPriority int, rivalName string, flags []string, code int, priorities []int) {
			rival := []table.Row{modelRow("m", 5), modelRow("n", 5)}
			rival[map[string]int{"m": 0, "n": 1}[rivalName]].Priority = rivalPriority
			store.rival = rival
			output, got := call(append([]string{"apply", file("t.csv", 0, modelRow("m", 7), modelRow("n", 5))}, flags...)...)
			Expect(got).To(Equal(code), output)
			rows := store.snapshot.Rows()
			Expect([]int{rows[0].Priority, rows[1].Priority}).To(Equal(priorities))
		},
		Entry("refused without --merge", 8, "n", nil, ExitConflict, []int{5, 8}),
		Entry("merged when other values", 8, "n", []string{"--merge"}, ExitOK, []int{7, 8}),
		Entry("refused when the same value", 8, "m", []string{"--merge"}, ExitConflict, []int{8, 5}),
		Entry("agreed when the same edit", 7, "m", []string{"--merge"}, ExitOK, []int{7, 5}),
	)

	It("refuse a file of an older revision unless its base is given", func() {
		store.replace([]table.Row{modelRow("m", 5), modelRow("n", 8)}, "rival")
		edited := file("t.yaml", 1, modelRow("m", 7), modelRow("n", 5))
		output, code := call("apply", edited)
		Expect(code).To(Equal(ExitConflict))
		Expect(output).To(ContainSubstring("changed since revision 1 and is at revision 2"))
		_, code = call("apply", edited, "--merge", "--base", file("base.csv", 0, modelRow("m", 5), modelRow("n", 5)))
		Expect(code).To(Equal(ExitOK))
		Expect(store.snapshot.Rows()[1].Priority).To(Equal(8))
	})

	It("show every problem that the node finds", func() {
		foreign := modelRow("m", 5)
		foreign.WeightBytes, foreign.MemoryBytes = 1, 1
		foreign.Tenant = "attica"
		foreign.Priority = 11
		foreign.Weight = 0
		output, code := call("apply", file("t.csv", 0, foreign))
		Expect(code).To(Equal(ExitFailed))
		Expect(strings.Split(output, "\n")).To(HaveLen(2))
	})

	It("validate a file without a node", func() {
		_, code := run("validate", file("good.csv", 0, modelRow("m", 5)))
		Expect(code).To(Equal(ExitOK))
		bad := file("bad.csv", 0, modelRow("m", 12), modelRow("m", 5))
		output, code := run("validate", bad, "--output", "json", "--server-memory", "30GiB")
		Expect(code).To(Equal(ExitFailed))
		var found validateResult
		Expect(json.NewDecoder(strings.NewReader(output)).Decode(&found)).To(Succeed())
		Expect(found).To(SatisfyAll(HaveField("Valid", false), HaveField("Problems", HaveLen(4))))
		_, code = run("validate", bad, "--settings", filepath.Join("..", "..", "examples", "schools", "settings.yaml"))
		Expect(code).To(Equal(ExitFailed))
	})

	It("have their exit codes documented", func() {
		document, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", "exit-codes.md"))
		Expect(err).NotTo(HaveOccurred())
		for _, code := range []int{ExitOK, ExitFailed, ExitUsage, ExitConflict} {
			Expect(string(document)).To(ContainSubstring(fmt.Sprintf("\n| %d |", code)))
		}
	})

	DescribeTable("end with the code of usage", func(arguments ...string) {
		_, code := run(arguments...)
		Expect(code).To(Equal(ExitUsage))
	},
		Entry("no file", "apply"),
		Entry("unknown flag", "get", "--colour"),
		Entry("unknown output", "get", "--output", "xml"),
		Entry("unknown format", "export", "--format", "xml"),
		Entry("unknown file form", "validate", "table.txt"),
		Entry("base without merge", "apply", "t.csv", "--base", "b.csv"),
		Entry("bad size", "validate", "t.csv", "--fleet-memory", "much"),
		Entry("bad limit", "history", "--limit", "0"),
	)

	It("fail without a node, with a wrong token and without the file", func() {
		_, code := run("get", "--node", "http://127.0.0.1:1")
		Expect(code).To(Equal(ExitFailed))
		output, code := run("get", "--node", node, "--token", "wrong")
		Expect(code).To(Equal(ExitFailed))
		Expect(output).To(ContainSubstring("1006"))
		_, code = run("validate", filepath.Join(directory, "absent.csv"))
		Expect(code).To(Equal(ExitFailed))
	})
})
