package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/standin/httpserver"
)

// Names of OpenAI objects.
const (
	objectChatChunk  = "chat.completion.chunk"
	objectChat       = "chat.completion"
	objectCompletion = "text_completion"
)

// streamAnswer writes server-sent events. A frame's id is its chunk's index.
type streamAnswer struct {
	answerForm
	begun  bool
	buffer bytes.Buffer
}

func (a *streamAnswer) chunk(chunk *outside.Chunk) {
	a.begin()
	frame := a.frame()
	frame.Index = chunk.Index
	frame.Tokens = chunk.Tokens
	if a.isChat() {
		frame.Choices[0].Delta.Content = chunk.Text
	} else {
		frame.Choices[0].Text = chunk.Text
	}
	a.buffer.WriteString("id: ")
	a.buffer.WriteString(strconv.Itoa(chunk.Index))
	a.buffer.WriteByte('\n')
	a.writeFrame(frame)
}

func (a *streamAnswer) end(end *outside.GenerateEnd) {
	a.begin()
	frame := a.frame()
	frame.Index = end.Chunks
	frame.Chunks = &end.Chunks
	frame.Choices[0].FinishReason = &end.FinishReason
	frame.Usage = usageOf(end.Usage)
	frame.Load = &end.Load
	a.writeFrame(frame)
	a.buffer.WriteString("data: " + httpapi.DoneMarker + "\n\n")
	a.flush()
}

func (a *streamAnswer) fail(failure *outside.AttemptError) {
	if breaksConnection(failure) {
		a.flush()
		httpserver.Abort()
	}
	if !a.begun {
		a.refuse(failure)
		return
	}
	problem := problemOf(failure)
	a.writeFrame(&httpapi.StreamFrame{Choices: []httpapi.StreamChoice{}, Problem: &problem})
	a.flush()
}

func (a *streamAnswer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	a.writer.Header().Set("Content-Type", httpapi.MediaStream)
	a.writer.Header().Set("Cache-Control", "no-store")
	a.writer.WriteHeader(http.StatusOK)
}

func (a *streamAnswer) frame() *httpapi.StreamFrame {
	object := objectCompletion
	if a.isChat() {
		object = objectChatChunk
	}
	return &httpapi.StreamFrame{
		ID: string(a.attempt), Object: object, Model: a.model,
		Choices: make([]httpapi.StreamChoice, 1),
	}
}

func (a *streamAnswer) writeFrame(frame *httpapi.StreamFrame) {
	data, err := json.Marshal(frame)
	if err != nil {
		httpserver.Abort()
	}
	a.buffer.WriteString("data: ")
	a.buffer.Write(data)
	a.buffer.WriteString("\n\n")
}

// flush sends what was written. An error means that the client is gone, which
// the request's context tells.
func (a *streamAnswer) flush() {
	if !a.begun {
		return
	}
	_, _ = a.writer.Write(a.buffer.Bytes())
	a.buffer.Reset()
	_ = http.NewResponseController(a.writer).Flush()
}

// plainAnswer writes one document when the generation has ended.
type plainAnswer struct {
	answerForm
	text strings.Builder
	next int
}

// completion is the OpenAI object of a plain answer.
type completion struct {
	ID      string               `json:"id"`
	Object  string               `json:"object"`
	Model   string               `json:"model"`
	Choices []completionChoice   `json:"choices"`
	Usage   *httpapi.StreamUsage `json:"usage"`
}

type completionChoice struct {
	Index        int                  `json:"index"`
	Text         string               `json:"text,omitempty"`
	Message      *httpapi.StreamDelta `json:"message,omitempty"`
	FinishReason string               `json:"finish_reason"`
}

func (a *plainAnswer) chunk(chunk *outside.Chunk) {
	if chunk.Index < a.next {
		return
	}
	a.next = chunk.Index + 1
	a.text.WriteString(chunk.Text)
}

func (a *plainAnswer) end(end *outside.GenerateEnd) {
	choice := completionChoice{FinishReason: end.FinishReason}
	object := objectCompletion
	if a.isChat() {
		object = objectChat
		choice.Message = &httpapi.StreamDelta{Role: "assistant", Content: a.text.String()}
	} else {
		choice.Text = a.text.String()
	}
	httpapi.SetLoad(a.writer.Header(), end.Load)
	httpserver.WriteJSON(a.writer, http.StatusOK, completion{
		ID: string(a.attempt), Object: object, Model: a.model,
		Choices: []completionChoice{choice}, Usage: usageOf(end.Usage),
	})
}

func (a *plainAnswer) fail(failure *outside.AttemptError) {
	if breaksConnection(failure) {
		httpserver.Abort()
	}
	a.refuse(failure)
}

func (a *plainAnswer) flush() {}

func usageOf(usage outside.Usage) *httpapi.StreamUsage {
	return &httpapi.StreamUsage{
		PromptTokens:     usage.PromptTokens,
		CompletionTokens: usage.CompletionTokens,
		TotalTokens:      usage.PromptTokens + usage.CompletionTokens,
		PromptDetails:    &httpapi.StreamUsageDetails{CachedTokens: usage.CachedTokens},
	}
}
