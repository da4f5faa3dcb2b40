package api_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
	"github.com/hatchplank/hatchplank/internal/telemetry"
)

const (
	tablePath   = "/admin/v1/table"
	historyPath = "/admin/v1/table/history"
	forcePath   = "/admin/v1/table/force?revision=7"
	statusPath  = "/admin/v1/status"
	drainPath   = "/admin/v1/drain"
	modelsPath  = "/v1/models"
)

// fakeStore is a TableStore that answers each proposal with the revision and the error that
// the test sets, and records the edits and the tenants of history calls.
type fakeStore struct {
	snapshot *table.Snapshot
	revision table.Revision
	err      error
	edits    []api.TableEdit
	scopes   []string
}

func (s *fakeStore) Snapshot() *table.Snapshot { return s.snapshot }

func (s *fakeStore) Propose(edit api.TableEdit, _ time.Duration, done func(table.Revision, error)) {
	s.edits = append(s.edits, edit)
	revision, err := s.revision, s.err
	go done(revision, err)
}

func (s *fakeStore) History(tenant string, limit int, _ time.Duration, done func([]api.HistoryEntry, error)) {
	s.scopes = append(s.scopes, tenant)
	go done([]api.HistoryEntry{{Revision: table.Revision(limit), Author: "admin"}}, nil)
}

// fakeNode is a StatusSource and a Drainer.
type fakeNode struct{ draining bool }

func (*fakeNode) Status(_ time.Duration, done func(api.Status, error)) {
	go done(api.Status{Node: "a", Rows: []api.RowStatus{{Row: ownModel, Tenant: attica}, {Row: foreignModel, Tenant: ionia}}}, nil)
}

func (*fakeNode) RevisionStatus(revision table.Revision, _ time.Duration, done func(api.RevisionStatus, error)) {
	go done(api.RevisionStatus{Revision: revision, InForce: true}, nil)
}

func (n *fakeNode) Drain()         { n.draining = true }
func (n *fakeNode) Draining() bool { return n.draining }

