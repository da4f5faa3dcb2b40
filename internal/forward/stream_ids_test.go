package forward

import (
	"context"
	"io"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/result"
)

// Streams without IDs were served on streaming routes where some servers, or all, sent them. Each event of such a route
// has an ID.
func TestStreamsWithoutIDsAreBrokenWhateverTheirShare(t *testing.T) {
	for name, good := range map[string]int{"one in ten": 9, "half": 1, "all": 0} {
		for _, route := range streamRoutes {
			t.Run(name+", "+route, func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					for range 20 {
						Expect(serveStreams(b, route, good, raw(events(1, 3)...))).NotTo(ContainElement(Not(Equal(result.OK))))
						b.inTurn(raw("data: a\n\n", "data: b\n\n"))
						outcome, seen := serveStream(b, route, "")
						Expect(outcome.Code).To(Equal(result.OutcomeUnknown))
						Expect(seen.begun).To(BeZero())
						time.Sleep(5 * time.Second)
					}
				})
			})
		}
	}
}

// Guards against the contract of streaming routes being applied to other routes, whose streams may be of other systems.
func TestStreamsOfRoutesOfAnotherKindPassAsTheyAre(t *testing.T) {
	for name, parts := range map[string][]string{
		"no IDs": {"data: a\n\n", "data: b\n\n", "event: done\n\n"}, "one event": {"data: a\n\n"}, "no event": {": nothing\n\n"}, "empty": nil,
		"a mark at the end": append(events(1, 3), "data: [DONE]\n\n"), "other fields": {"foo: bar\nbaz: qux\n\n"}, "no field": {"foreign\n\n"},
		"pings": {"event: ping\n\n", "data: a\n\n", "event: ping\n\n"}, "opaque and decimal IDs": append([]string{"id: zz9\ndata: x\n\n"}, events(1, 3)...),
	} {
		for _, route := range []string{"repeat", "once"} {
			t.Run(name+", "+route, func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					b.inTurn(raw(parts...))
					outcome, seen := serveStream(b, route, "")
					Expect(outcome.Code).To(Equal(result.OK))
					Expect(seen.body.String()).To(Equal(strings.Join(parts, "")))
					Expect(b.backend.servers()).To(HaveLen(1))
				})
			})
		}
	}
}

// Guards against first events that wait for the next one: the form of IDs is declared, or may be any.
func TestFirstEventDoesNotWait(t *testing.T) {
	const pause = 100 * time.Millisecond
	opaque := []string{"id: tok-5\ndata: x\n\n", "id: tok-6\ndata: x\n\n", "id: tok-7\ndata: x\n\n"}
	for name, test := range map[string]struct {
		route string
		parts []string
	}{
		"declared": {"declared", events(1, 3)}, "decimal": {"stream", events(1, 3)}, "opaque": {"stream", opaque}, "opaque, resumable": {"patient", opaque},
		"no IDs on another route": {"repeat", []string{"data: a\n\n", "data: b\n\n", "data: c\n\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				for range 3 {
					b.inTurn(streams(test.parts, pause, io.EOF))
					seen := &writeTimes{last: time.Now()}
					outcome := b.forwarder.Serve(context.Background(), requestOn(test.route), seen)
					Expect(outcome.Code).To(Equal(result.OK))
					Expect(seen.pauses).To(Equal([]time.Duration{pause, pause, pause}))
				}
			})
		})
	}
}

// Three streams of foreign data from one server ended the check, and those that followed were passed on.
func TestOneServersForeignStreamsAreNeverPassedOn(t *testing.T) {
	foreign := raw("data: foreign\n\n")
	for name, faulty := range map[string]answerFunc{"foreign data only": foreign, "one good stream in three": inThrees(raw(events(1, 3)...), foreign)} {
		for _, route := range []string{"stream", "declared"} {
			t.Run(name+", "+route, func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					serveStreams(b, route, 20, raw(events(1, 3)...))
					b.backend.answer["m1"], b.backend.answer["m2"] = faulty, raw(events(1, 3)...)
					b.backend.attempts = nil
					broken := 0
					for range 200 {
						outcome, seen := serveStream(b, route, "")
						Expect(seen.body.String()).To(BeElementOf("", strings.Join(events(1, 3), "")))
						if outcome.Code != result.OK {
							broken++
						}
						time.Sleep(time.Second)
					}
					Expect(broken).To(BeNumerically(">", 3))
				})
			})
		}
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

