package forward

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/result"
)

// openingGarbage are streams that begin with foreign data, or consist of it, before the events from the given one on.
var openingGarbage = map[string]func(from int) answerFunc{
	"one block":         func(int) answerFunc { return raw(foreignData) },
	"several blocks":    func(int) answerFunc { return raw(foreignData, foreignData, foreignData) },
	"one, then cut":     func(int) answerFunc { return cutOff(foreignData) },
	"several, then cut": func(int) answerFunc { return cutOff(foreignData, foreignData) },
	"one, then events":  func(from int) answerFunc { return raw(append([]string{foreignData}, events(from, 6)...)...) },
	"three, then events": func(from int) answerFunc {
		return raw(slices.Concat([]string{foreignData, foreignData, foreignData}, events(from, 6))...)
	},
	"a name and data":  func(int) answerFunc { return raw("event: foreign\ndata: foreign\n\n") },
	"an unknown field": func(int) answerFunc { return raw("foreign: foreign\n\n") },
	"an empty ID":      func(int) answerFunc { return raw("id:\ndata: foreign\n\n") },
	"slow":             func(int) answerFunc { return streams([]string{foreignData, foreignData}, 300*time.Millisecond, io.EOF) },
	"behind a comment": func(int) answerFunc { return raw(": ping\n\n", foreignData, foreignData) },
}

// firstAndResumed are first attempts of streams and the caller's own resumptions.
var firstAndResumed = []struct{ route, resumeAfter string }{
	{"stream", ""}, {"patient", ""}, {"patient", "2"}, {"declared", ""}, {"declared-patient", ""}, {"declared-patient", "2"},
}

const foreignData = "data: foreign\n\n"

func cutOff(parts ...string) answerFunc { return streams(parts, time.Millisecond, io.ErrUnexpectedEOF) }

// streamHistories are the streams that a node has relayed before.
var streamHistories = map[string]func(b *testbed, route string){
	"new node":       func(*testbed, string) {},
	"after ten good": func(b *testbed, route string) { serveStreams(b, route, 10, raw(events(1, 3)...)) },
	"after one foreign, a hundred good": func(b *testbed, route string) {
		serveStreams(b, route, 1, raw(foreignData))
		serveStreams(b, route, 100, raw(events(1, 3)...))
	},
	"after 500, each fiftieth foreign": func(b *testbed, route string) {
		for range 10 {
			serveStreams(b, route, 49, raw(events(1, 3)...))
			serveStreams(b, route, 1, raw(foreignData))
		}
	},
}

// Foreign data that began a stream, or was all of it, reached the caller: until a node had seen enough streams with
// IDs, and after a foreign one, it took streams without IDs for legal.
func TestForeignDataThatBeginsAStreamIsNotPassedOn(t *testing.T) {
	for kind, garbage := range openingGarbage {
		for history, play := range streamHistories {
			for _, test := range firstAndResumed {
				t.Run(kind+", "+history+", "+test.route+" "+test.resumeAfter, func(t *testing.T) {
					inVirtualTime(t, func(b *testbed) {
						play(b, test.route)
						time.Sleep(time.Minute)
						b.backend.attempts = nil
						from := 1 + 2*len(test.resumeAfter)
						b.inTurn(garbage(from), raw(events(from, 6)...))
						outcome, seen := serveStream(b, test.route, test.resumeAfter)
						expectSoundStreamOrFailure(b, test.route, outcome, seen, strings.Join(events(from, 6), ""))
					})
				})
			}
		}
	}
}

// expectSoundStreamOrFailure expects that a stream whose first server garbled comes from the second one, where the route
// may be resumed, and otherwise that nothing of it is passed on.
func expectSoundStreamOrFailure(b *testbed, route string, outcome Outcome, seen *recorder, sound string) {
	if isPatient(route) {
		Expect(seen.body.String()).To(Equal(sound))
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(b.backend.servers()).To(HaveLen(2))
		return
	}
	Expect(seen.begun).To(BeZero())
	Expect(outcome.Code).To(Equal(result.OutcomeUnknown))
	Expect(outcome.HeadSent).To(BeFalse())
	Expect(b.backend.servers()).To(HaveLen(1))
}

