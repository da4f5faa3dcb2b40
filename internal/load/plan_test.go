package load

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func planOf(seed uint64) []plannedRequest {
	plan := newPlan(Options{
		Nodes: []string{"a", "b"}, Rate: 100, Duration: 10 * time.Second, MaxRequests: 500, Seed: seed, RunID: "fixed",
		Workload: Workload{
			Models:        []ModelShare{{Name: "m", Weight: 3, MaxTokens: 8, PromptBytes: 50}, {Name: "n", Weight: 1, MaxTokens: 8, PromptBytes: 90}},
			Pools:         []PoolShare{{Name: "p", Weight: 1, Path: "/enrol"}},
			NonRepeatable: 0.2, Streamed: 0.5,
		},
	})
	var requests []plannedRequest
	for {
		request, more := plan.next()
		if !more {
			return requests
		}
		requests = append(requests, request)
	}
}

// TestPlan checks that a seed decides a run's plan, and that the plan keeps its
// bounds.
func TestPlan(t *testing.T) {
	first := planOf(1)
	if !reflect.DeepEqual(first, planOf(1)) {
		t.Error("the same seed gave another plan")
	}
	if reflect.DeepEqual(first, planOf(2)) {
		t.Error("another seed gave the same plan")
	}
	if len(first) != 500 || !slices.IsSortedFunc(first, func(a, b plannedRequest) int { return int(a.at - b.at) }) {
		t.Errorf("%d requests, or not in order of time", len(first))
	}
	keys := map[string]bool{}
	for _, request := range first {
		if request.key != "" {
			keys[request.key] = true
		}
	}
	if len(keys) < 60 || len(keys) > 140 {
		t.Errorf("%d of 500 requests are non-repeatable, want about 100", len(keys))
	}
}

// TestRecorderLimit checks that a request above the limit counts as not sent.
func TestRecorderLimit(t *testing.T) {
	recorder := newRecorder(1)
	if !recorder.begin(1, 0) || recorder.begin(1, 0) {
		t.Fatal("the limit of 1 does not hold")
	}
	recorder.end(outcome{kind: outcomeServed, tries: 3, late: true, firstChunk: time.Millisecond, total: 2 * time.Millisecond})
	report, inFlight := recorder.snapshot(time.Second)
	if inFlight != 0 || report.Planned != 2 || report.Sent != 1 || report.NotSent != 1 || report.Repeated != 2 || report.Late != 1 {
		t.Errorf("%d in flight, %+v", inFlight, report)
	}
	if report.FirstChunk.P50 != 1 || report.Faultless() {
		t.Errorf("first chunk %s, faultless %t", report.FirstChunk, report.Faultless())
	}
}
