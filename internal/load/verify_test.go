package load_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/checker"
	"github.com/hatchplank/hatchplank/internal/load"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

const testNode = "127.0.0.1:18080"

// second returns a time of the run.
func second(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// tryOf is a keyed try from one second to another, with a limit of ten.
func tryOf(from, to float64, end load.Outcome) load.TryRecord {
	return load.NewTry("load-x-1-0", testNode, "key", second(from), second(from+10), second(to), end)
}

func nodeEvent(at float64, kind load.NodeEventKind) load.NodeEvent {
	return load.NodeEvent{At: second(at), Kind: kind, Node: testNode}
}

func runOf(at float64, server string) record.Event {
	return record.Event{
		At: second(at), Kind: record.KindBackEndRun, RequestID: "load-x-1-0.added-by-the-node", Key: "key",
		Attempt: testNode + "#abc/1", Reason: server,
	}
}

// judgement is the violations by promise and the tries lost with a node.
type judgement struct {
	violations map[string]uint64
	lost       uint64
}

func judge(tries []load.TryRecord, events []load.NodeEvent, records []record.Event) judgement {
	found := load.Judge(tries, events, records)
	judged := judgement{violations: map[string]uint64{}, lost: found.LostWithNode}
	for name, promise := range found.Promises {
		if promise.Violations > 0 {
			judged.violations[name] = promise.Violations
		}
	}
	return judged
}

var _ = DescribeTable("what a run is held against",
	func(try load.TryRecord, events []load.NodeEvent, records []record.Event, broken checker.Promise, lost int) {
		judged := judge([]load.TryRecord{try}, events, records)
		expected := map[string]uint64{}
		if broken != nothingBroken {
			expected[broken.String()] = 1
		}
		Expect(judged.violations).To(Equal(expected))
		Expect(judged.lost).To(BeEquivalentTo(lost))
	},
	Entry("an answer in time", tryOf(0, 9, load.ServedOutcome), nil, nil, nothingBroken, 0),
	Entry("a late answer", tryOf(0, 10.2, load.ServedOutcome), nil, nil, checker.PromiseAnswered, 0),
	Entry("another request's answer", tryOf(0, 1, load.MismatchedOutcome), nil, nil,
		checker.PromiseOwnAnswer, 0),
	Entry("a late answer after a pause", tryOf(0, 16, load.ServedOutcome),
		[]load.NodeEvent{nodeEvent(1, load.NodePaused), nodeEvent(16, load.NodeResumed)}, nil, nothingBroken, 0),
	Entry("an answer that is late even after a pause", tryOf(0, 16.5, load.ServedOutcome),
		[]load.NodeEvent{nodeEvent(1, load.NodePaused), nodeEvent(16, load.NodeResumed)}, nil, checker.PromiseAnswered, 0),
	Entry("no answer", tryOf(0, 13, load.TimeoutOutcome), nil, nil, checker.PromiseAnswered, 0),
	Entry("no answer though the node was killed while the caller waited on", tryOf(0, 13, load.TimeoutOutcome),
		[]load.NodeEvent{nodeEvent(12, load.NodeKilled)}, nil, checker.PromiseAnswered, 0),
	Entry("a connection cut by a living node", tryOf(0, 1, load.CutOutcome), nil, nil, checker.PromiseAnswered, 0),
	Entry("a connection cut by a death before", tryOf(5, 6, load.CutOutcome),
		[]load.NodeEvent{nodeEvent(1, load.NodeKilled), nodeEvent(2, load.NodeStarting), nodeEvent(3, load.NodeReady)}, nil, checker.PromiseAnswered, 0),
	Entry("a connection cut by a death", tryOf(0, 1, load.CutOutcome), []load.NodeEvent{nodeEvent(0.5, load.NodeKilled)}, nil, nothingBroken, 1),
	Entry("a connection cut by a planned stop", tryOf(0, 1, load.CutOutcome), []load.NodeEvent{nodeEvent(0.5, load.NodeStopping)}, nil,
		checker.PromisePlannedStop, 1),
	Entry("an accepted request turned away by a planned stop", tryOf(0, 1, load.DrainingOutcome),
		[]load.NodeEvent{nodeEvent(0.5, load.NodeStopping)}, nil, checker.PromisePlannedStop, 0),
	Entry("a new request turned away by a planned stop", tryOf(1, 2, load.DrainingOutcome),
		[]load.NodeEvent{nodeEvent(0.5, load.NodeStopping)}, nil, nothingBroken, 0),
	Entry("no connection to a living node", tryOf(0, 1, load.UndialedOutcome), nil, nil, checker.PromiseAnswered, 0),
	Entry("no connection to a dead node", tryOf(1, 2, load.UndialedOutcome), []load.NodeEvent{nodeEvent(0.5, load.NodeKilled)}, nil, nothingBroken, 0),
	Entry("a run refused as not run", tryOf(0, 1, load.NotRunOutcome), nil, []record.Event{runOf(0.5, "a")}, checker.PromiseNotRun, 0),
	Entry("a run refused as unknown", tryOf(0, 1, load.UnknownOutcome), nil, []record.Event{runOf(0.5, "a")}, nothingBroken, 0),
	Entry("a key that ran twice", tryOf(0, 1, load.ServedOutcome), nil, []record.Event{runOf(0.5, "a"), runOf(0.6, "b")},
		checker.PromiseOnce, 0),
)

var _ = It("finds served answers that no record shows", func() {
	tries := []load.TryRecord{tryOf(0, 1, load.ServedOutcome)}
	Expect(load.Judge(tries, nil, []record.Event{runOf(0.5, "a")}).ServedWithoutRun).To(BeZero())
	Expect(load.Judge(tries, nil, nil).ServedWithoutRun).To(Equal(1))
})

// nothingBroken stands for no promise.
const nothingBroken = checker.Promise(255)

var _ = DescribeTable("events of nodes that are refused", func(content string) {
	_, err := load.DecodeNodeEvents([]byte(content))
	Expect(err).To(HaveOccurred())
},
	Entry("no JSON", "killed"),
	Entry("an unknown kind", `{"at":"2026-01-01T00:00:00Z","kind":"hurt","node":"127.0.0.1:1"}`),
	Entry("no time", `{"kind":"killed","node":"127.0.0.1:1"}`),
	Entry("no node", `{"at":"2026-01-01T00:00:00Z","kind":"killed"}`),
)

var _ = It("reads events of nodes", func() {
	events, err := load.DecodeNodeEvents([]byte(`{"at":"2026-01-01T00:00:00.5Z","kind":"killed","node":"127.0.0.1:1"}` + "\n\n"))
	Expect(err).NotTo(HaveOccurred())
	Expect(events).To(Equal([]load.NodeEvent{{At: time.Date(2026, 1, 1, 0, 0, 0, 500_000_000, time.UTC), Kind: load.NodeKilled, Node: "127.0.0.1:1"}}))
})
