// Package explain reconstructs the history of a request from the log lines of all nodes: its outcome,
// and the state changes that led to it. It also summarizes the outcomes of all requests.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// marginBefore and marginAfter extend the time span of a request. State changes within it
	// are shown with the request.
	marginBefore = 3 * time.Second
	marginAfter  = time.Second
	// maxLineBytes is the maximum length of a log line in bytes.
	maxLineBytes = 1 << 20
	timeLayout   = "2006-01-02T15:04:05.000Z07:00"
)

// line is a parsed log line.
type line struct {
	at     time.Time
	node   string
	text   string
	fields map[string]any
}

// stringField returns a field's text; empty if it is missing or no text.
func (l *line) stringField(name string) string {
	value, _ := l.fields[name].(string)
	return value
}

// Explain writes the history of the request with the given ID to output. The logs may contain lines
// of any number of nodes, in any order, and with text before the JSON. It returns an error if no
// line names the request.
func Explain(request string, logs io.Reader, output io.Writer) error {
	lines, err := readLines(logs)
	if err != nil {
		return err
	}
	own := linesOfRequest(lines, request)
	if len(own) == 0 {
		return eris.Errorf("no line names the request %q; a node that was killed tells nothing of what it had: "+
			"look for its line \"started\" after the request's time", request)
	}
	timeline := append(own, relatedLines(lines, own)...)
	sort.SliceStable(timeline, func(i, j int) bool { return timeline[i].at.Before(timeline[j].at) })
	for _, entry := range timeline {
		if _, err := fmt.Fprintln(output, entry.describe()); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(output, conclude(own, timeline))
	return err
}

// readLines parses the log lines and skips all other lines.
func readLines(logs io.Reader) ([]*line, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var lines []*line
	for scanner.Scan() {
		if parsed := parse(scanner.Bytes()); parsed != nil {
			lines = append(lines, parsed)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "read the logs")
}

// parse parses a log line; nil if the text is not one.
func parse(text []byte) *line {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return nil
	}
	parsed := &line{}
	if json.Unmarshal(text[start:], &parsed.fields) != nil {
		return nil
	}
	at, err := time.Parse(timeLayout, parsed.stringField("time"))
	if err != nil {
		return nil
	}
	parsed.at, parsed.node, parsed.text = at, parsed.stringField("node"), parsed.stringField("message")
	return parsed
}

// linesOfRequest returns the lines that name the request.
func linesOfRequest(lines []*line, request string) []*line {
	var own []*line
	for _, candidate := range lines {
		if candidate.stringField("request") == request {
			own = append(own, candidate)
		}
	}
	return own
}

// subjectFields are the fields by which other lines are related to a request's lines.
var subjectFields = []string{"server", "model"}

// relatedLines returns the lines near the request in time that concern the servers and models that
// its lines name, or that concern no server, such as those about holders, dependencies and the
// configuration.
func relatedLines(lines, own []*line) []*line {
	start, end := timeSpan(own)
	named := map[string]bool{}
	for _, entry := range own {
		for _, field := range subjectFields {
			if value := entry.stringField(field); value != "" {
				named[field+"="+value] = true
			}
		}
	}
	var found []*line
	for _, candidate := range lines {
		inTime := !candidate.at.Before(start.Add(-marginBefore)) && !candidate.at.After(end.Add(marginAfter))
		if inTime && candidate.stringField("request") == "" && isRelated(candidate, named) {
			found = append(found, candidate)
		}
	}
	return found
}

// isRelated reports whether a line has a subject in named, or concerns no server.
func isRelated(candidate *line, named map[string]bool) bool {
	for _, field := range subjectFields {
		if named[field+"="+candidate.stringField(field)] {
			return true
		}
	}
	_, aboutServer := candidate.fields["server"]
	return !aboutServer
}

// timeSpan returns the times of the request's acceptance and of its last line.
func timeSpan(own []*line) (first, last time.Time) {
	first, last = own[0].at, own[0].at
	for _, entry := range own {
		start := entry.at
		if took, known := entry.fields["took_ms"].(float64); known {
			start = start.Add(-time.Duration(took * float64(time.Millisecond)))
		}
		if start.Before(first) {
			first = start
		}
		if entry.at.After(last) {
			last = entry.at
		}
	}
	return first, last
}

// hiddenFields are not printed as fields, since a line shows them elsewhere or they are the same in
// all lines.
var hiddenFields = map[string]bool{"time": true, "node": true, "message": true, "level": true, "request": true}

// describe formats the line for output.
func (l *line) describe() string {
	var names []string
	for name := range l.fields {
		if !hiddenFields[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	parts := []string{l.at.Format("15:04:05.000"), l.node, l.text}
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, l.fields[name]))
	}
	return strings.Join(parts, "  ")
}

// conclude summarizes the request's last line, and any pause of its node, in one sentence.
func conclude(own, timeline []*line) string {
	last := own[0]
	for _, entry := range own {
		if entry.text == "request ended" {
			last = entry
		}
	}
	code := last.stringField("code")
	if code == "" {
		return "=> the request's end is not in these logs"
	}
	text := fmt.Sprintf("=> ended at %s with %s after %v attempts (ran: %s)", last.node, code, last.fields["attempts"], last.stringField("ran"))
	if reason := last.stringField("reason"); reason != "" {
		text += ": " + reason
	}
	if able, known := last.fields["able"].(float64); known && able == 0 && code != "ok" {
		text += "; no server held what it needs"
	}
	for _, entry := range timeline {
		if entry.text == "process was paused" && entry.node == last.node {
			text += fmt.Sprintf("; its node was paused for %v ms until %s", entry.fields["paused_ms"], entry.at.Format("15:04:05.000"))
		}
	}
	return text
}
