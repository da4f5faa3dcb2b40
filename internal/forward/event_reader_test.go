package forward

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // makes property tests repeatable
)

// limitedPieces is a body that comes in pieces of at most so many bytes.
type limitedPieces struct {
	body   io.Reader
	length int
}

func (p limitedPieces) Read(buffer []byte) (int, error) {
	return p.body.Read(buffer[:min(len(buffer), p.length)])
}

// endlessEvent is an event that does not end.
type endlessEvent struct{}

func (endlessEvent) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = 'x'
	}
	return len(buffer), nil
}

// searchAll returns what eventReader.next is to return, call by call: it searches all that is left after
// each piece.
func searchAll(body io.Reader) (calls []string) {
	var left []byte
	buffer := make([]byte, relayBufferBytes)
	for {
		count, err := body.Read(buffer)
		left = append(left, buffer[:count]...)
		complete := 0
		for {
			scanner := eventScanner{}
			length := scanner.scan(left[complete:], err != nil)
			if length == 0 {
				break
			}
			complete += length
		}
		if complete > 0 {
			calls = append(calls, string(left[:complete]))
			left = left[complete:]
		}
		if err != nil {
			return calls
		}
	}
}

// The end of an event is found as soon as it has come, however the bytes are divided into pieces, and with
// any line endings.
func TestEventsAreFoundInPiecesOfAnySize(t *testing.T) {
	parts := rapid.SliceOfN(rapid.SampledFrom([]string{"data: x", "id: 1", "\n", "\r", "\r\n", "\n\n", "\r\r", "\r\n\r\n"}), 1, 40)
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		text := strings.Join(parts.Draw(t, "parts"), "")
		length := rapid.IntRange(1, 30).Draw(t, "length of a piece")
		reader := newEventReader(limitedPieces{strings.NewReader(text), length})
		var calls []string
		for {
			events, err := reader.next()
			if len(events) > 0 {
				calls = append(calls, string(bytes.Join(events, nil)))
			}
			if err != nil {
				break
			}
		}
		g.Expect(calls).To(Equal(searchAll(limitedPieces{strings.NewReader(text), length})))
	})
}

// BenchmarkEventInPieces reads an event up to the maximum length, after which it is cut.
func BenchmarkEventInPieces(b *testing.B) {
	for _, length := range []int{4096, 1024, 100} {
		b.Run(strconv.Itoa(length), func(b *testing.B) {
			for b.Loop() {
				if _, err := newEventReader(limitedPieces{endlessEvent{}, length}).next(); !errors.Is(err, errEventTooLong) {
					b.Fatal(err)
				}
			}
		})
	}
}
