package httpapi_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/result"
)

func TestHTTPAPI(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "HTTP clients")
}

// collector is a sink that records the calls it receives.
type collector struct {
	texts []string
	end   *outside.GenerateEnd
	err   *outside.AttemptError
	ended sync.WaitGroup
}

func (c *collector) Chunk(chunk outside.Chunk) { c.texts = append(c.texts, chunk.Text) }

func (c *collector) End(end outside.GenerateEnd) {
	c.end = &end
	c.ended.Done()
}

func (c *collector) Failed(err *outside.AttemptError) {
	c.err = err
	c.ended.Done()
}

// generate runs one attempt against a server with the handler and waits for its end.
func generate(handler http.HandlerFunc, options httpapi.Options) *collector {
	listener := httptest.NewServer(handler)
	defer listener.Close()
	client := httpapi.NewEngines(func(outside.ServerID) (string, bool) {
		return listener.Listener.Addr().String(), true
	}, options)
	defer client.Close()
	sink := &collector{}
	sink.ended.Add(1)
	client.Generate(outside.GenerateRequest{
		Attempt: "a1", Path: httpapi.PathCompletions, Body: []byte(`{}`), Deadline: time.Now().Add(time.Minute),
	}, sink)
	sink.ended.Wait()
	return sink
}

// chunkFrame returns the frame of the chunk with the index.
func chunkFrame(index int) string {
	return fmt.Sprintf(`data: {"choices":[{"text":"t%d"}],"chunk_index":%d}`+"\n\n", index, index)
}

const (
	endOfTwo  = `data: {"choices":[{"text":"","finish_reason":"stop"}],"chunk_count":2}` + "\n\n"
	doneFrame = "data: [DONE]\n\n"
)

// respondWith returns a handler that always sends the same response.
func respondWith(status int, header map[string]string, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		for name, value := range header {
			writer.Header().Set(name, value)
		}
		writer.WriteHeader(status)
		fmt.Fprint(writer, body)
	}
}

var problemHeader = map[string]string{"Content-Type": httpapi.MediaProblem}

// problemOf returns the headers of a problem document that names an attempt.
func problemOf(attempt string) map[string]string {
	return map[string]string{"Content-Type": httpapi.MediaProblem, httpapi.HeaderAttempt: attempt}
}

var _ = ginkgo.DescribeTable("a stream",
	func(body string, texts []string, reason string) {
		sink := generate(respondWith(http.StatusOK, nil, body), httpapi.Options{MaxFrameBytes: 1024})
		gomega.Expect(sink.texts).To(gomega.Equal(texts))
		if reason == "" {
			gomega.Expect(sink.err).To(gomega.BeNil())
			gomega.Expect(sink.end.FinishReason).To(gomega.Equal("stop"))
			return
		}
		gomega.Expect(sink.end).To(gomega.BeNil())
		gomega.Expect(sink.err.Reason).To(gomega.Equal(reason))
		gomega.Expect(sink.err.Ran).To(gomega.Equal(result.RanUnknown))
	},
	ginkgo.Entry("that is complete", chunkFrame(0)+chunkFrame(1)+endOfTwo+doneFrame, []string{"t0", "t1"}, ""),
	ginkgo.Entry("with comments", ": ping\n\n"+chunkFrame(0)+": ping\n\n"+chunkFrame(1)+endOfTwo+doneFrame, []string{"t0", "t1"}, ""),
	ginkgo.Entry("with a repeated chunk", chunkFrame(0)+chunkFrame(0)+chunkFrame(1)+endOfTwo+doneFrame, []string{"t0", "t1"}, ""),
	ginkgo.Entry("without its first chunk", chunkFrame(1)+endOfTwo+doneFrame, nil, "truncated"),
	ginkgo.Entry("without a chunk between", chunkFrame(0)+chunkFrame(2), []string{"t0"}, "truncated"),
	ginkgo.Entry("without its last chunk", chunkFrame(0)+endOfTwo+doneFrame, []string{"t0"}, "truncated"),
	ginkgo.Entry("without its end", chunkFrame(0)+chunkFrame(1), []string{"t0", "t1"}, "truncated"),
	ginkgo.Entry("without its end but done", chunkFrame(0)+chunkFrame(1)+doneFrame, []string{"t0", "t1"}, "truncated"),
	ginkgo.Entry("without the done marker", chunkFrame(0)+chunkFrame(1)+endOfTwo, []string{"t0", "t1"}, "truncated"),
	ginkgo.Entry("that is empty", "", nil, "truncated"),
	ginkgo.Entry("cut inside a frame", chunkFrame(0)+`data: {"choi`, []string{"t0"}, "truncated"),
	ginkgo.Entry("with a frame that is not JSON", chunkFrame(0)+"data: {\n\n", []string{"t0"}, "failed"),
	ginkgo.Entry("with a frame over the limit", "data: "+strings.Repeat("x", 2000)+"\n\n", nil, "failed"),
	ginkgo.Entry("that ends with a problem", chunkFrame(0)+`data: {"choices":[],"problem":{"ran":"unknown","reason":"failed"}}`+"\n\n", []string{"t0"}, "failed"),
)

