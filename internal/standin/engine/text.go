package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Limits of "max_tokens".
const (
	DefaultMaxTokens = 16
	LargestMaxTokens = 1 << 17
)

// bytesPerToken of prompt text: about four characters a token in English.
const bytesPerToken = 4

// promptRequest is what the model reads of an OpenAI body.
type promptRequest struct {
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// parsedBody is what a generation needs of its body.
type parsedBody struct {
	digest uint64
	// tokens to generate.
	tokens int
	// prompt is the JSON of the messages or the prompt; the whole body if it
	// is not an OpenAI body.
	prompt []byte
}

func parseBody(body []byte) parsedBody {
	parsed := parsedBody{digest: xxhash.Sum64(body), tokens: DefaultMaxTokens, prompt: body}
	var request promptRequest
	if json.Unmarshal(body, &request) != nil {
		return parsed
	}
	switch {
	case len(request.Messages) > 0:
		parsed.prompt = request.Messages
	case len(request.Prompt) > 0:
		parsed.prompt = request.Prompt
	}
	for _, limit := range []*int{request.MaxTokens, request.MaxCompletionTokens} {
		if limit != nil && *limit > 0 {
			parsed.tokens = min(*limit, LargestMaxTokens)
		}
	}
	return parsed
}

func (p parsedBody) promptTokens() int {
	return (len(p.prompt) + bytesPerToken - 1) / bytesPerToken
}

// ExpectedChunks returns how many tokens the answer to a body has: its
// "max_completion_tokens" or "max_tokens", else DefaultMaxTokens. With
// Config.TokensPerChunk 1 that is also the number of chunks.
func ExpectedChunks(_ string, body []byte) int { return parseBody(body).tokens }

// ExpectedChunk returns the token with this index, from 0, of the answer to a
// body. With Config.TokensPerChunk n, chunk i holds the tokens from i*n.
func ExpectedChunk(body []byte, index int) string {
	return string(appendToken(nil, xxhash.Sum64(body), index))
}

// ExpectedText returns the complete answer to a body.
func ExpectedText(path string, body []byte) string {
	parsed := parseBody(body)
	return textOf(parsed.digest, 0, parsed.tokens)
}

// ExpectedDigestText returns the first count tokens of the answer to the body
// with this digest, as kept in record.Event.BodyDigest.
func ExpectedDigestText(digest uint64, count int) string { return textOf(digest, 0, count) }

// BodyDigest returns the hash of a body as kept in record.Event.BodyDigest.
func BodyDigest(body []byte) uint64 { return xxhash.Sum64(body) }

// tokenLetters is the length of a token's text without the leading space.
const tokenLetters = 6

// textOf returns the tokens from index from to before index to.
func textOf(digest uint64, from, to int) string {
	if to <= from {
		return ""
	}
	var text strings.Builder
	text.Grow((to - from) * (tokenLetters + 1))
	var token [tokenLetters + 1]byte
	for index := from; index < to; index++ {
		text.Write(appendToken(token[:0], digest, index))
	}
	return text.String()
}

// appendToken appends a space and letters drawn from the digest and the index.
func appendToken(text []byte, digest uint64, index int) []byte {
	bits := mix(digest ^ mix(uint64(index)+1))
	text = append(text, ' ')
	for range tokenLetters {
		text = append(text, byte('a'+bits%26))
		bits /= 26
	}
	return text
}

// mix is the finalizer of splitmix64.
func mix(bits uint64) uint64 {
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return bits ^ bits>>31
}
