package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// NodeEventKind is what happened to a node's process.
type NodeEventKind string

// The kinds of NodeEvent.
const (
	// NodeStarting: a new process is about to be started.
	NodeStarting NodeEventKind = "starting"
	// NodeReady: the new process is ready.
	NodeReady NodeEventKind = "ready"
	// NodeKilled: the process is about to be killed.
	NodeKilled NodeEventKind = "killed"
	// NodeStopping: the process is about to be told to stop in order.
	NodeStopping NodeEventKind = "stopping"
	// NodePaused and NodeResumed: the process stands still from here to there.
	NodePaused  NodeEventKind = "paused"
	NodeResumed NodeEventKind = "resumed"
)

var nodeEventKinds = []NodeEventKind{NodeStarting, NodeReady, NodeKilled, NodeStopping, NodePaused, NodeResumed}

// NodeEvent tells what whoever runs the nodes did to one of them. Without it,
// a connection that breaks is held against the node.
type NodeEvent struct {
	At   time.Time     `json:"at"`
	Kind NodeEventKind `json:"kind"`
	// Node is the host and port at which the node serves callers, which must
	// also be its name.
	Node string `json:"node"`
}

// ReadNodeEvents reads a file of events, one JSON document a line.
func ReadNodeEvents(path string) ([]NodeEvent, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read events of nodes")
	}
	return DecodeNodeEvents(content)
}

// DecodeNodeEvents decodes events, one JSON document a line.
func DecodeNodeEvents(content []byte) ([]NodeEvent, error) {
	var events []NodeEvent
	lines := bufio.NewScanner(bytes.NewReader(content))
	for number := 1; lines.Scan(); number++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var event NodeEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return nil, eris.Wrapf(err, "events of nodes: line %d", number)
		}
		if event.At.IsZero() || event.Node == "" || !slices.Contains(nodeEventKinds, event.Kind) {
			return nil, eris.Errorf("events of nodes: line %d: at, kind or node is not valid", number)
		}
		events = append(events, event)
	}
	return events, eris.Wrap(lines.Err(), "events of nodes")
}

// nodeLives knows which process of a node lived when.
type nodeLives struct {
	starts map[string][]time.Time
	// down spans reach from the end's announcement to the next readiness.
	down map[string][]downSpan
}

// downSpan is a time in which a node's process ends and the next one starts.
// A zero end means that it goes on.
type downSpan struct {
	from, to time.Time
}

// newNodeLives needs the events in order of time.
func newNodeLives(events []NodeEvent) nodeLives {
	lives := nodeLives{starts: map[string][]time.Time{}, down: map[string][]downSpan{}}
	for _, event := range events {
		spans := lives.down[event.Node]
		switch event.Kind {
		case NodeStarting:
			lives.starts[event.Node] = append(lives.starts[event.Node], event.At)
		case NodeKilled, NodeStopping:
			lives.down[event.Node] = append(spans, downSpan{from: event.At})
		case NodeReady:
			if len(spans) > 0 && spans[len(spans)-1].to.IsZero() {
				spans[len(spans)-1].to = event.At
			}
		}
	}
	return lives
}

// generation counts the starts of a node up to a time; 0 without any.
func (l nodeLives) generation(node string, at time.Time) int {
	count := 0
	for _, start := range l.starts[node] {
		if !start.After(at) {
			count++
		}
	}
	return count
}

// wasDown reports whether a node's process ended or was not there at some time
// between two.
func (l nodeLives) wasDown(node string, from, to time.Time) bool {
	for _, span := range l.down[node] {
		if !span.from.After(to) && (span.to.IsZero() || !span.to.Before(from)) {
			return true
		}
	}
	return false
}