var _ = ginkgo.DescribeTable("a response that is not a stream",
	func(status int, header map[string]string, body string, ran result.Ran, reason string) {
		sink := generate(respondWith(status, header, body), httpapi.Options{})
		gomega.Expect(sink.err.Ran).To(gomega.Equal(ran))
		gomega.Expect(sink.err.Reason).To(gomega.Equal(reason))
	},
	ginkgo.Entry("a refusal", 503, problemOf("a1"), `{"ran":"no","reason":"busy"}`, result.RanNo, "busy"),
	ginkgo.Entry("a refusal of another attempt", 503, problemOf("a2"), `{"ran":"no","reason":"busy"}`, result.RanUnknown, "failed"),
	// Guards against a surplus response of a server that names no attempt: it counted as proof for another one.
	ginkgo.Entry("a refusal of an attempt that it does not name", 503, problemHeader, `{"ran":"no","reason":"busy"}`, result.RanUnknown, "busy"),
	ginkgo.Entry("a failure after a run", 500, problemHeader, `{"ran":"yes","reason":"failed"}`, result.RanYes, "failed"),
	ginkgo.Entry("a problem without the ran field", 503, problemHeader, `{}`, result.RanUnknown, ""),
	ginkgo.Entry("a problem cut short", 503, problemHeader, `{"ran":"no","reason":"bu`, result.RanUnknown, "failed"),
	ginkgo.Entry("a body that only looks like a refusal", 503, nil, `{"ran":"no"}`, result.RanUnknown, "failed"),
	ginkgo.Entry("a redirection", 302, map[string]string{"Location": "/"}, "", result.RanUnknown, "failed"),
	ginkgo.Entry("the response to another attempt", 200, map[string]string{httpapi.HeaderAttempt: "a2"},
		chunkFrame(0)+chunkFrame(1)+endOfTwo+doneFrame, result.RanUnknown, "failed"),
)

var _ = ginkgo.It("ends a stream that is idle for longer than the timeout", func() {
	sink := generate(func(writer http.ResponseWriter, request *http.Request) {
		fmt.Fprint(writer, chunkFrame(0))
		_ = http.NewResponseController(writer).Flush()
		<-request.Context().Done()
	}, httpapi.Options{IdleStreamTimeout: 20 * time.Millisecond})
	gomega.Expect(sink.err.Reason).To(gomega.Equal("timeout"))
	gomega.Expect(sink.err.Ran).To(gomega.Equal(result.RanUnknown))
})

var _ = ginkgo.DescribeTable("StreamingBody",
	func(body, streaming string) {
		changed, err := httpapi.StreamingBody([]byte(body))
		if streaming == "" {
			gomega.Expect(err).To(gomega.HaveOccurred())
			return
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(changed)).To(gomega.Equal(streaming))
	},
	ginkgo.Entry("leaves a streaming body as it is", `{ "stream":true }`, `{ "stream":true }`),
	ginkgo.Entry("sets a missing field", `{"n":1e400}`, `{"n":1e400,"stream":true}`),
	ginkgo.Entry("replaces false", `{"stream":false}`, `{"stream":true}`),
	ginkgo.Entry("refuses a list", `[]`, ""),
	ginkgo.Entry("refuses null", `null`, ""),
)

