package forward

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/result"
)

// foreignLines are lines that no run sends, without a blank line behind them, so that they are a part of an event.
var foreignLines = map[string]string{
	"an empty ID":              "id:\ndata: foreign\n",
	"a blank ID":               "id: \ndata: foreign\n",
	"an ID with a NUL":         "id: 4\x00\ndata: foreign\n",
	"an ID":                    "id: 2\n",
	"a name and data":          "event: foreign\ndata: foreign\n",
	"two names":                "event: foreign\nevent: foreign\n",
	"unknown fields":           "foreign: 4\nother: foreign\n",
	"an unknown field":         "foreign: x\n",
	"a header":                 "Content-Type: text/event-stream\n",
	"binary":                   "\x16\x03\x01\xff\xfe\x00\x80foreign\n",
	"an ID of letters":         "id: zz9\ndata: foreign\n",
	"data":                     "data: foreign\n",
	"lines of data":            "data: foreign\ndata: foreign\n",
	"data and a comment":       "data: foreign\n: foreign\n",
	"no field":                 "foreign\n",
	"a time that is no number": "retry: foreign\n",
	"two times":                "retry: 5\nretry: 6\n",
	"a version, not a number":  "weight-versions: foreign\n",
	"two versions":             "weight-versions: 2\nweight-versions: 3\n",
	"a version behind a name":  "event: foreign\nweight-versions: 3\n",
	"another version":          "weight-version: 2\n",
}

// Foreign lines without a blank line behind them were passed on as a part of the next event, whose ID is good.
func TestForeignLinesWithinAnEventAreNotPassedOn(t *testing.T) {
	next := "id: 4\ndata: x\n\n"
	for kind, lines := range foreignLines {
		for place, parts := range map[string][]string{
			"before the next event":  slices.Concat(events(1, 3), []string{lines}, events(4, 6)),
			"before the first event": slices.Concat([]string{lines}, events(1, 6)),
			"before the data":        slices.Concat(events(1, 3), []string{strings.Replace(next, "data:", lines+"data:", 1)}, events(5, 6)),
			"between data":           slices.Concat(events(1, 3), []string{strings.Replace(next, "data: x", "data: x\n"+lines+"data: y", 1)}, events(5, 6)),
		} {
			isNextToData := place == "between data" || place == "before the data"
			if isNextToData && strings.HasPrefix(lines, "data: foreign\n") || place == "before the data" && kind == "a name and data" {
				continue // TestMergedLinesThatNothingTells
			}
			for _, route := range []string{"declared", "declared-patient"} {
				t.Run(kind+", "+place+", "+route, func(t *testing.T) {
					inVirtualTime(t, func(b *testbed) {
						last := 3
						if place == "before the first event" {
							last = 0
						}
						b.inTurn(raw(parts...), raw(events(last+1, 6)...))
						outcome, seen := serveStream(b, route, "")
						if isPatient(route) {
							Expect(seen.body.String()).To(Equal(strings.Join(events(1, 6), "")))
							Expect(outcome.Code).To(Equal(result.OK))
							return
						}
						Expect(seen.body.String()).To(Equal(strings.Join(events(1, last), "")))
						Expect(outcome.Code).To(BeElementOf(result.OutcomeUnknown, result.StreamBroken))
					})
				})
			}
		}
	}
}

// Guards against events of the declared fields being broken by the check of their lines.
func TestEventsOfDeclaredFieldsPass(t *testing.T) {
	for name, parts := range map[string][]string{
		"a version":          {"weight-versions: 2\nid: 1\ndata: x\n\n", "id: 2\ndata: x\n\n", "weight-versions:3\nid:3\ndata:x\n\n"},
		"behind a comment":   {": ping\nweight-versions: 2\nid: 1\ndata: x\n\n"},
		"behind a BOM":       {"\ufeffweight-versions: 2\nid: 1\ndata: x\n\n"},
		"all fields":         {"weight-versions: 2\nevent: token\nid: 1\nretry: 5\ndata: a\ndata: b\n\n"},
		"the ID last":        {"event: token\ndata: a\ndata: b\nid: 1\n\n"},
		"comments":           {"id: 1\n: a\ndata: a\n: b\ndata: b\n\n"},
		"data that is empty": {"id: 1\ndata\n\n", "id: 2\ndata:\ndata:\n\n"},
		"data like fields":   {"id: 1\ndata: id: 7\ndata: foreign: x\ndata: event: y\n\n"},
		"no data":            {"id: 1\n\n", "id: 2\n\n"},
	} {
		for end, lineEnd := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
			for _, size := range []int{1, 4096} {
				t.Run(name+", "+end+", "+strconv.Itoa(size), func(t *testing.T) {
					inVirtualTime(t, func(b *testbed) {
						text := strings.ReplaceAll(strings.Join(parts, ""), "\n", lineEnd)
						b.inTurn(raw(pieces(text, size)...))
						outcome, seen := serveStream(b, "declared", "")
						Expect(outcome.Code).To(Equal(result.OK))
						Expect(seen.body.String()).To(Equal(text))
					})
				})
			}
		}
	}
}

// What nothing tells of lines that merged with an event of a declared route: they read as the event's own. A change that
// tells one of them removes it here and in docs/design/streams.md.
func TestMergedLinesThatNothingTells(t *testing.T) {
	for name, event := range map[string]string{
		"a name":                       "event: foreign\nid: 1\ndata: x\n\n",
		"a time":                       "retry: 5\nid: 1\ndata: x\n\n",
		"a comment":                    ": foreign\nid: 1\ndata: x\n\n",
		"a version":                    "weight-versions: 9\nid: 1\ndata: x\n\n",
		"data next to data":            "id: 1\ndata: foreign\ndata: x\n\n",
		"a name and data":              "id: 1\nevent: foreign\ndata: foreign\ndata: x\n\n",
		"data behind data":             "id: 1\ndata: x\ndata: foreign\n\n",
		"data of an event without any": "data: foreign\nid: 1\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(raw(event))
				outcome, seen := serveStream(b, "declared", "")
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(seen.body.String()).To(Equal(event))
			})
		})
	}
}
