// Package httpapi implements HTTP clients of model engines, other back-end servers, the weight
// store and the machine list.
//
// An attempt is one HTTP request, which this package never retries. An attempt is reported as
// not run only if none of its bytes was written to a connection, or if the server refused it
// with a problem document that contains "ran":"no".
package httpapi

import (
	"strconv"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Paths of the platform's HTTP interfaces.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	PathOrders          = "/engine/v1/orders"
	PathState           = "/engine/v1/state"
	PathCacheEvents     = "/engine/v1/cache-events"
	PathCacheExport     = "/engine/v1/kv/export"
	PathCacheImport     = "/engine/v1/kv/import"
	PathCancel          = "/engine/v1/cancel"
	PathMachines        = "/v1/machines"
	PathWeightStatus    = "/v1/status"
)

// QuerySince is the query parameter that carries the version held by the reader.
const QuerySince = "since"

// Headers of an attempt. The response repeats HeaderAttempt.
const (
	HeaderAttempt = "X-Attempt-Id"
	HeaderRequest = "X-Request-Id"
	// HeaderTimeLeft is the time from sending the request to its deadline, in milliseconds.
	// It is relative because the clocks of machines differ.
	HeaderTimeLeft   = "X-Time-Left"
	HeaderPriority   = "X-Priority"
	HeaderResumeFrom = "X-Resume-From"
	HeaderModel      = "X-Model"
	HeaderAdapter    = "X-Adapter"
	HeaderVersion    = "X-Model-Version"
	HeaderKey        = "Idempotency-Key"
)

// Headers of a response that carry the server's load.
const (
	HeaderLoadRunning = "X-Load-Running"
	HeaderLoadQueued  = "X-Load-Queued"
	HeaderLoadLeaving = "X-Load-Leaving"
)

// Media types.
const (
	MediaJSON    = "application/json"
	MediaStream  = "text/event-stream"
	MediaProblem = "application/problem+json"
)

// FormatTimeLeft returns the value of HeaderTimeLeft: whole milliseconds, 0 if the deadline
// has passed.
func FormatTimeLeft(left time.Duration) string {
	return strconv.FormatInt(max(left.Milliseconds(), 0), 10)
}

// maxTimeLeft is the upper bound of ParseTimeLeft.
const maxTimeLeft = 24 * time.Hour

// ParseTimeLeft parses the value of HeaderTimeLeft. Values above 24 hours are reduced to that.
func ParseTimeLeft(value string) (time.Duration, error) {
	milliseconds, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return 0, err
	}
	return time.Duration(min(milliseconds, uint64(maxTimeLeft.Milliseconds()))) * time.Millisecond, nil
}

// DoneMarker is the data of the last frame of a stream.
const DoneMarker = "[DONE]"

// Problem is the body of a failed attempt, as a problem document of RFC 9457.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Ran is "no", "unknown" or "yes": whether the attempt ran.
	Ran string `json:"ran"`
	// Reason is one of the reasons of outside.AttemptError.
	Reason string           `json:"reason"`
	Load   outside.LoadHint `json:"load"`
}

// AttemptReference identifies an attempt in the body of a POST to PathCancel or
// PathCacheExport.
type AttemptReference struct {
	Attempt outside.AttemptID `json:"attempt"`
}

// StreamFrame is the data of one frame of a generated stream: a chunk object of the OpenAI API
// with additional fields. Depending on the path, its choice uses either Text or Delta.
type StreamFrame struct {
	ID      string         `json:"id,omitempty"`
	Object  string         `json:"object,omitempty"`
	Model   string         `json:"model,omitempty"`
	Choices []StreamChoice `json:"choices"`
	Usage   *StreamUsage   `json:"usage,omitempty"`
	// Index is the chunk's position in the request's stream, from 0, counted across
	// resumptions.
	Index int `json:"chunk_index"`
	// Tokens is the number of tokens in the chunk.
	Tokens int `json:"chunk_tokens,omitempty"`
	// Chunks is the number of chunks in the stream, set only in the frame before the done
	// marker.
	Chunks *int              `json:"chunk_count,omitempty"`
	Load   *outside.LoadHint `json:"load,omitempty"`
	// Problem is set in a frame that ends the stream with a failure.
	Problem *Problem `json:"problem,omitempty"`
}

// StreamChoice is the only choice of a frame.
type StreamChoice struct {
	Index int         `json:"index"`
	Text  string      `json:"text,omitempty"`
	Delta StreamDelta `json:"delta,omitzero"`
	// FinishReason is null until the stream's end frame.
	FinishReason *string `json:"finish_reason"`
}

// StreamDelta is the text that a chunk appends to a chat message.
type StreamDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// StreamUsage is the number of tokens of a generation.
type StreamUsage struct {
	PromptTokens     int                 `json:"prompt_tokens"`
	CompletionTokens int                 `json:"completion_tokens"`
	TotalTokens      int                 `json:"total_tokens"`
	PromptDetails    *StreamUsageDetails `json:"prompt_tokens_details,omitempty"`
}

// StreamUsageDetails is the breakdown of the prompt's tokens.
type StreamUsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}
