package forward

import (
	"context"
	"io"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

// The streams without IDs of a pool that sends both kinds were broken for good after 8 with IDs.
func TestMinorityOfStreamsWithoutIDsIsServed(t *testing.T) {
	for _, route := range []string{"stream", "patient"} {
		t.Run(route, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				for range 6 {
					serveStreams(b, route, 9, raw(events(1, 3)...))
					b.backend.attempts = nil
					Expect(serveStreams(b, route, 1, raw("data: a\n\n", "data: b\n\n"))).To(HaveEach(result.OK))
					Expect(b.backend.servers()).To(HaveLen(1))
				}
			})
		})
	}
}

// Streams without IDs were broken because streams of another route of the pool have IDs.
func TestStreamsOfAnotherRouteRequireNoIDs(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		serveStreams(b, "patient", 2*minStreamsWithIDs, raw(events(1, 3)...))
		Expect(serveStreams(b, "stream", 2, raw("data: a\n\n", "data: b\n\n"))).To(HaveEach(result.OK))
	})
}

// Where streams of both kinds were sent in turn, the first event of each without IDs waited for the second.
func TestFirstEventOfAKnownMinorityDoesNotWait(t *testing.T) {
	const pause = 300 * time.Millisecond
	inVirtualTime(t, func(b *testbed) {
		for number := range 6 {
			serveStreams(b, "stream", 1, raw(events(1, 2)...))
			b.inTurn(streams([]string{"data: a\n\n", "data: b\n\n", "data: c\n\n"}, pause, io.EOF))
			seen := &writeTimes{last: time.Now()}
			b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), seen)
			if number > 0 {
				Expect(seen.pauses).To(Equal([]time.Duration{pause, pause, pause}))
			}
		}
	})
}

// Three streams of foreign data from one server ended the check, and those that followed were passed on.
func TestOneServersForeignStreamsAreNeverPassedOn(t *testing.T) {
	foreign := raw("data: foreign\n\n")
	for name, faulty := range map[string]answerFunc{"foreign data only": foreign, "one good stream in three": inThrees(raw(events(1, 3)...), foreign)} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				serveStreams(b, "stream", 20, raw(events(1, 3)...))
				b.backend.answer["m1"], b.backend.answer["m2"] = faulty, raw(events(1, 3)...)
				b.backend.attempts = nil
				broken := 0
				for range 200 {
					outcome, seen := serveStream(b, "stream", "")
					Expect(seen.body.String()).To(BeElementOf("", strings.Join(events(1, 3), "")))
					if outcome.Code != result.OK {
						broken++
					}
					time.Sleep(time.Second)
				}
				Expect(broken).To(BeNumerically(">", minStreamsWithoutIDs))
			})
		})
	}
}

// inThrees gives the first answer to the first of three attempts, and the second to the others.
func inThrees(first, others answerFunc) answerFunc {
	number := 0
	return func(ctx context.Context, attempt Attempt) (*Reply, error) {
		number++
		if number%3 == 1 {
			return first(ctx, attempt)
		}
		return others(ctx, attempt)
	}
}

// Guards against streams being broken for good after a release of a pool's only server.
func TestOnlyServerWhoseStreamsLoseTheirIDsServesThem(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.view.ReplaceServers(map[string]*fleet.Server{"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"}})
		serveStreams(b, "stream", 20, raw(events(1, 3)...))
		codes := serveStreams(b, "stream", minConsecutiveWithoutIDs+2, raw("data: a\n\n"))
		Expect(codes[:minConsecutiveWithoutIDs]).To(HaveEach(result.OutcomeUnknown))
		Expect(codes[minConsecutiveWithoutIDs:]).To(HaveEach(result.OK))
	})
}

// A stream without IDs that paused after its first event was cancelled, as another server could begin it again:
// with a pause there each time, nothing reached the caller.
func TestPauseAfterTheFirstEventWithoutIDCancelsNothing(t *testing.T) {
	for _, pause := range []time.Duration{1700 * time.Millisecond, 1900 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				for range 4 {
					b.backend.attempts = nil
					b.inTurn(timed([]time.Duration{10 * time.Millisecond, pause, time.Millisecond}, "data: a\n\n", "data: b\n\n", "data: c\n\n"))
					began := time.Now()
					outcome, seen := serveStream(b, "patient", "")
					Expect(outcome.Code).To(Equal(result.OK))
					Expect(seen.body.String()).To(Equal("data: a\n\ndata: b\n\ndata: c\n\n"))
					Expect(b.backend.servers()).To(HaveLen(1))
					Expect(time.Since(began)).To(BeNumerically("<", pause+100*time.Millisecond))
				}
			})
		})
	}
}

