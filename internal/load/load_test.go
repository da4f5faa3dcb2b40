package load_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/load"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/backend"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/table"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Load Suite")
}

const testToken = "secret"

// scriptedGateway answers as the stand-ins do, unless told otherwise.
type scriptedGateway struct {
	// refuse returns a refusal or nil, given how often the key was seen here.
	refuse func(request gateway.Request) *result.Refusal
	spoil  func(text string) string

	mutex sync.Mutex
	keys  map[string]int
}

func (g *scriptedGateway) Submit(request gateway.Request, responder gateway.Responder) func() {
	g.mutex.Lock()
	g.keys[request.Key]++
	g.mutex.Unlock()
	go g.answer(request, responder)
	return func() {}
}

func (g *scriptedGateway) answer(request gateway.Request, responder gateway.Responder) {
	if g.refuse != nil {
		if refusal := g.refuse(request); refusal != nil {
			responder.Refuse(*refusal)
			return
		}
	}
	if request.Pool != "" {
		body := g.spoiled(string(backend.ExpectedBody(request.Body)))
		responder.Finish(gateway.Answer{Response: outside.BackEndResponse{Status: http.StatusOK, Body: []byte(body)}})
		return
	}
	chunks := engine.ExpectedChunks(request.Path, request.Body)
	for index := range chunks {
		responder.Chunk(outside.Chunk{Index: index, Text: g.spoiled(engine.ExpectedChunk(request.Body, index))})
	}
	responder.Finish(gateway.Answer{End: outside.GenerateEnd{Chunks: chunks}})
}

func (g *scriptedGateway) spoiled(text string) string {
	if g.spoil == nil {
		return text
	}
	return g.spoil(text)
}

func startNode(service gateway.Service) string {
	keyring, err := auth.NewKeyring([]auth.Credential{{SHA256: auth.HashToken(testToken), Tenant: "t", Role: auth.RoleCaller}})
	Expect(err).NotTo(HaveOccurred())
	row := table.Row{Name: "m", Tenant: "t", Repeatable: true}
	server := httptest.NewServer(api.New(api.Config{
		Gateway: service,
		Table:   table.NewSnapshot(1, []table.Row{row}),
		Keyring: keyring,
		Pools:   map[string]api.Pool{"p": {}},
	}))
	DeferCleanup(server.Close)
	return server.URL
}

func testOptions(nodes ...string) load.Options {
	return load.Options{
		Nodes: nodes, Token: testToken, Rate: 2000, Duration: time.Minute, Seed: 7, TimeLimit: 30 * time.Second, PoolTimeLimit: 10 * time.Second,
		MaxRequests: 200, MaxInFlight: 1000, MaxTries: 4,
		Workload: load.Workload{
			Models: []load.ModelShare{{Name: "m"}}, Pools: []load.PoolShare{{Name: "p", Path: "/enrol"}}, NonRepeatable: 0.3, Streamed: 0.5,
		},
	}
}