var _ = ginkgo.It("never reports an attempt that reached the server as not run, however short its deadline", func() {
	var received sync.Map
	listener := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		received.Store(request.Header.Get(httpapi.HeaderAttempt), true)
	}))
	client := httpapi.NewBackEnds(func(outside.ServerID) (string, bool) {
		return listener.Listener.Addr().String(), true
	}, httpapi.Options{IdleConnectionsPerServer: 4})
	const attempts = 2000
	var ended sync.WaitGroup
	var notRun sync.Map
	for number := range attempts {
		ended.Add(1)
		// Some deadlines pass before the connection is established, some during the write.
		limit := time.Duration(number%200) * 20 * time.Microsecond
		client.Call(outside.BackEndRequest{
			Attempt: outside.AttemptID(fmt.Sprint(number)), Key: "key", Method: http.MethodPost, Path: "/",
			Body: []byte("body"), Deadline: time.Now().Add(limit),
		}, func(_ outside.BackEndResponse, err error) {
			defer ended.Done()
			var failure *outside.AttemptError
			if errors.As(err, &failure) && failure.Ran == result.RanNo {
				notRun.Store(string(failure.Attempt), true)
			}
		})
	}
	ended.Wait()
	listener.Close()
	client.Close()
	proved := 0
	notRun.Range(func(attempt, _ any) bool {
		proved++
		_, reached := received.Load(attempt)
		gomega.Expect(reached).To(gomega.BeFalse(), "attempt %v", attempt)
		return true
	})
	gomega.Expect(proved).To(gomega.BeNumerically(">", 0))
})

var _ = ginkgo.DescribeTable("a state is refused only if invalid:",
	func(state string, refused bool) {
		listener := httptest.NewServer(respondWith(http.StatusOK, nil, state))
		defer listener.Close()
		client := httpapi.NewEngines(func(outside.ServerID) (string, bool) {
			return listener.Listener.Addr().String(), true
		}, httpapi.Options{})
		defer client.Close()
		failures := make(chan error, 1)
		client.State("server", 0, time.Minute, func(_ *outside.EngineState, err error) { failures <- err })
		err := <-failures
		gomega.Expect(errors.Is(err, outside.ErrServerUnreachable)).To(gomega.Equal(refused))
	},
	ginkgo.Entry("only valid values", `{"Replicas":[{"Phase":3,"Source":2}],"Cached":[{"Source":0}]}`, false),
	ginkgo.Entry("an unknown phase", `{"Replicas":[{"Phase":4}]}`, true),
	ginkgo.Entry("an unknown adapter phase", `{"Replicas":[{"Adapters":[{"Phase":9}]}]}`, true),
	ginkgo.Entry("an unknown source", `{"Cached":[{"Source":3}]}`, true),
	ginkgo.Entry("a truncated document", `{"Replicas":[`, true),
)

// BenchmarkRelay measures the transfer of one chunk from a server to the sink.
func BenchmarkRelay(b *testing.B) {
	var body strings.Builder
	for index := range b.N {
		fmt.Fprintf(&body, "id: %d\ndata: "+`{"id":"0197f6a2-5f0f-7d3c-a6f1-3c1c4f0e9d11","object":"chat.completion.chunk","model":"dossier-reader",`+
			`"choices":[{"index":0,"delta":{"content":" token"},"finish_reason":null}],"chunk_index":%d,"chunk_tokens":1}`+"\n\n", index, index)
	}
	fmt.Fprintf(&body, `data: {"choices":[{"finish_reason":"stop"}],"chunk_count":%d}`+"\n\n%s", b.N, doneFrame)
	content := body.String()
	b.ReportAllocs()
	b.ResetTimer()
	sink := generate(respondWith(http.StatusOK, nil, content), httpapi.Options{})
	if sink.err != nil || len(sink.texts) != b.N {
		b.Fatal(sink.err, len(sink.texts))
	}
}

var _ = ginkgo.It("reports an attempt as possibly run if its pooled connection broke after its bytes were written", func() {
	received := 0
	listener := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		received++
		if received == 1 {
			fmt.Fprint(writer, "{}")
			return
		}
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	}))
	defer listener.Close()
	client := httpapi.NewBackEnds(func(outside.ServerID) (string, bool) {
		return listener.Listener.Addr().String(), true
	}, httpapi.Options{})
	defer client.Close()
	outcomes := make(chan error, 1)
	for number := range 2 {
		client.Call(outside.BackEndRequest{
			Attempt: outside.AttemptID(fmt.Sprint(number)), Method: http.MethodPost, Path: "/",
			Body: []byte("{}"), Deadline: time.Now().Add(time.Minute),
		}, func(_ outside.BackEndResponse, err error) { outcomes <- err })
		err := <-outcomes
		if number == 0 {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			continue
		}
		var failure *outside.AttemptError
		gomega.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		gomega.Expect(failure.Ran).To(gomega.Equal(result.RanUnknown))
	}
	gomega.Expect(received).To(gomega.Equal(2))
})