// Foreign streams of a pool's servers changed what the node took for legal, in either direction.
func TestServersAreServedAgainAtOnceAfterForeignStreams(t *testing.T) {
	for _, route := range streamRoutes {
		t.Run(route, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				for range 40 {
					Expect(serveStreams(b, route, 1, raw("data: a\n\n"))).To(HaveEach(result.OutcomeUnknown))
					time.Sleep(5 * time.Second)
				}
				Expect(serveStreams(b, route, 20, raw(events(1, 3)...))).To(HaveEach(result.OK))
			})
		})
	}
}

// A stream without IDs that paused after its first event held its caller's request for the pause, and was passed on.
func TestStreamWithoutIDsIsBrokenAtItsFirstEvent(t *testing.T) {
	for _, route := range streamRoutes {
		t.Run(route, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(stallsAfter([]string{"data: a\n\n"}))
				began := time.Now()
				outcome, seen := serveStream(b, route, "")
				Expect(outcome.Code).To(Equal(result.OutcomeUnknown))
				Expect(seen.begun).To(BeZero())
				Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
			})
		})
	}
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
					outcome, seen := serveStream(b, "repeat", "")
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

// A caller's odd Last-Event-Id made good servers fail: their IDs were compared with its form, so that both attempts
// were broken.
func TestCallersLastEventIDDoesNotDecideTheFormOfIDs(t *testing.T) {
	for name, test := range map[string]struct {
		route, resumeAfter string
		parts              []string
	}{
		"a prefix":           {"patient", "5", []string{"id: tok-6\ndata: x\n\n", "id: tok-7\ndata: x\n\n"}},
		"no number":          {"patient", "5", []string{"id: x\ndata: x\n\n", ": ping\n\n", "id: y\ndata: x\n\n", "id: z\ndata: x\n\n"}},
		"no data":            {"patient", "5", []string{"id: tok-6\n\n", "id: tok-7\ndata: x\n\n"}},
		"letters":            {"declared-patient", "abc", events(1, 3)},
		"a prefix, declared": {"declared-patient", "tok-5", events(6, 8)},
		"a fraction":         {"declared-patient", "4.5", events(5, 8)},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(raw(test.parts...))
				outcome, seen := serveStream(b, test.route, test.resumeAfter)
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(b.backend.servers()).To(HaveLen(1))
				Expect(seen.body.String()).To(Equal(strings.Join(test.parts, "")))
				Expect(b.backend.attempts[0].ResumeAfter).To(Equal(test.resumeAfter), "the server is told")
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
		for _, route := range []string{"patient", "declared-patient"} {
			t.Run(name+", "+route, func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					b.inTurn(raw(parts...), raw(events(3, 6)...))
					outcome, seen := serveStream(b, route, "2")
					Expect(outcome.Code).To(Equal(result.OK))
					Expect(seen.body.String()).To(Equal(strings.Join(events(3, 6), "")))
				})
			})
		}
	}
}

// Comments behind a held event, or before a stream's first one, took 30 times their length of memory.
func TestHeldCommentsTakeLittleMoreThanTheirLength(t *testing.T) {
	for name, first := range map[string]string{"behind an event": "id: 1\n\n", "before the first": ":\n\n"} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			stream := newEventStream(request("stream", "m", time.Second), testRoute("stream"))
			segment := stream.newSegment()
			_, err := segment.acceptAll([][]byte{[]byte(first)}, false)
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
		})
	}
}

