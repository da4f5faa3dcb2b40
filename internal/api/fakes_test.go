package api_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

const (
	callerToken        = "caller-of-attica"
	operatorToken      = "operator-of-attica"
	adminToken         = "administrator"
	foreignToken       = "caller-of-ionia"
	foreignOperator    = "operator-of-ionia"
	ownModel           = "dossier"
	confirmationModel  = "confirmation"
	foreignModel       = "ionia-letters"
	bodyLimit          = 2048
	headerLimit        = 4096
	modelTimeLimit     = time.Minute
	attica             = "attica"
	ionia              = "ionia"
	recordedRevision   = 7
	streamBufferLimit  = 32 << 10
	defaultRowPriority = 4
)

// fakeGateway runs serve for each request in a new goroutine.
type fakeGateway struct {
	serve func(request gateway.Request, responder gateway.Responder, cancelled <-chan struct{})

	mutex     sync.Mutex
	requests  []gateway.Request
	cancelled chan struct{}
}

func (g *fakeGateway) Submit(request gateway.Request, responder gateway.Responder) func() {
	g.mutex.Lock()
	g.requests = append(g.requests, request)
	g.mutex.Unlock()
	cancelled := make(chan struct{})
	go g.serve(request, responder, cancelled)
	var once sync.Once
	return func() {
		once.Do(func() {
			close(cancelled)
			g.cancelled <- struct{}{}
		})
	}
}

func (g *fakeGateway) submitted() []gateway.Request {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.requests
}

// answering returns a serve function that answers every request with the given chunks.
func answering(pieces ...string) func(gateway.Request, gateway.Responder, <-chan struct{}) {
	return func(_ gateway.Request, responder gateway.Responder, _ <-chan struct{}) {
		for index, piece := range pieces {
			responder.Chunk(outside.Chunk{Index: index, Text: piece, Tokens: 1})
		}
		responder.Finish(gateway.Answer{End: outside.GenerateEnd{
			Chunks:       len(pieces),
			FinishReason: "stop",
			Usage:        outside.Usage{PromptTokens: 3, CompletionTokens: len(pieces)},
		}})
	}
}

func testRows() []table.Row {
	row := table.Row{
		Kind: table.KindModel, Version: "1", WeightBytes: 1 << 30, Tenant: attica, Weight: 1,
		Priority: defaultRowPriority, MaxReplicas: 2, MemoryBytes: 2 << 30, TimeLimit: modelTimeLimit, Repeatable: true,
	}
	own, confirmation, foreign := row, row, row
	own.Name = ownModel
	confirmation.Name = confirmationModel
	confirmation.Repeatable = false
	foreign.Name = foreignModel
	foreign.Tenant = ionia
	return []table.Row{own, confirmation, foreign}
}

func testKeyring() *auth.Keyring {
	keyring, err := auth.NewKeyring([]auth.Credential{
		{SHA256: auth.HashToken(callerToken), Tenant: attica, Role: auth.RoleCaller},
		{SHA256: auth.HashToken(operatorToken), Tenant: attica, Role: auth.RoleOperator},
		{SHA256: auth.HashToken(foreignToken), Tenant: ionia, Role: auth.RoleCaller},
		{SHA256: auth.HashToken(foreignOperator), Tenant: ionia, Role: auth.RoleOperator},
		{SHA256: auth.HashToken(adminToken), Role: auth.RoleAdmin},
	})
	Expect(err).NotTo(HaveOccurred())
	return keyring
}

func testConfig(service gateway.Service) api.Config {
	return api.Config{
		Gateway: service,
		Table:   table.NewSnapshot(recordedRevision, testRows()),
		Keyring: testKeyring(),
		Pools: map[string]api.Pool{
			"eggrafi": {Tenants: []string{attica}, PathPrefixes: []string{"/enrol"}, TimeLimit: modelTimeLimit},
		},
		Limits: api.Limits{BodyBytes: bodyLimit, HeaderBytes: headerLimit, StreamBufferBytes: streamBufferLimit},
	}
}

func startServer(config api.Config) *httptest.Server {
	server := httptest.NewUnstartedServer(nil)
	server.Config = api.NewServer(api.New(config), config.Limits)
	server.Start()
	DeferCleanup(server.Close)
	return server
}

func newFakeGateway() *fakeGateway {
	return &fakeGateway{serve: answering("Kali", "mera"), cancelled: make(chan struct{}, 16)}
}

func send(request *http.Request, token string) *http.Response {
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(response.Body.Close)
	return response
}