// timed answers with the parts of a stream, each after its pause.
func timed(pauses []time.Duration, parts ...string) answerFunc {
	return func(ctx context.Context, _ Attempt) (*Reply, error) {
		at, total := make([]time.Duration, len(pauses)), time.Duration(0)
		for i, pause := range pauses {
			total += pause
			at[i] = total
		}
		return &Reply{Status: 200, Events: true, Body: &timedBody{scriptedBody: scriptedBody{ctx: ctx, parts: parts, err: io.EOF}, at: at}}, nil
	}
}

// Streams without IDs that broke after their first event weren't recorded, so that each later one waited, too.
func TestBrokenStreamWithoutIDsIsRecorded(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.inTurn(streams([]string{"data: a\n\n"}, time.Millisecond, io.ErrUnexpectedEOF))
		serveStream(b, "stream", "")
		Expect(b.forwarder.streamIDs.of(streamKey{"stream", modelPool}).ids.optional()).To(BeTrue())
	})
}

// A caller's odd Last-Event-Id made good servers fail: their IDs were compared with its form, so that both attempts
// were broken.
func TestCallersLastEventIDDoesNotDecideTheFormOfIDs(t *testing.T) {
	for name, test := range map[string]struct {
		resumeAfter string
		parts       []string
	}{
		"a prefix":  {"5", []string{"id: tok-6\ndata: x\n\n", "id: tok-7\ndata: x\n\n"}},
		"no number": {"5", []string{"id: x\ndata: x\n\n", ": ping\n\n", "id: y\ndata: x\n\n", "id: z\ndata: x\n\n"}},
		"no data":   {"5", []string{"id: tok-6\n\n", "id: tok-7\ndata: x\n\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(raw(test.parts...))
				outcome, seen := serveStream(b, "patient", test.resumeAfter)
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(b.backend.servers()).To(HaveLen(1))
				Expect(seen.body.String()).To(Equal(strings.Join(test.parts, "")))
			})
		})
	}
}

// Guards against foreign data that is passed on because the caller's Last-Event-Id leaves the form of IDs open.
func TestForeignIDAfterTheCallersIsNotPassedOn(t *testing.T) {
	foreign := "id: zz9\ndata: foreign\n\n"
	for name, parts := range map[string][]string{
		"alone":                   {foreign},
		"before a comment":        {foreign, ": ping\n\n"},
		"before a comment, event": append([]string{foreign, ": ping\n\n"}, events(3, 6)...),
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(raw(parts...), raw(events(3, 6)...))
				outcome, seen := serveStream(b, "patient", "2")
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(seen.body.String()).To(Equal(strings.Join(events(3, 6), "")))
			})
		})
	}
}