// A success without the media type of event streams was passed on unchecked on a streaming route.
func TestSuccessThatIsNoEventStreamIsNotPassedOn(t *testing.T) {
	for name, first := range map[string]answerFunc{
		"200": statusOnly(200, "foreign"), "200 with events": statusOnly(200, strings.Join(events(1, 6), "")), "200, empty": statusOnly(200, ""),
		"201": statusOnly(201, "foreign"), "204": statusOnly(204, ""), "205": statusOnly(205, ""), "206": statusOnly(206, "foreign"),
		"204 as a stream": withStatus(204, raw()), "206 as a stream": withStatus(206, raw(events(1, 3)...)),
	} {
		for _, test := range firstAndResumed {
			t.Run(name+", "+test.route+" "+test.resumeAfter, func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					from := 1 + 2*len(test.resumeAfter)
					b.inTurn(first, raw(events(from, 6)...))
					outcome, seen := serveStream(b, test.route, test.resumeAfter)
					expectSoundStreamOrFailure(b, test.route, outcome, seen, strings.Join(events(from, 6), ""))
				})
			})
		}
	}
}

func withStatus(status int, answer answerFunc) answerFunc {
	return func(ctx context.Context, attempt Attempt) (*Reply, error) {
		reply, err := answer(ctx, attempt)
		reply.Status = status
		return reply, err
	}
}

// A complete stream without any event reached its caller as the whole answer.
func TestFirstStreamWithoutEventsIsNotPassedOn(t *testing.T) {
	for name, parts := range map[string][]string{
		"empty": nil, "blank lines": {"\n\n", "\n"}, "a comment": {": nothing\n\n"}, "pings": {"event: ping\n\n", "event: ping\n\n"}, "retry": {"retry: 5\n\n"},
	} {
		for _, route := range streamRoutes {
			t.Run(name+", "+route, func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					b.inTurn(raw(parts...), raw(events(1, 6)...))
					outcome, seen := serveStream(b, route, "")
					expectSoundStreamOrFailure(b, route, outcome, seen, strings.Join(events(1, 6), ""))
				})
			})
		}
	}
}

// Guards against a resumption behind the last event being taken for a stream that lacks events.
func TestResumptionMayBringNoEvent(t *testing.T) {
	for name, parts := range map[string][]string{"empty": nil, "a comment": {": nothing\n\n"}, "the last event": events(2, 2)} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(raw(parts...))
				outcome, seen := serveStream(b, "patient", "2")
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(seen.begun).To(Equal(1))
				Expect(dataEvents(seen.body.String())).To(BeEmpty())
			})
		})
	}
}

// Guards against statuses that are no success being held to the contract of streams.
func TestOtherStatusOfAStreamingRouteIsPassedOn(t *testing.T) {
	for _, status := range []int{302, 400, 404, 409} {
		inVirtualTime(t, func(b *testbed) {
			b.inTurn(statusOnly(status, "no"))
			outcome, seen := serveStream(b, "patient", "")
			Expect(outcome.Status).To(Equal(status))
			Expect(seen.body.String()).To(Equal("no"))
		})
	}
}

// A long body that broke off was continued by the events of another server.
func TestBodyIsNotContinuedByAStream(t *testing.T) {
	long := strings.Repeat("x", 4*maxBufferedBytes)
	broken := func(ctx context.Context, _ Attempt) (*Reply, error) {
		return &Reply{Status: 200, Body: &scriptedBody{ctx: ctx, parts: pieces(long, 1<<10), err: io.ErrUnexpectedEOF}}, nil
	}
	for _, second := range []answerFunc{raw(events(1, 3)...), statusOnly(200, "whole")} {
		inVirtualTime(t, func(b *testbed) {
			b.inTurn(broken, second)
			outcome, seen := serveStream(b, "repeat", "")
			Expect(strings.Trim(seen.body.String(), "x")).To(BeEmpty())
			Expect(outcome.Broken).To(BeTrue())
			Expect(b.backend.servers()).To(HaveLen(1), "no other response can follow")
		})
	}
}
