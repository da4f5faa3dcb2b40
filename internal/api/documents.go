package api

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// usageDocument is the OpenAI usage object.
type usageDocument struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	TotalTokens         int                 `json:"total_tokens"`
	PromptTokensDetails promptTokensDetails `json:"prompt_tokens_details"`
}

type promptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newUsageDocument(usage outside.Usage) usageDocument {
	return usageDocument{
		PromptTokens:        usage.PromptTokens,
		CompletionTokens:    usage.CompletionTokens,
		TotalTokens:         usage.PromptTokens + usage.CompletionTokens,
		PromptTokensDetails: promptTokensDetails{CachedTokens: usage.CachedTokens},
	}
}

// answerDocument is the OpenAI response object of either kind, when not streamed.
type answerDocument struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []choiceDocument `json:"choices"`
	Usage   usageDocument    `json:"usage"`
}

type choiceDocument struct {
	Index        int              `json:"index"`
	Message      *messageDocument `json:"message,omitempty"`
	Text         *string          `json:"text,omitempty"`
	LogProbs     *struct{}        `json:"logprobs"`
	FinishReason string           `json:"finish_reason"`
}

type messageDocument struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func newAnswerDocument(kind generationKind, requestID, model string, created time.Time, text string, end outside.GenerateEnd) answerDocument {
	document := answerDocument{
		ID:      chatIDPrefix + requestID,
		Object:  "chat.completion",
		Created: created.Unix(),
		Model:   model,
		Usage:   newUsageDocument(end.Usage),
	}
	choice := choiceDocument{FinishReason: finishReason(end)}
	if kind == kindCompletion {
		document.ID = completionIDPrefix + requestID
		document.Object = "text_completion"
		choice.Text = &text
	} else {
		choice.Message = &messageDocument{Role: "assistant", Content: text}
	}
	document.Choices = []choiceDocument{choice}
	return document
}

// modelList is the OpenAI list object of models.
type modelList struct {
	Object string          `json:"object"`
	Data   []modelDocument `json:"data"`
}

type modelDocument struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