// heapBytes is the size of the objects in use.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// Servers without IDs were believed where a caller resumes a stream and the route has had streams without IDs.
func TestResumptionRequiresIDs(t *testing.T) {
	for _, route := range []string{"patient", "declared-patient"} {
		t.Run(route, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				serveStreams(b, route, 1, raw("data: a\n\n", "data: b\n\n"))
				b.backend.attempts = nil
				b.inTurn(raw("data: a\n\n", "data: b\n\n"), raw(events(6, 8)...))
				outcome, seen := serveStream(b, route, "5")
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(seen.body.String()).To(Equal(strings.Join(events(6, 8), "")))
				Expect(b.backend.servers()).To(HaveLen(2))
			})
		})
	}
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
// declared to be decimal numbers.
func TestForeignIDsThatOpenAStreamOfADeclaredRouteAreNotPassedOn(t *testing.T) {
	foreign := func(id string) string { return "id: " + id + "\ndata: foreign\n\n" }
	for name, parts := range map[string][]string{
		"alone":               {foreign("zz9")},
		"alone, no data":      {"id: zz9\n\n"},
		"two":                 append([]string{foreign("zz8"), foreign("zz9")}, events(1, 6)...),
		"two and a comment":   append([]string{foreign("-7"), ": ping\n\n", foreign("4e9")}, events(1, 6)...),
		"a hexadecimal ID":    append([]string{foreign("0a")}, events(11, 12)...),
		"a lower one":         append([]string{foreign("a")}, events(11, 12)...),
		"before foreign data": append([]string{foreign("4.5"), "data: foreign\n\n"}, events(1, 6)...),
		"a prefix":            {foreign("tok-5"), foreign("tok-6")},
		"other digits":        {foreign("\u0663")},
	} {
		for _, history := range []int{0, 20} {
			for _, route := range []string{"declared", "declared-patient"} {
				t.Run(name+", "+route, func(t *testing.T) {
					inVirtualTime(t, func(b *testbed) {
						serveStreams(b, route, history, raw(events(1, 3)...))
						b.backend.attempts = nil
						b.inTurn(raw(parts...), raw(events(1, 6)...))
						outcome, seen := serveStream(b, route, "")
						expectSoundStreamOrFailure(b, route, outcome, seen, strings.Join(events(1, 6), ""))
					})
				})
			}
		}
	}
}

// A stream that a foreign ID opened ended as a whole one, on a route that declares no form of IDs.
func TestStreamBehindAForeignOpeningIDDoesNotEndAsWhole(t *testing.T) {
	for _, id := range []string{"zz9", "-7", "4.5", "4e9", "0x9"} {
		t.Run(id, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(raw(append([]string{"id: " + id + "\ndata: foreign\n\n"}, events(1, 3)...)...))
				outcome, seen := serveStream(b, "stream", "")
				Expect(outcome.Broken).To(BeTrue(), "the stream looks complete")
				Expect(seen.body.String()).NotTo(ContainSubstring("data: x"))
			})
		})
	}
}

// Streams were broken after a release that changes the form of their IDs, on a route that declares none.
func TestUndeclaredRouteServesIDsOfAnyForm(t *testing.T) {
	opaque := raw("id: tok-5\ndata: x\n\n", "id: tok-6\ndata: x\n\n")
	inVirtualTime(t, func(b *testbed) {
		for range 3 {
			Expect(serveStreams(b, "stream", 20, raw(events(1, 3)...))).To(HaveEach(result.OK))
			Expect(serveStreams(b, "stream", 20, opaque)).To(HaveEach(result.OK))
		}
	})
}

// Guards against foreign openings of several servers that end the check.
func TestForeignOpeningsOfAllServersAreNeverPassedOn(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		for range 32 {
			b.inTurn(raw(append([]string{"id: zz9\ndata: foreign\n\n"}, events(1, 3)...)...))
			outcome, seen := serveStream(b, "declared", "")
			Expect(outcome.Code).To(Equal(result.OutcomeUnknown))
			Expect(seen.begun).To(BeZero())
			time.Sleep(5 * time.Second)
		}
	})
}

// Guards against opaque streams that never reach their caller, since each pauses after the first event.
func TestOpaqueStreamsThatPauseAfterTheFirstEventAreServed(t *testing.T) {
	parts := []string{"id: tok-5\ndata: x\n\n", "id: tok-6\ndata: x\n\n"}
	paused := timed([]time.Duration{time.Millisecond, 1500 * time.Millisecond}, parts...)
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

// The head and the comments of a server whose stream has no events reached the caller before those of another one,
// whose events followed.
func TestHeadOfAServerWithoutEventsIsNotPassedOn(t *testing.T) {
	for _, route := range streamRoutes {
		for name, first := range map[string]answerFunc{"foreign": raw(": first\n\n", foreignData), "cut": cutOff(": first\n\n"), "none": raw(": first\n\n")} {
			t.Run(name+", "+route, func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					b.inTurn(first, raw(slices.Concat([]string{": second\n\n"}, events(1, 6))...))
					outcome, seen := serveStream(b, route, "")
					expectSoundStreamOrFailure(b, route, outcome, seen, ": second\n\n"+strings.Join(events(1, 6), ""))
				})
			})
		}
	}
}