// Comments behind a held event took 30 times their length of memory.
func TestHeldCommentsTakeLittleMoreThanTheirLength(t *testing.T) {
	RegisterTestingT(t)
	stream := newEventStream(request("stream", "m", time.Second), testRoutes()[0])
	segment := stream.newSegment()
	_, err := segment.acceptAll([][]byte{[]byte("id: 1\n\n")}, false)
	Expect(err).NotTo(HaveOccurred())
	before := heapBytes()
	const comment = ":\n\n"
	for range maxEventBytes/len(comment) - 3 {
		_, err := segment.acceptAll([][]byte{[]byte(comment)}, false)
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(heapBytes() - before).To(BeNumerically("<", 3*maxEventBytes))
	for err == nil {
		_, err = segment.acceptAll([][]byte{[]byte(comment)}, false)
	}
	Expect(err).To(MatchError(errEventTooLong))
	runtime.KeepAlive(segment)
}

// heapBytes is the size of the objects in use.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// Guards against a few streams without IDs that end the check for good, and against rare faults of several servers
// that add up.
func TestStreamsWithoutIDsAreForgotten(t *testing.T) {
	RegisterTestingT(t)
	learned, key := newStreamIDs(), streamKey{"stream", modelPool}
	record := func(count int, server string, hasIDs bool) {
		for range count {
			learned.record(key, server, hasIDs)
		}
	}
	record(1, "m1", false)
	record(streamIDMemory-1, "m2", true)
	Expect(learned.of(key).ids.optional()).To(BeTrue())
	record(1, "m2", true)
	Expect(learned.of(key).ids.required).To(BeTrue())
	for _, server := range []string{"m1", "m2", "m3", "m4"} {
		record(minStreamsWithoutIDs-1, server, false)
		record(streamIDMemory, "m5", true)
	}
	Expect(learned.of(key).ids.required).To(BeTrue())
	for _, server := range []string{"m1", "m2", "m3"} {
		record(1, server, false)
		record(streamIDMemory-1, "m5", true)
	}
	Expect(learned.of(key).ids.required).To(BeFalse())
}

// Guards against memory that grows with the routes and pools of past configurations.
func TestLearnedStreamIDsAreBounded(t *testing.T) {
	RegisterTestingT(t)
	learned := newStreamIDs()
	for number := range 2 * maxStreamKeys {
		learned.record(streamKey{strconv.Itoa(number), modelPool}, "m1", true)
	}
	Expect(len(learned.history)).To(BeNumerically("<=", maxStreamKeys))
}

// Servers whose streams have no IDs failed for a caller that sends a Last-Event-Id all the same.
func TestCallersLastEventIDRequiresNoIDs(t *testing.T) {
	unnamed := []string{"data: a\n\n", "data: b\n\n"}
	inVirtualTime(t, func(b *testbed) {
		serveStreams(b, "patient", 1, raw(unnamed...))
		b.backend.attempts = nil
		b.inTurn(raw(unnamed...))
		outcome, seen := serveStream(b, "patient", "5")
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(seen.body.String()).To(Equal(strings.Join(unnamed, "")))
		Expect(b.backend.servers()).To(HaveLen(1))
	})
}

// Guards against foreign data that passes since the caller sent the ID and the route has streams without IDs.
func TestForeignDataAfterTheCallersIDIsNotPassedOnWithEvents(t *testing.T) {
	for name, parts := range map[string][]string{
		"after a repetition": append(events(1, 2), "data: foreign\n\n"),
		"after an event":     append(events(3, 3), "data: foreign\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				serveStreams(b, "patient", 1, raw("data: a\n\n"))
				b.inTurn(raw(parts...))
				_, seen := serveStream(b, "patient", "2")
				Expect(seen.body.String()).NotTo(ContainSubstring("foreign"))
			})
		})
	}
}

// Guards against foreign data that reaches its caller as a whole stream or its beginning, on a route whose IDs are
// known to be decimal numbers.
func TestForeignIDsThatOpenAStreamOfAKnownRouteAreNotPassedOn(t *testing.T) {
	foreign := func(id string) string { return "id: " + id + "\ndata: foreign\n\n" }
	for name, parts := range map[string][]string{
		"alone":               {foreign("zz9")},
		"alone, no data":      {"id: zz9\n\n"},
		"two":                 append([]string{foreign("zz8"), foreign("zz9")}, events(1, 6)...),
		"two and a comment":   append([]string{foreign("-7"), ": ping\n\n", foreign("4e9")}, events(1, 6)...),
		"a hexadecimal ID":    append([]string{foreign("0a")}, events(11, 12)...),
		"before foreign data": append([]string{foreign("4.5"), "data: foreign\n\n"}, events(1, 6)...),
	} {
		for _, route := range []string{"stream", "patient"} {
			t.Run(name+", "+route, func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					serveStreams(b, route, minStreamsWithIDs, raw(events(1, 3)...))
					b.backend.attempts = nil
					b.inTurn(raw(parts...), raw(events(1, 6)...))
					outcome, seen := serveStream(b, route, "")
					if route == "patient" {
						Expect(outcome.Code).To(Equal(result.OK))
						Expect(seen.body.String()).To(Equal(strings.Join(events(1, 6), "")))
						return
					}
					Expect(outcome.Code).To(Equal(result.OutcomeUnknown))
					Expect(seen.begun).To(BeZero())
				})
			})
		}
	}
}

