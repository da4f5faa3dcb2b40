package api_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/telemetry"
)

const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	chatBody       = `{"model":"dossier","messages":[{"role":"user","content":"hello"}]}`
	streamBody     = `{"model":"dossier","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	keyedBody      = `{"model":"confirmation","messages":[{"role":"user","content":"hello"}]}`
)

type badInput struct {
	method, path, body string
	headers            map[string]string
	token              string
	code               result.Code
}

func errorOf(response *http.Response) api.ErrorBody {
	var document api.ErrorDocument
	Expect(json.NewDecoder(response.Body).Decode(&document)).To(Succeed())
	return document.Error
}

var _ = Describe("callers' requests", func() {
	var service *fakeGateway
	var server *httptest.Server

	BeforeEach(func() {
		service = newFakeGateway()
		server = startServer(testConfig(service))
	})

	newRequest := func(ctx SpecContext, method, path, body string) *http.Request {
		request, err := http.NewRequestWithContext(ctx, method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		return request
	}

	DescribeTable("that can't be accepted get an error with a result code and never reach the gateway", func(ctx SpecContext, input badInput) {
		method := input.method
		if method == "" {
			method = http.MethodPost
		}
		request := newRequest(ctx, method, input.path, input.body)
		for name, value := range input.headers {
			request.Header.Set(name, value)
		}
		token := input.token
		if token == "" {
			token = callerToken
		}
		response := send(request, token)
		body := errorOf(response)
		Expect(body.ResultCode).To(Equal(int(input.code)), body.Message)
		Expect(body.Code).To(Equal(input.code.Name()))
		Expect(body.Ran).To(Equal("no"))
		Expect(body.RequestID).To(Equal(response.Header.Get("X-Request-Id")))
		Expect(response.StatusCode).To(Equal(input.code.Status()))
		Expect(response.Header.Get("X-Result-Code")).To(Equal(strconv.Itoa(int(input.code))))
		Expect(service.submitted()).To(BeEmpty())
	},
		Entry("malformed JSON", badInput{path: chatPath, body: `{"model":`, code: result.MalformedRequest}),
		Entry("JSON followed by more", badInput{path: chatPath, body: chatBody + "{}", code: result.MalformedRequest}),
		Entry("an empty body", badInput{path: chatPath, code: result.MalformedRequest}),
		Entry("a list", badInput{path: chatPath, body: `[]`, code: result.MalformedRequest}),
		Entry("null", badInput{path: chatPath, body: `null`, code: result.MalformedRequest}),
		Entry("bytes that are not UTF-8", badInput{path: chatPath, body: "{\"model\":\"\xff\"}", code: result.MalformedRequest}),
		Entry("a model that is a number", badInput{path: chatPath, body: `{"model":7}`, code: result.MalformedRequest}),
		Entry("no messages", badInput{path: chatPath, body: `{"model":"dossier"}`, code: result.MalformedRequest}),
		Entry("an empty list of messages", badInput{path: chatPath, body: `{"model":"dossier","messages":[]}`, code: result.MalformedRequest}),
		Entry("a message without role", badInput{path: chatPath, body: `{"model":"dossier","messages":[{}]}`, code: result.MalformedRequest}),
		Entry("no prompt", badInput{path: completionPath, body: `{"model":"dossier"}`, code: result.MalformedRequest}),
		Entry("a prompt that is an object", badInput{path: completionPath, body: `{"model":"dossier","prompt":{}}`, code: result.MalformedRequest}),
		Entry("several prompts", badInput{path: completionPath, body: `{"model":"dossier","prompt":["a","b"]}`, code: result.Unsupported}),
		Entry("deeply nested JSON", badInput{path: chatPath, body: strings.Repeat("[", 1800), code: result.MalformedRequest}),
		Entry("an oversized body", badInput{path: chatPath, body: strings.Repeat(" ", bodyLimit+1), code: result.BodyTooLarge}),
		Entry("a compressed body", badInput{path: chatPath, body: "x", headers: map[string]string{"Content-Encoding": "gzip"}, code: result.Unsupported}),
		Entry("oversized headers", badInput{path: chatPath, body: chatBody, headers: map[string]string{"X-Filler": strings.Repeat("x", headerLimit)}, code: result.HeadersTooLarge}),
		Entry("several choices", badInput{path: chatPath, body: `{"model":"dossier","n":2,"messages":[{"role":"user"}]}`, code: result.Unsupported}),
		Entry("tools", badInput{path: chatPath, body: `{"model":"dossier","tools":[{}],"messages":[{"role":"user"}]}`, code: result.Unsupported}),
		Entry("an unknown model", badInput{path: chatPath, body: strings.Replace(chatBody, "dossier", "nothing", 1), code: result.UnknownModel}),
		Entry("a foreign tenant's model", badInput{path: chatPath, body: chatBody, token: foreignToken, code: result.UnknownModel}),
		Entry("an administrator without tenant", badInput{path: chatPath, body: chatBody, token: adminToken, code: result.UnknownModel}),
		Entry("an unknown token", badInput{path: chatPath, body: chatBody, token: "guess", code: result.Unauthenticated}),
		Entry("a time limit that is a word", badInput{path: chatPath, body: chatBody, headers: map[string]string{"X-Time-Limit": "soon"}, code: result.BadDeadline}),
		Entry("a negative time limit", badInput{path: chatPath, body: chatBody, headers: map[string]string{"X-Time-Limit": "-1s"}, code: result.BadDeadline}),
		Entry("a time limit of zero", badInput{path: chatPath, body: chatBody, headers: map[string]string{"X-Time-Limit": "0"}, code: result.BadDeadline}),
		Entry("a time limit that is not a number", badInput{path: chatPath, body: chatBody, headers: map[string]string{"X-Time-Limit": "NaN"}, code: result.BadDeadline}),
		Entry("a time limit beyond any duration", badInput{path: chatPath, body: chatBody, headers: map[string]string{"X-Time-Limit": "1e300"}, code: result.BadDeadline}),
		Entry("a time limit above the row's", badInput{path: chatPath, body: chatBody, headers: map[string]string{"X-Time-Limit": "61"}, code: result.BadDeadline}),
		Entry("a priority above 9", badInput{path: chatPath, body: chatBody, headers: map[string]string{"X-Priority": "10"}, code: result.BadPriority}),
		Entry("a priority that is a word", badInput{path: chatPath, body: chatBody, headers: map[string]string{"X-Priority": "high"}, code: result.BadPriority}),
		Entry("a non-repeatable row without key", badInput{path: chatPath, body: keyedBody, code: result.KeyRequired}),
		Entry("a key that is too long", badInput{path: chatPath, body: keyedBody, headers: map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}, code: result.MalformedRequest}),
		Entry("a path that does not exist", badInput{path: "/v1/embeddings", body: chatBody, code: result.UnknownPath}),
		Entry("a method that does not exist", badInput{method: http.MethodGet, path: chatPath, code: result.UnknownPath}),
		Entry("an unknown pool", badInput{path: "/v1/backends/nothing/enrol", code: result.UnknownPool}),
		Entry("a pool without key", badInput{path: "/v1/backends/eggrafi/enrol", code: result.KeyRequired}),
		Entry("a foreign tenant's pool", badInput{path: "/v1/backends/eggrafi/enrol", token: foreignToken, code: result.Forbidden}),
		Entry("a path of a pool that is not allowed", badInput{path: "/v1/backends/eggrafi/control/faults", code: result.Forbidden}),
		Entry("a path whose first segment only begins with an allowed one", badInput{path: "/v1/backends/eggrafi/enrolment", code: result.Forbidden}),
		Entry("a path with a dot segment", badInput{path: "/v1/backends/eggrafi/enrol/../control", code: result.MalformedRequest}),
		Entry("a path with an encoded dot segment", badInput{path: "/v1/backends/eggrafi/enrol/%2e%2e/control", code: result.MalformedRequest}),
		Entry("a path with a dot segment between encoded slashes", badInput{path: "/v1/backends/eggrafi/enrol%2f..%2fcontrol", code: result.MalformedRequest}),
	)

	It("refuses a body without length that grows beyond the limit", func(ctx SpecContext) {
		request := newRequest(ctx, http.MethodPost, chatPath, "")
		request.Body = io.NopCloser(io.LimitReader(endless{}, 10*bodyLimit))
		request.ContentLength = -1
		Expect(errorOf(send(request, callerToken)).ResultCode).To(Equal(int(result.BodyTooLarge)))
	})

	It("refuses bodies beyond the budget of the node and releases the budget", func(ctx SpecContext) {
		config := testConfig(service)
		config.Limits.TotalBodyBytes = int64(len(chatBody))
		server = startServer(config)
		for range 3 {
			Expect(send(newRequest(ctx, http.MethodPost, chatPath, chatBody), callerToken).StatusCode).To(Equal(http.StatusOK))
		}
		response := send(newRequest(ctx, http.MethodPost, chatPath, streamBody), callerToken)
		Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		Expect(errorOf(response).ResultCode).To(Equal(int(result.QueueFull)))
	})

	It("passes the options in headers to the gateway and keeps the caller's ID as a prefix", func(ctx SpecContext) {
		request := newRequest(ctx, http.MethodPost, chatPath, keyedBody)
		request.Header.Set("X-Time-Limit", "2.5")
		request.Header.Set("X-Priority", "9")
		request.Header.Set("Idempotency-Key", "seat-17")
		request.Header.Set("X-Request-Id", "parent-4")
		response := send(request, callerToken)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		submitted := service.submitted()[0]
		Expect(submitted.Deadline.Sub(submitted.Accepted)).To(Equal(2500 * time.Millisecond))
		Expect(submitted.Priority).To(Equal(9))
		Expect(submitted.Key).To(Equal("seat-17"))
		Expect(submitted.Repeatable).To(BeFalse())
		Expect(submitted.ID).To(HavePrefix("parent-4."))
		Expect(response.Header.Get("X-Request-Id")).To(Equal(submitted.ID))
	})

	It("passes a pool's request and response through", func(ctx SpecContext) {
		service.serve = func(_ gateway.Request, responder gateway.Responder, _ <-chan struct{}) {
			responder.Finish(gateway.Answer{Replayed: true, Response: outside.BackEndResponse{
				Status: http.StatusCreated, ContentType: "text/plain", Body: []byte("seat 4"),
			}})
		}
		request := newRequest(ctx, http.MethodPut, "/v1/backends/eggrafi/enrol/a%2Fb//c?seat=4", "<xml/>")
		request.Header.Set("Content-Type", "application/xml")
		request.Header.Set("Idempotency-Key", "seat-4")
		response := send(request, callerToken)
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("seat 4"))
		Expect(response.StatusCode).To(Equal(http.StatusCreated))
		Expect(response.Header.Get("Content-Type")).To(Equal("text/plain"))
		Expect(response.Header.Get("X-Replayed")).To(Equal("true"))
		submitted := service.submitted()[0]
		Expect(submitted.Pool).To(Equal("eggrafi"))
		Expect(submitted.Method).To(Equal(http.MethodPut))
		Expect(submitted.Path).To(Equal("/enrol/a%2Fb//c?seat=4"))
		Expect(submitted.ContentType).To(Equal("application/xml"))
		Expect(string(submitted.Body)).To(Equal("<xml/>"))
	})

	It("answers a panic with 5001 and keeps serving", func(ctx SpecContext) {
		panics := true
		config := testConfig(panickingGateway{service: service, panics: &panics})
		server = startServer(config)
		body := errorOf(send(newRequest(ctx, http.MethodPost, chatPath, chatBody), callerToken))
		Expect(body.ResultCode).To(Equal(int(result.Internal)))
		Expect(body.Ran).To(Equal("unknown"))
		panics = false
		Expect(send(newRequest(ctx, http.MethodPost, chatPath, chatBody), callerToken).StatusCode).To(Equal(http.StatusOK))
	})

	DescribeTable("whose callers disconnect are cancelled", func(ctx SpecContext, body string) {
		arrived := make(chan struct{})
		service.serve = func(_ gateway.Request, responder gateway.Responder, cancelled <-chan struct{}) {
			close(arrived)
			<-cancelled
			responder.Refuse(result.Refuse(result.CallerGone, "cancelled"))
		}
		connection, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		request := newRequest(ctx, http.MethodPost, chatPath, body)
		request.Header.Set("Authorization", "Bearer "+callerToken)
		Expect(request.Write(connection)).To(Succeed())
		Eventually(ctx, arrived).Should(BeClosed())
		Expect(connection.Close()).To(Succeed())
		Eventually(ctx, service.cancelled).Should(Receive())
	},
		Entry("while a whole answer is awaited", chatBody),
		Entry("while a stream is awaited", streamBody),
	)

	It("cuts off a caller that does not read its stream and cancels the request", func(ctx SpecContext) {
		started, stopped := make(chan struct{}), make(chan struct{})
		service.serve = func(_ gateway.Request, responder gateway.Responder, cancelled <-chan struct{}) {
			defer close(stopped)
			text := strings.Repeat("x", 1<<10)
			responder.Chunk(outside.Chunk{Index: 0, Text: text})
			<-started
			for index := 1; ; index++ {
				select {
				case <-cancelled:
					responder.Refuse(result.Refuse(result.CallerGone, "cancelled"))
					return
				default:
					responder.Chunk(outside.Chunk{Index: index, Text: text})
				}
			}
		}
		config := testConfig(service)
		config.Metrics = telemetry.NewMetrics()
		server = startServer(config)
		connection, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		request := newRequest(ctx, http.MethodPost, chatPath, streamBody)
		request.Header.Set("Authorization", "Bearer "+callerToken)
		Expect(request.Write(connection)).To(Succeed())
		status := make([]byte, len("HTTP/1.1 200"))
		_, err = io.ReadFull(connection, status)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(status)).To(Equal("HTTP/1.1 200"))
		close(started)
		Eventually(ctx, service.cancelled).Should(Receive())
		Eventually(ctx, stopped).Should(BeClosed())
		remaining, _ := io.ReadAll(connection)
		Expect(string(remaining)).NotTo(ContainSubstring("[DONE]"))
		Expect(string(remaining)).NotTo(HaveSuffix("\r\n0\r\n\r\n"))
		Eventually(ctx, func() string { return gatherText(config.Metrics) }).Should(
			ContainSubstring(`hatchplank_http_requests_total{code="caller_too_slow",path="/v1/chat/completions"} 1`))
	}, SpecTimeout(time.Minute))
})

// endless is a reader of spaces without end.
type endless struct{}

func (endless) Read(buffer []byte) (int, error) {
	for index := range buffer {
		buffer[index] = ' '
	}
	return len(buffer), nil
}

// panickingGateway panics in Submit while panics is true.
type panickingGateway struct {
	service gateway.Service
	panics  *bool
}

func (f panickingGateway) Submit(request gateway.Request, responder gateway.Responder) func() {
	if *f.panics {
		panic("a defect")
	}
	return f.service.Submit(request, responder)
}
