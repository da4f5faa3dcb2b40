// Package explain tells the story of one request from the log lines of all
// nodes: what became of it, and the beliefs that decided it.
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
	// before and after the request are the times in which changes of belief are
	// part of its story.
	before = 3 * time.Second
	after  = time.Second
	// longestLine of a log, in bytes.
	longestLine = 1 << 20
	timeLayout  = "2006-01-02T15:04:05.000Z07:00"
)

// line is one log line.
type line struct {
	at     time.Time
	node   string
	text   string
	fields map[string]any
}

func (l *line) word(name string) string {
	word, _ := l.fields[name].(string)
	return word
}

// Explain writes the story of the request to output. Logs may hold lines of any
// number of nodes, in any order, also with text before the JSON.
func Explain(request string, logs io.Reader, output io.Writer) error {
	lines, err := readLines(logs)
	if err != nil {
		return err
	}
	own := ofRequest(lines, request)
	if len(own) == 0 {
		return eris.Errorf("no line names the request %q; a node that was killed tells nothing of what it had: "+
			"look for its line \"started\" after the request's time", request)
	}
	story := append(own, beliefs(lines, own)...)
	sort.SliceStable(story, func(i, j int) bool { return story[i].at.Before(story[j].at) })
	for _, told := range story {
		if _, err := fmt.Fprintln(output, told.describe()); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(output, conclusion(own, story))
	return err
}

func readLines(logs io.Reader) ([]*line, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), longestLine)
	var lines []*line
	for scanner.Scan() {
		if parsed := parse(scanner.Bytes()); parsed != nil {
			lines = append(lines, parsed)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "read the logs")
}

// parse returns nil for what is no log line.
func parse(text []byte) *line {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return nil
	}
	parsed := &line{}
	if json.Unmarshal(text[start:], &parsed.fields) != nil {
		return nil
	}
	at, err := time.Parse(timeLayout, parsed.word("time"))
	if err != nil {
		return nil
	}
	parsed.at, parsed.node, parsed.text = at, parsed.word("node"), parsed.word("message")
	return parsed
}

func ofRequest(lines []*line, request string) []*line {
	var own []*line
	for _, candidate := range lines {
		if candidate.word("request") == request {
			own = append(own, candidate)
		}
	}
	return own
}

// subjects are what the request's lines name, by field.
var subjects = []string{"server", "model"}

// beliefs are the lines, near the request in time, about what its lines name,
// and those about holders, dependencies and the configuration.
func beliefs(lines, own []*line) []*line {
	first, last := span(own)
	named := map[string]bool{}
	for _, told := range own {
		for _, subject := range subjects {
			if word := told.word(subject); word != "" {
				named[subject+"="+word] = true
			}
		}
	}
	var found []*line
	for _, candidate := range lines {
		near := !candidate.at.Before(first.Add(-before)) && !candidate.at.After(last.Add(after))
		if near && candidate.word("request") == "" && relevant(candidate, named) {
			found = append(found, candidate)
		}
	}
	return found
}

func relevant(candidate *line, named map[string]bool) bool {
	for _, subject := range subjects {
		if named[subject+"="+candidate.word(subject)] {
			return true
		}
	}
	_, aboutServer := candidate.fields["server"]
	return !aboutServer
}

// span is from the acceptance of the request to its last line.
func span(own []*line) (first, last time.Time) {
	first, last = own[0].at, own[0].at
	for _, told := range own {
		begun := told.at
		if took, known := told.fields["took_ms"].(float64); known {
			begun = begun.Add(-time.Duration(took * float64(time.Millisecond)))
		}
		if begun.Before(first) {
			first = begun
		}
		if told.at.After(last) {
			last = told.at
		}
	}
	return first, last
}

// hidden fields are told elsewhere in a line, or are the same in all of them.
var hidden = map[string]bool{"time": true, "node": true, "message": true, "level": true, "request": true}

func (l *line) describe() string {
	var names []string
	for name := range l.fields {
		if !hidden[name] {
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

// conclusion is one sentence from the request's last line, and from a pause of
// its node.
func conclusion(own, story []*line) string {
	last := own[0]
	for _, told := range own {
		if told.text == "request ended" {
			last = told
		}
	}
	code := last.word("code")
	if code == "" {
		return "=> the request's end is not in these logs"
	}
	text := fmt.Sprintf("=> ended at %s with %s after %v attempts (ran: %s)", last.node, code, last.fields["attempts"], last.word("ran"))
	if reason := last.word("reason"); reason != "" {
		text += ": " + reason
	}
	if able, known := last.fields["able"].(float64); known && able == 0 && code != "ok" {
		text += "; no server held what it needs"
	}
	for _, told := range story {
		if told.text == "process was paused" && told.node == last.node {
			text += fmt.Sprintf("; its node was paused for %v ms until %s", told.fields["paused_ms"], told.at.Format("15:04:05.000"))
		}
	}
	return text
}
