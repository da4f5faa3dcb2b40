package gateway

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

// discard is a responder that ignores all calls.
type discard struct{}

func (discard) Chunk(outside.Chunk)   {}
func (discard) Finish(Answer)         {}
func (discard) Refuse(result.Refusal) {}

func warmHarness(batch int) *harness {
	h := newHarness(1, Limits{QueueLength: 1 << 20, Waiting: 1 << 20})
	h.warm(batch, "s1", "s2", "s3", "s4")
	return h
}

// BenchmarkRequest measures one request with three chunks from Submit to Finish,
// including the cost of the fakes and the virtual clock.
func BenchmarkRequest(bm *testing.B) {
	h := warmHarness(64)
	request := h.generation(time.Second)
	bm.ReportAllocs()
	for bm.Loop() {
		request.Accepted = h.loop.Now()
		request.Deadline = request.Accepted.Add(time.Second)
		h.gateway.Submit(request, discard{})
		h.loop.RunFor(2 * time.Millisecond)
		h.engines.calls = h.engines.calls[:0]
	}
}

// BenchmarkChunk measures relaying one chunk.
func BenchmarkChunk(bm *testing.B) {
	h := warmHarness(64)
	var call *engineCall
	h.engines.serve = func(started *engineCall) { call = started }
	h.gateway.Submit(h.generation(time.Hour), discard{})
	h.loop.RunFor(2 * time.Millisecond)
	chunk := outside.Chunk{Attempt: call.request.Attempt, Text: " token", Tokens: 1}
	bm.ReportAllocs()
	for bm.Loop() {
		call.sink.Chunk(chunk)
		chunk.Index++
	}
	bm.ReportMetric(float64(bm.N)/bm.Elapsed().Seconds(), "chunks/s")
}

// BenchmarkWaiting measures the memory of a waiting request without its body, and
// the cost of queueing and cancelling one more when 100,000 wait.
func BenchmarkWaiting(bm *testing.B) {
	const waiting = 100_000
	h := warmHarness(1)
	h.engines.serve = func(*engineCall) {}
	before := heapInUse()
	for index := range waiting {
		request := h.generation(time.Hour + time.Duration(index%1000)*time.Millisecond)
		request.ID = fmt.Sprintf("request-%d", index)
		h.gateway.Submit(request, discard{})
	}
	perRequest := float64(heapInUse()-before) / waiting
	request := h.generation(2 * time.Hour)
	bm.ReportAllocs()
	for bm.Loop() {
		h.gateway.Submit(request, discard{})()
	}
	bm.ReportMetric(perRequest, "B/waiting")
	if perRequest > 20<<10 {
		bm.Fatalf("a waiting request takes %.0f bytes", perRequest)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