var _ = Describe("a run", func() {
	var service *scriptedGateway

	BeforeEach(func() { service = &scriptedGateway{keys: map[string]int{}} })

	It("finds nothing wrong with right answers and ends in one line of JSON", func(ctx SpecContext) {
		report, err := load.Run(ctx, testOptions(startNode(service)))
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Served).To(Equal(200))
		Expect(report.Faultless()).To(BeTrue(), fmt.Sprintf("%+v", report))
		Expect(len(service.keys)).To(BeNumerically(">", 30))
		var output bytes.Buffer
		Expect(report.Write(&output)).To(Succeed())
		lines := bytes.Split(bytes.TrimSpace(output.Bytes()), []byte("\n"))
		var last load.Report
		Expect(json.Unmarshal(lines[len(lines)-1], &last)).To(Succeed())
		Expect(last).To(Equal(report))
	})

	It("counts answers that are not the right ones", func(ctx SpecContext) {
		service.spoil = func(text string) string { return text + "x" }
		report, err := load.Run(ctx, testOptions(startNode(service)))
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Mismatched).To(Equal(200))
		Expect(report.Faultless()).To(BeFalse())
	})

	It("counts refusals by code and repeats none that would not help", func(ctx SpecContext) {
		service.refuse = func(gateway.Request) *result.Refusal {
			refusal := result.Refuse(result.QueueFull, "full")
			return &refusal
		}
		report, err := load.Run(ctx, testOptions(startNode(service)))
		Expect(err).NotTo(HaveOccurred())
		Expect(report.RefusedByCode).To(Equal(map[string]int{"queue_full": 200}))
		Expect(report.RefusedByRan).To(Equal(map[string]int{"no": 200}))
		Expect(report.Repeated).To(BeZero())
	})

	It("repeats non-repeatable requests at the other node with the same key", func(ctx SpecContext) {
		failing := &scriptedGateway{keys: map[string]int{}, refuse: func(request gateway.Request) *result.Refusal {
			if request.Key == "" {
				return nil
			}
			return &result.Refusal{Code: result.OutcomeUnknown, Ran: result.RanUnknown}
		}}
		report, err := load.Run(ctx, testOptions(startNode(failing), startNode(service)))
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Served).To(Equal(200))
		Expect(report.Repeated).To(BeNumerically(">", 0))
		for key := range failing.keys {
			Expect(service.keys).To(HaveKey(key))
		}
	})

	It("sends requests that one node did not take to the other", func(ctx SpecContext) {
		draining := &scriptedGateway{keys: map[string]int{}, refuse: func(gateway.Request) *result.Refusal {
			refusal := result.Refuse(result.NodeDraining, "stopping")
			return &refusal
		}}
		dead := httptest.NewServer(http.NotFoundHandler())
		dead.Close()
		report, err := load.Run(ctx, testOptions(startNode(draining), dead.URL, startNode(service)))
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Served).To(Equal(200))
		Expect(report.Faultless()).To(BeTrue(), fmt.Sprintf("%+v", report))
	})

	It("counts cut-off answers and dead nodes as unanswered", func(ctx SpecContext) {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte("data: {\"choices\":[]}\n\n"))
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}))
		DeferCleanup(server.Close)
		options := testOptions(server.URL)
		options.Workload.NonRepeatable = 0
		report, err := load.Run(ctx, options)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.UnansweredByReason).To(Equal(map[string]int{"cut_off": 200}))
		server.Close()
		report, err = load.Run(ctx, options)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.UnansweredByReason).To(Equal(map[string]int{"not_connected": 200}))
	})
})

var _ = DescribeTable("targets that are refused", func(target string) {
	Expect(load.CheckTarget(target)).NotTo(Succeed())
},
	Entry("another machine", "http://192.0.2.7:8080"),
	Entry("every address", "http://0.0.0.0:8080"),
	Entry("a name", "http://localhost:8080"),
	Entry("a name that looks like an address", "http://127.0.0.1.example.org"),
	Entry("an address behind a user", "http://127.0.0.1@example.org"),
	Entry("another scheme", "ftp://127.0.0.1"),
	Entry("no host", "http://"),
	Entry("no URL", "127.0.0.1:8080"),
)

var _ = DescribeTable("targets that are accepted", func(target string) {
	Expect(load.CheckTarget(target)).To(Succeed())
}, Entry("IPv4", "http://127.0.0.1:8080"), Entry("IPv6", "https://[::1]:8443"))

var _ = DescribeTable("workloads that are refused", func(content string) {
	_, err := load.DecodeWorkload([]byte(content))
	Expect(err).To(HaveOccurred())
},
	Entry("nothing", ""),
	Entry("an unknown key", "models: [{name: m, colour: red}]"),
	Entry("a share above 1", "models: [{name: m}]\nstreamed: 2"),
	Entry("non-repeatable without pool", "models: [{name: m}]\nnon_repeatable: 0.5"),
	Entry("a negative weight", "models: [{name: m, weight: -1}]"),
	Entry("a path without slash", "pools: [{name: p, path: enrol}]\nnon_repeatable: 1"),
)
