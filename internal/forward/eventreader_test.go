package forward

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// For arbitrary texts, with line ends of all kinds mixed and in arbitrary pieces: no byte is lost or moved,
// and the events are those that a client reads, as soon as they are complete.
func TestEventsDoNotDependOnThePiecesInWhichTheyArrive(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(rt *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"\r", "\n", "\r\n", "a", "id: 1", ":"}), 0, 40).Draw(rt, "text"), "")
		var parts []string
		for rest := text; rest != ""; {
			size := min(rapid.IntRange(1, 9).Draw(rt, "piece"), len(rest))
			parts, rest = append(parts, rest[:size]), rest[size:]
		}
		reader := newEventReader(&scriptedBody{ctx: context.Background(), parts: parts, err: io.EOF})
		var bytesRead string
		var read []string
		for {
			events, err := reader.next()
			for _, event := range events {
				bytesRead += string(event)
				read = append(read, normalized(string(event)))
			}
			if err != nil {
				if errors.Is(err, errPartialEvent) != reader.withinEvent() {
					rt.Fatalf("error %v", err)
				}
				break
			}
		}
		bytesRead += string(reader.partial[reader.taken:])
		if bytesRead != text {
			rt.Fatalf("%q became %q", text, bytesRead)
		}
		if expected := completeEvents(text); strings.Join(read, "|") != strings.Join(expected, "|") {
			rt.Fatalf("%q: events %q, expected %q", text, read, expected)
		}
	})
}

func normalized(text string) string {
	return strings.Trim(strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n"), "\n")
}

// completeEvents returns the events of a text that a blank line ends.
func completeEvents(text string) []string {
	text = strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
	var events []string
	parts := strings.Split(text, "\n\n")
	for _, part := range parts[:len(parts)-1] {
		if part = strings.Trim(part, "\n"); part != "" {
			events = append(events, part)
		}
	}
	return events
}