// A stream that a foreign ID opened ended as a whole one, on a route that is known to have opaque IDs.
func TestStreamBehindAForeignOpeningIDDoesNotEndAsWhole(t *testing.T) {
	for _, id := range []string{"zz9", "-7", "4.5", "4e9", "0x9"} {
		t.Run(id, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				serveStreams(b, "stream", 2, raw("id: tok-5\ndata: x\n\n", "id: tok-6\ndata: x\n\n"))
				b.inTurn(raw(append([]string{"id: " + id + "\ndata: foreign\n\n"}, events(1, 3)...)...))
				outcome, seen := serveStream(b, "stream", "")
				Expect(outcome.Broken).To(BeTrue(), "the stream looks complete")
				Expect(seen.body.String()).NotTo(ContainSubstring("data: x"))
			})
		})
	}
}

// Guards against streams being broken for good after a release that changes the form of their IDs.
func TestRouteWhoseIDsChangeTheirFormServesThem(t *testing.T) {
	opaque := raw("id: tok-5\ndata: x\n\n", "id: tok-6\ndata: x\n\n")
	for name, only := range map[string]bool{"several servers": false, "only server": true} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				lost := minStreamsWithoutIDs
				if only {
					b.view.ReplaceServers(map[string]*fleet.Server{"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"}})
					lost = minConsecutiveWithoutIDs
				}
				serveStreams(b, "stream", minStreamsWithIDs, raw(events(1, 3)...))
				codes := serveStreams(b, "stream", lost+4, opaque)
				Expect(codes[:lost]).To(HaveEach(result.OutcomeUnknown))
				Expect(codes[lost:]).To(HaveEach(result.OK))
				Expect(serveStreams(b, "stream", 20, raw(events(1, 3)...))).To(HaveEach(result.OK))
				Expect(serveStreams(b, "stream", 2, opaque)).To(HaveEach(result.OK), "opaque IDs are not forgotten yet")
			})
		})
	}
}

// Guards against foreign openings of several servers that end the check: the decimal number behind them shows that
// the route's form is the same as before.
func TestForeignOpeningsOfAllServersAreNeverPassedOn(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		serveStreams(b, "stream", minStreamsWithIDs, raw(events(1, 3)...))
		for range 2 * minConsecutiveWithoutIDs {
			b.inTurn(raw(append([]string{"id: zz9\ndata: foreign\n\n"}, events(1, 3)...)...))
			outcome, seen := serveStream(b, "stream", "")
			Expect(outcome.Code).To(Equal(result.OutcomeUnknown))
			Expect(seen.begun).To(BeZero())
		}
	})
}

// Guards against first events that wait for the next one in each stream of a route with opaque IDs.
func TestFirstOpaqueIDOfAKnownRouteDoesNotWait(t *testing.T) {
	const pause = 100 * time.Millisecond
	parts := []string{"id: tok-5\ndata: x\n\n", "id: tok-6\ndata: x\n\n", "id: tok-7\ndata: x\n\n"}
	inVirtualTime(t, func(b *testbed) {
		for _, pauses := range [][]time.Duration{{2 * pause, pause}, {pause, pause, pause}, {pause, pause, pause}} {
			b.inTurn(streams(parts, pause, io.EOF))
			seen := &writeTimes{last: time.Now()}
			outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), seen)
			Expect(outcome.Code).To(Equal(result.OK))
			Expect(seen.pauses).To(Equal(pauses))
		}
	})
}

// Guards against opaque streams that never reach their caller, since each pauses after the first event.
func TestOpaqueStreamsThatPauseAfterTheFirstEventAreServed(t *testing.T) {
	parts := []string{"id: tok-5\ndata: x\n\n", "id: tok-6\ndata: x\n\n"}
	paused := timed([]time.Duration{time.Millisecond, 1700 * time.Millisecond}, parts...)
	inVirtualTime(t, func(b *testbed) {
		for range 4 {
			b.backend.attempts = nil
			b.inTurn(paused)
			outcome, seen := serveStream(b, "patient", "")
			Expect(outcome.Code).To(Equal(result.OK))
			Expect(seen.body.String()).To(Equal(strings.Join(parts, "")))
		}
	})
}
