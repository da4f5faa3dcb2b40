package api

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/hatchplank/hatchplank/internal/result"
)

const (
	// affinityPrefixBytes is the maximum length of the prompt's prefix by which the router
	// picks a replica that may have it in its cache.
	affinityPrefixBytes = 1024
	// affinityMessageBytes is the minimum length at which the first message alone is the
	// prefix: the messages after it are seldom shared between requests. A shorter message
	// is not worth routing by alone.
	affinityMessageBytes = 256
)

// generationKind is one of the two generating endpoints.
type generationKind uint8

const (
	kindChat generationKind = iota
	kindCompletion
)

// path returns the OpenAI path of the kind.
func (k generationKind) path() string {
	if k == kindChat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// generationBody holds the fields of a caller's body that the node reads. The engine
// receives the body unchanged.
type generationBody struct {
	Model         string          `json:"model"`
	Stream        bool            `json:"stream"`
	StreamOptions streamOptions   `json:"stream_options"`
	Messages      json.RawMessage `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`

	Choices   *int            `json:"n"`
	BestOf    *int            `json:"best_of"`
	Echo      bool            `json:"echo"`
	LogProbs  json.RawMessage `json:"logprobs"`
	Tools     json.RawMessage `json:"tools"`
	Functions json.RawMessage `json:"functions"`
	Audio     json.RawMessage `json:"audio"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// decodeGeneration decodes and validates a caller's body.
func decodeGeneration(kind generationKind, body []byte) (generationBody, *result.Refusal) {
	var decoded generationBody
	if !utf8.Valid(body) {
		return decoded, refuse(result.MalformedRequest, "the body is not valid UTF-8")
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return decoded, refuse(result.MalformedRequest, "the body is not the JSON expected: %v", err)
	}
	if decoded.Model == "" {
		return decoded, refuse(result.MalformedRequest, "the field model is missing")
	}
	if refusal := decoded.checkPrompt(kind); refusal != nil {
		return decoded, refusal
	}
	return decoded, decoded.checkOptions()
}

func (b *generationBody) checkPrompt(kind generationKind) *result.Refusal {
	if kind == kindChat {
		return b.checkMessages()
	}
	if isAbsent(b.Prompt) {
		return refuse(result.MalformedRequest, "the field prompt is missing")
	}
	return checkCompletionPrompt(b.Prompt)
}

func (b *generationBody) checkMessages() *result.Refusal {
	var messages []struct {
		Role string `json:"role"`
	}
	if isAbsent(b.Messages) || json.Unmarshal(b.Messages, &messages) != nil || len(messages) == 0 {
		return refuse(result.MalformedRequest, "the field messages must be a list of at least one message")
	}
	for position, message := range messages {
		if message.Role == "" {
			return refuse(result.MalformedRequest, "message %d has no role", position)
		}
	}
	return nil
}

// checkCompletionPrompt accepts a string, a list of one string, or a list of tokens.
func checkCompletionPrompt(prompt json.RawMessage) *result.Refusal {
	switch prompt[0] {
	case '"':
		return nil
	case '[':
		return checkPromptList(prompt)
	default:
		return refuse(result.MalformedRequest, "the field prompt must be a string or a list")
	}
}

func checkPromptList(prompt json.RawMessage) *result.Refusal {
	var texts []string
	if json.Unmarshal(prompt, &texts) == nil {
		if len(texts) > 1 {
			return refuse(result.Unsupported, "several prompts in one request are not offered")
		}
		if len(texts) == 1 {
			return nil
		}
	}
	var tokens []int
	if json.Unmarshal(prompt, &tokens) != nil || len(tokens) == 0 {
		return refuse(result.MalformedRequest, "the field prompt must be a string, a list of one string, or a list of tokens")
	}
	return nil
}

// checkOptions refuses options whose results the encoded answer has no fields for.
func (b *generationBody) checkOptions() *result.Refusal {
	switch {
	case b.Choices != nil && *b.Choices != 1:
		return refuse(result.Unsupported, "only n = 1 is offered")
	case b.BestOf != nil && *b.BestOf != 1:
		return refuse(result.Unsupported, "only best_of = 1 is offered")
	case b.Echo:
		return refuse(result.Unsupported, "echo is not offered")
	case !isAbsent(b.LogProbs) && string(b.LogProbs) != "false":
		return refuse(result.Unsupported, "logprobs are not offered")
	case !isEmptyList(b.Tools), !isEmptyList(b.Functions):
		return refuse(result.Unsupported, "tools and functions are not offered")
	case !isAbsent(b.Audio):
		return refuse(result.Unsupported, "audio is not offered")
	default:
		return nil
	}
}

func isAbsent(raw json.RawMessage) bool { return len(raw) == 0 || string(raw) == "null" }

func isEmptyList(raw json.RawMessage) bool {
	if isAbsent(raw) {
		return true
	}
	return raw[0] == '[' && len(bytes.TrimSpace(raw[1:len(raw)-1])) == 0
}

// affinityPrefix returns the prefix of the prompt by which requests are routed to the same
// replica, in JSON as the caller sent it.
func (b *generationBody) affinityPrefix(kind generationKind) []byte {
	prompt := []byte(b.Prompt)
	if kind == kindChat {
		prompt = b.Messages
		if first := firstMessage(b.Messages); len(first) >= affinityMessageBytes {
			prompt = first
		}
	}
	return prompt[:min(len(prompt), affinityPrefixBytes)]
}

// firstMessage returns a valid JSON list up to the end of its first element, at most
// affinityPrefixBytes of it.
func firstMessage(messages json.RawMessage) []byte {
	messages = messages[:min(len(messages), affinityPrefixBytes)]
	depth, quoted, escaped := 0, false, false
	for index, character := range messages {
		switch {
		case escaped:
			escaped = false
		case quoted:
			escaped = character == '\\'
			quoted = character != '"'
		case character == '"':
			quoted = true
		case character == '{' || character == '[':
			depth++
		case character == '}' || character == ']':
			depth--
			if depth == 1 {
				return messages[:index+1]
			}
		}
	}
	return messages
}
