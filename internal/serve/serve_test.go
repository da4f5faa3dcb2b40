package serve_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	openai "github.com/sashabaranov/go-openai"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/serve"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/standin/suite"
)

const testModel = "saronikos-reply-english-8b"

func question(tokens int) openai.ChatCompletionRequest {
	return openai.ChatCompletionRequest{
		//lint:ignore SA1019 the stand-in engine reads the older name
		Model: testModel, MaxTokens: tokens,
		Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "May we visit the school?"}},
	}
}

// expectedText is what the stand-in engine says to a request's body.
func expectedText(request openai.ChatCompletionRequest) string {
	GinkgoHelper()
	body, err := json.Marshal(request)
	Expect(err).NotTo(HaveOccurred())
	return engine.ExpectedText("/v1/chat/completions", body)
}

// readRest reads a stream to its end.
func readRest(stream *openai.ChatCompletionStream) (string, error) {
	var text strings.Builder
	for {
		event, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
}

var _ = Describe("nodes as processes", func() {
	It("load a cold model, and cut off nothing when one of them stops", func(ctx SpecContext) {
		platform := startPlatform()
		first := startNode(settingsFor(platform, "first", "marousi"))
		second := startNode(settingsFor(platform, "second", "piraeus"))
		first.applyTable(ctx)

		By("answering at the node that did not take the table")
		callable := func() error {
			_, err := second.client().CreateChatCompletion(ctx, question(4))
			return err
		}
		Eventually(callable, patience).Should(Succeed())

		By("streaming while the node stops")
		request := question(200)
		request.Stream = true
		stream, err := first.client().CreateChatCompletionStream(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		opening, err := stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		first.stop()
		Eventually(refusalCode, patience).WithArguments(ctx, first).Should(Equal(result.NodeDraining.Name()))
		Expect(first.readiness()).To(Equal(http.StatusServiceUnavailable))
		rest, err := readRest(stream)
		Expect(err).NotTo(HaveOccurred())
		Expect(opening.Choices[0].Delta.Content + rest).To(Equal(expectedText(request)))
		Eventually(first.stopped, patience).Should(Receive(BeNil()))

		By("serving on at the other node")
		Expect(callable()).To(Succeed())
		second.stop()
		Eventually(second.stopped, patience).Should(Receive(BeNil()))
	})

	// Guards against a keyed request that runs again at the node which took over the claims.
	It("keep the claims when the last of them stops, though the key-value service is out for a while", func(ctx SpecContext) {
		platform := startPlatform()
		showRuns(platform)
		last := startNode(settingsFor(platform, "last", "marousi"))
		Eventually(last.confirm, patience).WithArguments(ctx).Should(Equal(http.StatusOK))
		Expect(runs(platform)).To(Equal(1), "before the planned stop")
		setKeyValueFaults(ctx, platform, `{"outage":true}`)
		last.stop()
		Eventually(last.readiness, patience).ShouldNot(Equal(http.StatusOK))
		setKeyValueFaults(ctx, platform, `{}`)
		Eventually(last.stopped, patience).Should(Receive(BeNil()))
		Expect(runs(platform)).To(Equal(1), "after the planned stop")

		next := startNode(settingsFor(platform, "next", "piraeus"))
		Eventually(next.confirm, patience).WithArguments(ctx).Should(Or(Equal(http.StatusOK), Equal(http.StatusConflict)))
		Expect(runs(platform)).To(Equal(1))
	})

	It("report addresses that can't be listened at", func() {
		platform := startPlatform()
		node := startNode(settingsFor(platform, "only", "marousi"))
		chosen := settingsFor(platform, "another", "marousi")
		chosen.Listen.Callers = strings.TrimPrefix(node.url, "http://")
		_, err := serve.New(chosen, quiet)
		Expect(err).To(MatchError(ContainSubstring("listen for callers")))
	})
})

// refusalCode asks the node and returns the code of its refusal.
func refusalCode(ctx context.Context, node *runningNode) any {
	_, err := node.client().CreateChatCompletion(ctx, question(4))
	var refused *openai.APIError
	if !errors.As(err, &refused) {
		return err
	}
	return refused.Code
}

// confirm sends a request that must run at most once and returns the status.
func (n *runningNode) confirm(ctx context.Context) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.url+"/v1/backends/eggrafi/v1/seats/confirm", strings.NewReader("{}"))
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+callerToken)
	request.Header.Set("Idempotency-Key", "seat-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// showRuns writes what reached the servers to the output of a spec that fails. The attempt's
// name begins with its node and that node's incarnation.
func showRuns(platform *suite.Suite) {
	DeferCleanup(func() {
		for _, event := range platform.Log().Events() {
			if event.Kind == record.KindBackEndReceived || event.Kind == record.KindBackEndRun {
				GinkgoWriter.Printf("%s %s at %s: attempt %q, key %q, request %q\n", event.At.Format(time.StampMicro),
					event.Kind, event.Server, event.Attempt, event.Key, event.RequestID)
			}
		}
	})
}

// runs counts what the servers ran.
func runs(platform *suite.Suite) int { return int(platform.Log().Count(record.KindBackEndRun)) }
