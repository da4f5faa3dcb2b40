package api

import (
	"encoding/json"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	chatIDPrefix       = "chatcmpl-"
	completionIDPrefix = "cmpl-"
	streamDone         = "data: [DONE]\n\n"
	hexadecimalDigits  = "0123456789abcdef"
	defaultFinish      = "stop"
)

// eventEncoder encodes the server-sent events of one stream. The part that all events
// have in common is encoded only once.
type eventEncoder struct {
	kind generationKind
	// head is the beginning of every event, up to the choices.
	head []byte
}

func newEventEncoder(kind generationKind, requestID, model string, created time.Time) eventEncoder {
	prefix, object := chatIDPrefix, "chat.completion.chunk"
	if kind == kindCompletion {
		prefix, object = completionIDPrefix, "text_completion"
	}
	head := append([]byte(`data: {"id":`), quoted(prefix+requestID)...)
	head = append(head, `,"object":"`...)
	head = append(head, object...)
	head = append(head, `","created":`...)
	head = strconv.AppendInt(head, created.Unix(), 10)
	head = append(head, `,"model":`...)
	head = append(head, quoted(model)...)
	head = append(head, `,"choices":[`...)
	return eventEncoder{kind: kind, head: head}
}

// appendText appends an event with one chunk of text. The first event of a chat stream
// also names the role.
func (e *eventEncoder) appendText(buffer []byte, text string, first bool) []byte {
	buffer = append(buffer, e.head...)
	switch {
	case e.kind == kindCompletion:
		buffer = append(buffer, `{"index":0,"text":`...)
		buffer = appendQuoted(buffer, text)
		return append(buffer, `,"logprobs":null,"finish_reason":null}]}`+"\n\n"...)
	case first:
		buffer = append(buffer, `{"index":0,"delta":{"role":"assistant","content":`...)
	default:
		buffer = append(buffer, `{"index":0,"delta":{"content":`...)
	}
	buffer = appendQuoted(buffer, text)
	return append(buffer, `},"logprobs":null,"finish_reason":null}]}`+"\n\n"...)
}

// appendEnd appends the final events of a complete stream.
func (e *eventEncoder) appendEnd(buffer []byte, end outside.GenerateEnd, withUsage bool) []byte {
	buffer = append(buffer, e.head...)
	if e.kind == kindCompletion {
		buffer = append(buffer, `{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	} else {
		buffer = append(buffer, `{"index":0,"delta":{},"logprobs":null,"finish_reason":`...)
	}
	buffer = appendQuoted(buffer, finishReason(end))
	buffer = append(buffer, "}]}\n\n"...)
	if withUsage {
		buffer = e.appendUsage(buffer, end.Usage)
	}
	return append(buffer, streamDone...)
}

func (e *eventEncoder) appendUsage(buffer []byte, usage outside.Usage) []byte {
	buffer = append(buffer, e.head...)
	buffer = append(buffer, `],"usage":`...)
	// Marshalling a struct of numbers can't fail.
	encoded, _ := json.Marshal(newUsageDocument(usage))
	buffer = append(buffer, encoded...)
	return append(buffer, "}\n\n"...)
}

// appendError appends the event that ends an incomplete stream.
func appendError(buffer []byte, document ErrorDocument) []byte {
	// Marshalling a struct of strings and numbers can't fail.
	encoded, _ := json.Marshal(document)
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, encoded...)
	return append(buffer, "\n\n"...)
}

func finishReason(end outside.GenerateEnd) string { return orDefault(end.FinishReason, defaultFinish) }

func quoted(text string) []byte { return appendQuoted(nil, text) }

// appendQuoted appends text as a JSON string. Bytes that are not valid UTF-8 become U+FFFD.
func appendQuoted(buffer []byte, text string) []byte {
	buffer = append(buffer, '"')
	start := 0
	for index := 0; index < len(text); {
		character := text[index]
		if character >= utf8.RuneSelf {
			decoded, size := utf8.DecodeRuneInString(text[index:])
			if decoded == utf8.RuneError && size == 1 {
				buffer = append(buffer, text[start:index]...)
				buffer = append(buffer, `\ufffd`...)
				start = index + size
			}
			index += size
			continue
		}
		if character < ' ' || character == '"' || character == '\\' {
			buffer = append(buffer, text[start:index]...)
			buffer = appendEscaped(buffer, character)
			start = index + 1
		}
		index++
	}
	buffer = append(buffer, text[start:]...)
	return append(buffer, '"')
}

func appendEscaped(buffer []byte, character byte) []byte {
	switch character {
	case '"', '\\':
		return append(buffer, '\\', character)
	case '\n':
		return append(buffer, `\n`...)
	case '\r':
		return append(buffer, `\r`...)
	case '\t':
		return append(buffer, `\t`...)
	default:
		return append(buffer, '\\', 'u', '0', '0', hexadecimalDigits[character>>4], hexadecimalDigits[character&0xf])
	}
}
