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

func chatRequest(tokens int) openai.ChatCompletionRequest {
	return openai.ChatCompletionRequest{
		//lint:ignore SA1019 the stand-in engine reads the older name
		Model: testModel, MaxTokens: tokens,
		Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "May we visit the school?"}},
	}
}

// expectedText returns the stand-in engine's answer to a request.
func expectedText(request openai.ChatCompletionRequest) string {
	GinkgoHelper()
	body, err := json.Marshal(request)
	Expect(err).NotTo(HaveOccurred())
	return engine.ExpectedText("/v1/chat/completions", body)
}

// readRest reads a stream to its end and returns the text.
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
	It("load a cold model, and interrupt no request when one of them shuts down", func(ctx SpecContext) {
		platform := startPlatform()
		first := startNode(settingsFor(platform, "first", "marousi"))
		second := startNode(settingsFor(platform, "second", "piraeus"))
		first.applyTable(ctx)

		By("answering at the node to which the table was not sent")
		callSecond := func() error {
			_, err := second.client().CreateChatCompletion(ctx, chatRequest(4))
			return err
		}
		Eventually(callSecond, waitLimit).Should(Succeed())

		By("streaming while the node shuts down")
		request := chatRequest(200)
		request.Stream = true
		stream, err := first.client().CreateChatCompletionStream(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		opening, err := stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		first.stop()
		Eventually(refusalCode, waitLimit).WithArguments(ctx, first).Should(Equal(result.NodeDraining.Name()))
		Expect(first.readiness()).To(Equal(http.StatusServiceUnavailable))
		rest, err := readRest(stream)
		Expect(err).NotTo(HaveOccurred())
		Expect(opening.Choices[0].Delta.Content + rest).To(Equal(expectedText(request)))
		Eventually(first.stopped, waitLimit).Should(Receive(BeNil()))

		By("continuing to serve at the other node")
		Expect(callSecond()).To(Succeed())
		second.stop()
		Eventually(second.stopped, waitLimit).Should(Receive(BeNil()))
	})

	// Guards against a request with an idempotency key that runs again at the node that took over
	// the claims.
	It("keep the claims when the last of them shuts down during an outage of the key-value service", func(ctx SpecContext) {
		platform := startPlatform()
		printRunsOnFailure(platform)
		last := startNode(settingsFor(platform, "last", "marousi"))
		Eventually(last.confirmSeat, waitLimit).WithArguments(ctx).Should(Equal(http.StatusOK))
		Expect(executionCount(platform)).To(Equal(1), "before the planned shutdown")
		setKeyValueFaults(ctx, platform, `{"outage":true}`)
		last.stop()
		Eventually(last.readiness, waitLimit).ShouldNot(Equal(http.StatusOK))
		setKeyValueFaults(ctx, platform, `{}`)
		Eventually(last.stopped, waitLimit).Should(Receive(BeNil()))
		Expect(executionCount(platform)).To(Equal(1), "after the planned shutdown")

		next := startNode(settingsFor(platform, "next", "piraeus"))
		Eventually(next.confirmSeat, waitLimit).WithArguments(ctx).Should(Or(Equal(http.StatusOK), Equal(http.StatusConflict)))
		Expect(executionCount(platform)).To(Equal(1))
	})

	It("report an address that is already in use", func() {
		platform := startPlatform()
		node := startNode(settingsFor(platform, "only", "marousi"))
		chosen := settingsFor(platform, "another", "marousi")
		chosen.Listen.Callers = strings.TrimPrefix(node.url, "http://")
		_, err := serve.New(chosen, noLog)
		Expect(err).To(MatchError(ContainSubstring("listen for callers")))
	})
})

// refusalCode sends a request to the node and returns the code of its refusal.
func refusalCode(ctx context.Context, node *runningNode) any {
	_, err := node.client().CreateChatCompletion(ctx, chatRequest(4))
	var refused *openai.APIError
	if !errors.As(err, &refused) {
		return err
	}
	return refused.Code
}

// confirmSeat sends a request that must run at most once and returns the status.
func (n *runningNode) confirmSeat(ctx context.Context) int {
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

// printRunsOnFailure prints the calls that back-end servers received and ran if the spec fails. An
// attempt's name begins with its node and that node's incarnation.
func printRunsOnFailure(platform *suite.Suite) {
	DeferCleanup(func() {
		for _, event := range platform.Log().Events() {
			if event.Kind == record.KindBackEndReceived || event.Kind == record.KindBackEndRun {
				GinkgoWriter.Printf("%s %s at %s: attempt %q, key %q, request %q\n", event.At.Format(time.StampMicro),
					event.Kind, event.Server, event.Attempt, event.Key, event.RequestID)
			}
		}
	})
}

// executionCount returns how many calls the back-end servers ran.
func executionCount(platform *suite.Suite) int {
	return int(platform.Log().Count(record.KindBackEndRun))
}