var _ = Describe("the administration", func() {
	var store *fakeStore
	var node *fakeNode
	var server *httptest.Server
	var config api.Config

	BeforeEach(func() {
		store = &fakeStore{snapshot: table.NewSnapshot(recordedRevision, testRows()), revision: recordedRevision + 1}
		node = &fakeNode{}
		config = testConfig(newFakeGateway())
		config.TableStore, config.Status, config.Drainer = store, node, node
		config.Gatherer = telemetry.NewMetrics().Registry()
		config.Limits.BodyBytes = 1 << 20
		server = startServer(config)
	})

	call := func(ctx SpecContext, method, path, token, body string, headers ...string) *http.Response {
		request, err := http.NewRequestWithContext(ctx, method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		for index := 0; index < len(headers); index += 2 {
			request.Header.Set(headers[index], headers[index+1])
		}
		return send(request, token)
	}

	DescribeTable("authorizes by role", func(ctx SpecContext, method, path string, caller, operator, admin int) {
		Expect(call(ctx, method, path, "", "").StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(call(ctx, method, path, "guess", "").StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(call(ctx, method, path, callerToken, "").StatusCode).To(Equal(caller))
		Expect(call(ctx, method, path, operatorToken, "").StatusCode).To(Equal(operator))
		Expect(call(ctx, method, path, adminToken, "").StatusCode).To(Equal(admin))
	},
		Entry("models", http.MethodGet, modelsPath, 200, 200, 200),
		Entry("table", http.MethodGet, tablePath, 403, 200, 200),
		Entry("write of the table", http.MethodPut, tablePath, 403, 428, 428),
		Entry("history", http.MethodGet, historyPath, 403, 200, 200),
		Entry("force", http.MethodGet, forcePath, 403, 200, 200),
		Entry("status", http.MethodGet, statusPath, 403, 200, 200),
		Entry("metrics", http.MethodGet, "/metrics", 403, 403, 200),
		Entry("drain", http.MethodPost, drainPath, 403, 403, 202),
	)

	DescribeTable("returns the rows that the principal manages in every format", func(ctx SpecContext, token string, format table.Format, rows int) {
		response := call(ctx, http.MethodGet, tablePath+"?format="+string(format), token, "")
		Expect(response.Header.Get("ETag")).To(Equal(`"7"`))
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		document, problems := table.Decode(format, body)
		Expect(problems).To(BeEmpty())
		Expect(document.Rows).To(HaveLen(rows))
	},
		Entry("operator, JSON", operatorToken, table.FormatJSON, 2),
		Entry("foreign operator, CSV", foreignOperator, table.FormatCSV, 1),
		Entry("administrator, YAML", adminToken, table.FormatYAML, 3),
	)

	DescribeTable("writes the table of the principal's scope", func(ctx SpecContext, token string, format table.Format, tenant string) {
		rows := testRows()[:2]
		body, err := table.Encode(format, recordedRevision, rows)
		Expect(err).NotTo(HaveOccurred())
		response := call(ctx, http.MethodPut, tablePath, token, string(body), "If-Match", `"7"`, "Content-Type", format.ContentType())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		var document api.RevisionDocument
		Expect(json.NewDecoder(response.Body).Decode(&document)).To(Succeed())
		Expect(document.Revision).To(Equal(store.revision))
		Expect(store.edits).To(HaveLen(1))
		Expect(store.edits[0].Base).To(BeEquivalentTo(7))
		Expect(store.edits[0].Tenant).To(Equal(tenant))
		Expect(store.edits[0].Rows).To(ConsistOf(rows[0], rows[1]))
	},
		Entry("operator, JSON", operatorToken, table.FormatJSON, attica),
		Entry("operator, CSV", operatorToken, table.FormatCSV, attica),
		Entry("administrator, YAML", adminToken, table.FormatYAML, ""),
	)

	It("refuses an operator's edit of a foreign row", func(ctx SpecContext) {
		body, err := table.Encode(table.FormatJSON, recordedRevision, testRows())
		Expect(err).NotTo(HaveOccurred())
		response := call(ctx, http.MethodPut, tablePath, operatorToken, string(body), "If-Match", `"7"`)
		Expect(errorOf(response).ResultCode).To(Equal(int(result.Forbidden)))
		Expect(store.edits).To(BeEmpty())
	})

	It("lists every problem of a malformed table", func(ctx SpecContext) {
		response := call(ctx, http.MethodPut, tablePath, adminToken, `{"rows":[{"name":"a","kind":"x"},{"colour":"red"}]}`, "If-Match", "7")
		Expect(response.StatusCode).To(Equal(http.StatusUnprocessableEntity))
		var document api.ProblemsDocument
		Expect(json.NewDecoder(response.Body).Decode(&document)).To(Succeed())
		Expect(len(document.Problems)).To(BeNumerically(">", 5))
		Expect(document.Error.ResultCode).To(Equal(int(result.InvalidTable)))
	})

	DescribeTable("reports the outcome of a write", func(ctx SpecContext, err error, code result.Code, ran, within string) {
		store.err = err
		response := call(ctx, http.MethodPut, tablePath, adminToken, `{"rows":[]}`, "If-Match", `"7"`)
		body, readErr := io.ReadAll(response.Body)
		Expect(readErr).NotTo(HaveOccurred())
		var document api.ErrorDocument
		Expect(json.Unmarshal(body, &document)).To(Succeed())
		Expect(document.Error.ResultCode).To(Equal(int(code)))
		Expect(document.Error.Ran).To(Equal(ran))
		Expect(response.StatusCode).To(Equal(code.Status()))
		Expect(string(body)).To(ContainSubstring(within))
	},
		Entry("conflict", &api.TableConflictError{Current: 9, Conflicts: []table.Conflict{{Row: "a", Column: "weight", Base: "1", Mine: "2", Theirs: "3"}}},
			result.RevisionConflict, "no", `"conflicts":[{"row":"a","column":"weight","base":"1","mine":"2","theirs":"3"}]`),
		Entry("invalid", &table.InvalidError{Problems: []table.Problem{{Row: "a", Column: "base"}}}, result.InvalidTable, "no", `"column":"base"`),
		Entry("not applied", outside.ErrNotApplied, result.StoreUnavailable, "no", "nothing was changed"),
		Entry("ambiguous", outside.ErrAmbiguous, result.WriteAmbiguous, "unknown", "history"),
		Entry("a refusal", result.Refuse(result.NodeDraining, "stopping"), result.NodeDraining, "no", "stopping"),
		Entry("anything else", errors.New("a defect"), result.Internal, "unknown", "a defect"),
	)

	DescribeTable("refuses bad input", func(ctx SpecContext, method, path, body, ifMatch, contentType string, code result.Code) {
		headers := []string{"Content-Type", contentType}
		if ifMatch != "" {
			headers = append(headers, "If-Match", ifMatch)
		}
		response := call(ctx, method, path, adminToken, body, headers...)
		Expect(errorOf(response).ResultCode).To(Equal(int(code)))
		Expect(store.edits).To(BeEmpty())
	},
		Entry("no If-Match", http.MethodPut, tablePath, `{"rows":[]}`, "", "application/json", result.PreconditionMissing),
		Entry("If-Match for any revision", http.MethodPut, tablePath, `{"rows":[]}`, "*", "application/json", result.MalformedRequest),
		Entry("a negative revision", http.MethodPut, tablePath, `{"rows":[]}`, "-1", "application/json", result.MalformedRequest),
		Entry("an unknown content type", http.MethodPut, tablePath, `{"rows":[]}`, "7", "text/html", result.Unsupported),
		Entry("malformed JSON", http.MethodPut, tablePath, `{"rows":`, "7", "application/json", result.InvalidTable),
		Entry("an unknown format", http.MethodGet, tablePath+"?format=xml", "", "", "", result.MalformedRequest),
		Entry("a history limit above the maximum", http.MethodGet, historyPath+"?limit=1001", "", "", "", result.MalformedRequest),
		Entry("no revision", http.MethodGet, "/admin/v1/table/force", "", "", "", result.MalformedRequest),
	)

	It("limits history and status to the operator's tenant", func(ctx SpecContext) {
		Expect(call(ctx, http.MethodGet, historyPath, operatorToken, "").StatusCode).To(Equal(http.StatusOK))
		Expect(call(ctx, http.MethodGet, historyPath, adminToken, "").StatusCode).To(Equal(http.StatusOK))
		Expect(store.scopes).To(Equal([]string{attica, ""}))
		var status api.Status
		Expect(json.NewDecoder(call(ctx, http.MethodGet, statusPath, operatorToken, "").Body).Decode(&status)).To(Succeed())
		Expect(status.Rows).To(HaveLen(1))
		Expect(status.Rows[0].Row).To(Equal(ownModel))
	})

	It("is not ready while starting or draining", func(ctx SpecContext) {
		Expect(call(ctx, http.MethodGet, "/readyz", "", "").StatusCode).To(Equal(http.StatusOK))
		Expect(call(ctx, http.MethodPost, drainPath, adminToken, "").StatusCode).To(Equal(http.StatusAccepted))
		Expect(call(ctx, http.MethodGet, "/readyz", "", "").StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(call(ctx, http.MethodGet, "/healthz", "", "").StatusCode).To(Equal(http.StatusOK))
		node.draining = false
		config.Ready = func() error { return errors.New("no table yet") }
		server = startServer(config)
		body, err := io.ReadAll(call(ctx, http.MethodGet, "/readyz", "", "").Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(ContainSubstring("no table yet"))
	})

	It("closes the connection after each response while it drains", func(ctx SpecContext) {
		Expect(call(ctx, http.MethodGet, "/v1/models", callerToken, "").Close).To(BeFalse())
		node.draining = true
		Expect(call(ctx, http.MethodGet, "/v1/models", callerToken, "").Close).To(BeTrue())
		Expect(call(ctx, http.MethodPost, "/v1/chat/completions", callerToken, "{").Close).To(BeTrue())
	})

	It("refuses callers until it has been ready once", func(ctx SpecContext) {
		readiness := errors.New("no table yet")
		config.Ready = func() error { return readiness }
		server = startServer(config)
		refused := call(ctx, http.MethodGet, "/v1/models", callerToken, "")
		Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header.Get("X-Result-Code")).To(Equal("2010"))
		Expect(refused.Header.Get("X-Ran")).To(Equal("no"))
		Expect(call(ctx, http.MethodGet, statusPath, operatorToken, "").StatusCode).To(Equal(http.StatusOK))
		readiness = nil
		Expect(call(ctx, http.MethodGet, "/v1/models", callerToken, "").StatusCode).To(Equal(http.StatusOK))
		readiness = errors.New("the machine list is unavailable")
		Expect(call(ctx, http.MethodGet, "/v1/models", callerToken, "").StatusCode).To(Equal(http.StatusOK))
	})
})
