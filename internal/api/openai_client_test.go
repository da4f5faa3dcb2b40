package api_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	openai "github.com/sashabaranov/go-openai"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

var _ = Describe("an unmodified OpenAI client", func() {
	var service *fakeGateway
	var client *openai.Client
	chat := openai.ChatCompletionRequest{
		Model:    ownModel,
		Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "Read the dossier \"Δ\"\n"}},
	}

	BeforeEach(func() {
		service = newFakeGateway()
		config := openai.DefaultConfig(callerToken)
		config.BaseURL = startServer(testConfig(service)).URL + "/v1"
		client = openai.NewClientWithConfig(config)
	})

	It("gets a whole chat answer", func(ctx SpecContext) {
		response, err := client.CreateChatCompletion(ctx, chat)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Choices[0].Message.Content).To(Equal("Kalimera"))
		Expect(response.Choices[0].FinishReason).To(Equal(openai.FinishReasonStop))
		Expect(response.Usage.TotalTokens).To(Equal(5))
		request := service.submitted()[0]
		Expect(request.Tenant).To(Equal(attica))
		Expect(request.Priority).To(Equal(defaultRowPriority))
		Expect(request.Deadline.Sub(request.Accepted)).To(Equal(modelTimeLimit))
		Expect(string(request.Prefix)).To(HavePrefix(`[{"role":"user"`))
	})

	It("gets a completion", func(ctx SpecContext) {
		response, err := client.CreateCompletion(ctx, openai.CompletionRequest{Model: ownModel, Prompt: "Good"})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Choices[0].Text).To(Equal("Kalimera"))
	})

	It("gets a chat stream with its usage", func(ctx SpecContext) {
		pieces := []string{"quote\" back\\ line\n", "Ω é \u2028", "\x01tab\t", ""}
		service.serve = answering(pieces...)
		request := chat
		request.StreamOptions = &openai.StreamOptions{IncludeUsage: true}
		text, usage, err := readStream(ctx, client, request)
		Expect(err).To(MatchError(io.EOF))
		Expect(text).To(Equal(pieces[0] + pieces[1] + pieces[2]))
		Expect(usage.CompletionTokens).To(Equal(len(pieces)))
	})

	It("gets a completion stream", func(ctx SpecContext) {
		stream, err := client.CreateCompletionStream(ctx, openai.CompletionRequest{Model: ownModel, Prompt: "Good"})
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = stream.Close() }()
		first, err := stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Choices[0].Text).To(Equal("Kali"))
	})

	It("lists only models of its tenant", func(ctx SpecContext) {
		list, err := client.ListModels(ctx)
		Expect(err).NotTo(HaveOccurred())
		names := []string{}
		for _, model := range list.Models {
			names = append(names, model.ID)
		}
		Expect(names).To(ConsistOf(ownModel, confirmationModel))
		_, err = client.GetModel(ctx, foreignModel)
		Expect(statusOf(err)).To(Equal(http.StatusNotFound))
	})

	It("gets a refusal before the stream begins as an error with a status", func(ctx SpecContext) {
		service.serve = func(_ gateway.Request, responder gateway.Responder, _ <-chan struct{}) {
			refusal := result.Refuse(result.DeadlineUnreachable, "no replica in time")
			refusal.RetryAfter = 1500 * time.Millisecond
			responder.Refuse(refusal)
		}
		_, _, err := readStream(ctx, client, chat)
		Expect(statusOf(err)).To(Equal(http.StatusServiceUnavailable))
		var apiError *openai.APIError
		Expect(errors.As(err, &apiError)).To(BeTrue())
		Expect(apiError.Code).To(Equal("deadline_unreachable"))
	})

	It("gets a refusal within the stream as an error, never as a complete answer", func(ctx SpecContext) {
		service.serve = func(_ gateway.Request, responder gateway.Responder, _ <-chan struct{}) {
			responder.Chunk(outside.Chunk{Index: 0, Text: "Ka"})
			responder.Refuse(result.Refusal{Code: result.StreamBroken, Ran: result.RanUnknown})
		}
		text, _, err := readStream(ctx, client, chat)
		Expect(text).To(Equal("Ka"))
		Expect(err).NotTo(MatchError(io.EOF))
		Expect(err).To(MatchError(ContainSubstring("stream ended before")))
	})

	DescribeTable("gets an incomplete answer as an error", func(ctx SpecContext, chunks []outside.Chunk, end int) {
		service.serve = func(_ gateway.Request, responder gateway.Responder, _ <-chan struct{}) {
			for _, chunk := range chunks {
				responder.Chunk(chunk)
			}
			responder.Finish(gateway.Answer{End: outside.GenerateEnd{Chunks: end}})
		}
		_, err := client.CreateChatCompletion(ctx, chat)
		Expect(statusOf(err)).To(Equal(http.StatusBadGateway))
		_, _, err = readStream(ctx, client, chat)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(io.EOF))
	},
		Entry("the last chunk is missing", []outside.Chunk{{Index: 0, Text: "a"}}, 2),
		Entry("a chunk in the middle is missing", []outside.Chunk{{Index: 0, Text: "a"}, {Index: 2, Text: "c"}}, 3),
		Entry("a chunk arrives twice", []outside.Chunk{{Index: 0, Text: "a"}, {Index: 0, Text: "a"}}, 2),
	)
})

func readStream(ctx context.Context, client *openai.Client, request openai.ChatCompletionRequest) (string, openai.Usage, error) {
	stream, err := client.CreateChatCompletionStream(ctx, request)
	if err != nil {
		return "", openai.Usage{}, err
	}
	defer func() { _ = stream.Close() }()
	text := ""
	var usage openai.Usage
	for {
		event, err := stream.Recv()
		if err != nil {
			return text, usage, err
		}
		if event.Usage != nil {
			usage = *event.Usage
		}
		for _, choice := range event.Choices {
			text += choice.Delta.Content
		}
	}
}

func statusOf(err error) int {
	var apiError *openai.APIError
	if errors.As(err, &apiError) {
		return apiError.HTTPStatusCode
	}
	return 0
}
