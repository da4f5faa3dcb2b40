package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/result"
)

type answerFunc = func(context.Context, Attempt) (*Reply, error)

// inTurn gives the first answer to the first attempt and the others to those that follow; the last one
// goes on.
func (b *testbed) inTurn(list ...answerFunc) {
	answer := func(ctx context.Context, attempt Attempt) (*Reply, error) {
		number := len(b.backend.servers())
		return list[min(number, len(list))-1](ctx, attempt)
	}
	for _, id := range []string{"m1", "m2", "m3", "m4", "p1", "p2"} {
		b.backend.answer[id] = answer
	}
}

func serveStream(b *testbed, route, resumeAfter string) (Outcome, *recorder) {
	seen := &recorder{}
	asked := requestOn(route)
	asked.ResumeAfter = resumeAfter
	return b.forwarder.Serve(context.Background(), asked, seen), seen
}

// requestOn returns a request that names a model where the route's pool holds models.
func requestOn(route string) *Request {
	model := "m"
	if route == "repeat" || route == "once" {
		model = ""
	}
	return request(route, model, 5*time.Second)
}

func raw(parts ...string) answerFunc { return streams(parts, time.Millisecond, io.EOF) }

// statusOnly answers with a status and no event stream.
func statusOnly(status int, text string) answerFunc { return answers(status, text) }

// Guards against an answer that is no continuation being passed on into an open stream, which then ended
// as complete.
func TestAnswerThatDoesNotContinueTheStreamIsNotPassedOn(t *testing.T) {
	notFound := func(ctx context.Context, attempt Attempt) (*Reply, error) {
		reply, err := raw("id: 3\ndata: no such stream\n\n")(ctx, attempt)
		reply.Status = 404
		return reply, err
	}
	cases := map[string]answerFunc{
		"204": statusOnly(204, ""), "400": statusOnly(400, "no"), "404": statusOnly(404, "no"), "409": statusOnly(409, "no"),
		"302": statusOnly(302, ""), "404 with events": notFound, "200 without events": statusOnly(200, "id: 3\ndata: x\n\n"),
		"500": statusOnly(500, "no"),
	}
	for name, second := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(streams(events(1, 2), time.Millisecond, io.ErrUnexpectedEOF), second)
				outcome, seen := serveStream(b, "patient", "")
				Expect(seen.body.String()).To(Equal(strings.Join(events(1, 2), "")))
				Expect(outcome.Broken).To(BeTrue(), "the stream looks complete")
				Expect(outcome.Code).NotTo(Equal(result.OK))
			})
		})
	}
}

// Guards against events that a caller has received already being passed on again when it resumes a
// stream.
func TestCallersOwnResumptionRepeatsNoEvent(t *testing.T) {
	cases := map[string]struct {
		parts []string
		want  string
	}{
		"the last event again":     {events(2, 4), strings.Join(events(3, 4), "")},
		"from the start":           {events(1, 4), strings.Join(events(3, 4), "")},
		"all in one piece":         {[]string{strings.Join(events(1, 4), "")}, strings.Join(events(3, 4), "")},
		"no event again":           {events(3, 4), strings.Join(events(3, 4), "")},
		"nothing but the last one": {events(2, 2), ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(raw(test.parts...))
				outcome, seen := serveStream(b, "patient", "2")
				Expect(seen.body.String()).To(Equal(test.want))
				Expect(outcome.Code).To(Equal(result.OK))
			})
		})
	}
}

// Guards against IDs that fall or repeat within one response being passed on as one stream.
func TestStreamWhoseIDsDoNotRiseIsBroken(t *testing.T) {
	surplus := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	cases := map[string][]string{
		"falls":                     append(events(1, 3), events(2, 4)...),
		"begins again":              append(events(1, 3), events(1, 3)...),
		"repeats":                   append(events(1, 3), events(3, 4)...),
		"in one piece":              {strings.Join(append(events(1, 3), events(2, 4)...), "")},
		"surplus response":          append(append(events(1, 3), surplus), events(1, 3)...),
		"surplus response, no more": append(events(1, 3), surplus),
	}
	for name, parts := range cases {
		for _, route := range []string{"stream", "patient"} {
			t.Run(name+" on "+route, func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					b.inTurn(raw(parts...))
					outcome, seen := serveStream(b, route, "")
					Expect(seen.body.String()).To(Equal(strings.Join(events(1, 3), "")))
					Expect(outcome.Broken).To(BeTrue(), "the stream looks complete")
				})
			})
		}
	}
}

// Guards against a continuation that belongs to another run or lacks events.
func TestContinuationThatDoesNotFitIsNotPassedOn(t *testing.T) {
	other := func(from, to int) []string {
		var parts []string
		for _, event := range events(from, to) {
			parts = append(parts, strings.Replace(event, "data: x", "data: another run", 1))
		}
		return parts
	}
	cases := map[string][]string{
		"another run from the start":                other(1, 8),
		"another run from the last event":           other(4, 8),
		"another run from before the last event":    other(3, 8),
		"the repeated part lacks the last event":    append(events(1, 3), events(5, 8)...),
		"the repeated part ends before the last":    events(1, 3),
		"events without an ID before the repeated":  append([]string{"data: x\n\n"}, events(4, 8)...),
		"numbers begin again without the same data": append(other(1, 2), events(3, 8)...),
	}
	for name, second := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(streams(events(1, 4), time.Millisecond, io.ErrUnexpectedEOF), raw(second...))
				outcome, seen := serveStream(b, "patient", "")
				Expect(seen.body.String()).To(Equal(strings.Join(events(1, 4), "")))
				Expect(outcome.Broken).To(BeTrue(), "the stream looks complete")
			})
		})
	}
}

// Guards against a gap where a stream was continued, after events whose IDs rose by one.
func TestContinuationThatLacksAnEventIsNotPassedOn(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.inTurn(streams(events(1, 10), time.Millisecond, io.ErrUnexpectedEOF), raw(events(12, 14)...))
		outcome, seen := serveStream(b, "patient", "")
		Expect(seen.body.String()).To(Equal(strings.Join(events(1, 10), "")))
		Expect(outcome.Broken).To(BeTrue(), "the stream looks complete")
	})
}

// Guards against a continuation being taken for one that lacks events, since events hold several tokens.
func TestContinuationWithOtherStepsIsPassedOn(t *testing.T) {
	event := func(id int) string { return events(id, id)[0] }
	var irregular, tens []string
	for number := 1; number <= 20; number++ {
		irregular = append(irregular, event(3*number+number%2))
		tens = append(tens, event(10*number))
	}
	for name, parts := range map[string][2][]string{
		"larger after varying ones": {irregular, {event(90), event(91)}},
		"a smaller last one":        {tens, {event(203)}},
		"larger after few":          {tens[:4], {event(90), event(91)}},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(streams(parts[0], time.Millisecond, io.ErrUnexpectedEOF), raw(parts[1]...))
				outcome, seen := serveStream(b, "patient", "")
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(seen.body.String()).To(Equal(strings.Join(slices.Concat(parts[0], parts[1]), "")))
			})
		})
	}
}

// Guards against a stream that broke within an event ending as complete, since a server that was asked to
// continue it answered with no event.
func TestEmptyContinuationAfterAPartOfAnEventIsNoEnd(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.inTurn(streams(append(events(1, 2), "id: 3\nda"), time.Millisecond, io.ErrUnexpectedEOF), raw())
		outcome, seen := serveStream(b, "patient", "")
		Expect(seen.body.String()).To(Equal(strings.Join(events(1, 2), "")))
		Expect(outcome.Broken).To(BeTrue(), "the stream looks complete")
	})
}

// Guards against a stream being resumed after an ID that is not the last event's: the events since would
// be passed on twice.
func TestStreamWithEventsAfterTheLastIDIsNotResumed(t *testing.T) {
	unnumbered := []string{"data: a\n\n", "data: b\n\n"}
	cases := map[string]struct {
		route       string
		parts       []string
		resumeAfter string
	}{
		"after the caller's ID": {"repeat", unnumbered, "7"},
		"after an event's ID":   {"repeat", append(events(1, 1), unnumbered...), ""},
		"an ID that is reset":   {"repeat", append(events(1, 1), "id:\ndata: a\n\n"), ""},
		"no IDs":                {"repeat", unnumbered, ""},
	}
	for name, test := range cases {
		for end, first := range map[string]answerFunc{
			"broken": streams(test.parts, time.Millisecond, io.ErrUnexpectedEOF), "silent": stallsAfter(test.parts),
		} {
			t.Run(name+", "+end, func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					b.inTurn(first, raw(append(append([]string(nil), test.parts...), events(8, 9)...)...))
					outcome, seen := serveStream(b, test.route, test.resumeAfter)
					Expect(seen.body.String()).To(Equal(strings.Join(test.parts, "")))
					Expect(outcome.Code).NotTo(Equal(result.OK))
					Expect(b.backend.servers()).To(HaveLen(1))
				})
			})
		}
	}
}

// Guards against an event without an ID being passed on where the stream goes on after an event that has one,
// and against its continuation repeating or leaving out an event.
func TestStreamIsResumedBeforeAnEventWithoutID(t *testing.T) {
	unnumbered := []string{"data: a\n\n", "data: b\n\n"}
	cases := map[string]struct {
		parts       []string
		resumeAfter string
		last        int
	}{
		"after the caller's ID": {unnumbered, "7", 7},
		"after an event's ID":   {append(events(1, 1), unnumbered...), "", 1},
		"an ID that is reset":   {append(events(1, 1), "id:\ndata: a\n\n"), "", 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(stallsAfter(test.parts), raw(events(test.last+1, 9)...))
				outcome, seen := serveStream(b, "patient", test.resumeAfter)
				passed := events(test.last+1, 9)
				if test.resumeAfter == "" {
					passed = events(1, 9)
				}
				Expect(seen.body.String()).To(Equal(strings.Join(passed, "")))
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(b.backend.attempts[1].ResumeAfter).To(Equal(strconv.Itoa(test.last)))
			})
		})
	}
}

// Guards against events being repeated or lost where lines end with CRLF or CR, and where an event
// arrives in several pieces.
func TestResumedStreamWithAnyLineEnds(t *testing.T) {
	for name, end := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
		for _, size := range []int{1, 3, 7, 1000} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					text := func(from, to int) string {
						return strings.ReplaceAll(strings.Join(events(from, to), ""), "\n", end)
					}
					b.inTurn(
						streams(pieces(text(1, 3)+"id: 4"+end+"da", size), 0, io.ErrUnexpectedEOF),
						streams(pieces(text(2, 6), size), 0, io.EOF))
					outcome, seen := serveStream(b, "patient", "")
					Expect(seen.body.String()).To(Equal(text(1, 6)))
					Expect(outcome.Code).To(Equal(result.OK))
				})
			})
		}
	}
}

// Guards against a continuation at a server that ends its lines differently, or begins with a byte order
// mark, being rejected, or passed on as part of the event before.
func TestContinuationWithOtherLineEnds(t *testing.T) {
	for name, second := range map[string]string{
		"CRLF":      strings.ReplaceAll(strings.Join(events(2, 4), ""), "\n", "\r\n"),
		"BOM":       "\ufeff" + strings.Join(events(2, 4), ""),
		"comments":  ": hello\n\n" + strings.Join(events(2, 4), ": ping\n\n"),
		"blank":     "\n\n" + strings.Join(events(2, 4), ""),
		"retry":     "retry: 5\n\n" + strings.Join(events(2, 4), ""),
		"no spaces": strings.ReplaceAll(strings.Join(events(2, 4), ""), ": ", ":"),
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(streams(events(1, 2), time.Millisecond, io.ErrUnexpectedEOF), raw(second))
				outcome, seen := serveStream(b, "patient", "")
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(dataEvents(seen.body.String())).To(Equal([]string{"1 x", "2 x", "3 x", "4 x"}))
			})
		})
	}
}

// Guards against later events that are taken for repeated ones, since their IDs are shorter.
func TestOrderOfEventIDs(t *testing.T) {
	for _, ids := range [][3]string{
		{"8", "9", "10"},
		{"008", "9", "010"},
		{"08", "9", "10"},
		{"007", "8", "9"},
		{"1700-9", "1700-10", "1701-0"},
		{"run-8", "run-9", "run-10"},
		{"0x19", "0x1a", "0x1b"},
		{"18446744073709551615", "18446744073709551616", "18446744073709551617"},
	} {
		t.Run(strings.Join(ids[:], " "), func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				event := func(id string) string { return "id: " + id + "\ndata: x\n\n" }
				b.inTurn(streams([]string{event(ids[0])}, time.Millisecond, io.ErrUnexpectedEOF), raw(event(ids[0]), event(ids[1]), event(ids[2])))
				outcome, seen := serveStream(b, "patient", "")
				Expect(seen.body.String()).To(Equal(event(ids[0]) + event(ids[1]) + event(ids[2])))
				Expect(outcome.Code).To(Equal(result.OK))
			})
		})
	}
}

// Guards against an event being lost that arrives together with the end of its response, or with an error.
func TestEventThatArrivesWithTheEndIsPassedOn(t *testing.T) {
	for name, end := range map[string]error{"end": io.EOF, "reset": errors.New("reset")} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				last := func(context.Context, Attempt) (*Reply, error) {
					return &Reply{Status: 200, Events: true, Body: &lastReadBody{text: strings.Join(events(1, 2), ""), err: end}}, nil
				}
				b.inTurn(last, raw(events(3, 3)...))
				outcome, seen := serveStream(b, "patient", "")
				Expect(outcome.Code).To(Equal(result.OK))
				want := events(1, 2)
				if !errors.Is(end, io.EOF) {
					want = events(1, 3)
				}
				Expect(seen.body.String()).To(Equal(strings.Join(want, "")))
			})
		})
	}
}

// lastReadBody returns all of its text together with its end.
type lastReadBody struct {
	text string
	err  error
}

func (l *lastReadBody) Read(buffer []byte) (int, error) {
	count := copy(buffer, l.text)
	l.text = l.text[count:]
	if l.text == "" {
		return count, l.err
	}
	return count, nil
}

func (l *lastReadBody) Close() error { return nil }

// pieces cuts a text.
func pieces(text string, size int) []string {
	var cut []string
	for len(text) > 0 {
		end := min(size, len(text))
		cut = append(cut, text[:end])
		text = text[end:]
	}
	return cut
}

// dataEvents returns "ID data" of each event, as a client reads a stream, and of all that is no comment.
func dataEvents(stream string) []string {
	stream = strings.TrimPrefix(stream, "\ufeff")
	stream = strings.ReplaceAll(strings.ReplaceAll(stream, "\r\n", "\n"), "\r", "\n")
	var found []string
	for _, block := range strings.Split(stream, "\n\n") {
		id, data, isComment := "", "", true
		for _, line := range strings.Split(block, "\n") {
			if value, is := strings.CutPrefix(line, "id:"); is {
				id = strings.TrimPrefix(value, " ")
			}
			if value, is := strings.CutPrefix(line, "data:"); is {
				data = strings.TrimPrefix(value, " ")
			}
			isComment = isComment && (strings.TrimSpace(line) == "" || strings.HasPrefix(line, ":") || strings.HasPrefix(line, "retry:"))
		}
		if !isComment {
			found = append(found, id+" "+data)
		}
	}
	return found
}

// What nothing tells: these streams are wrong, and end as complete. A change that tells one of them
// removes it here and in docs/design/streams.md.
func TestCasesThatNothingTells(t *testing.T) {
	broken := func(parts []string) answerFunc { return streams(parts, time.Millisecond, io.ErrUnexpectedEOF) }
	otherRun := func(from, to int) []string {
		return []string{strings.ReplaceAll(strings.Join(events(from, to), ""), "data: x", "data: another run")}
	}
	opaque := []string{"id: a1f9\ndata: x\n\n", "id: zz9\ndata: foreign\n\n", "id: a1fa\ndata: x\n\n"}
	foreignIDs, hexadecimal := []string{"id: zz8\ndata: foreign\n\n", opaque[1]}, []string{"id: a\ndata: foreign\n\n"}
	cases := map[string]struct {
		route, resumeAfter string
		answers            []answerFunc
		passed             []string
	}{
		"a server leaves an event out":                       {"stream", "", []answerFunc{raw(slices.Concat(events(1, 2), events(4, 5))...)}, slices.Concat(events(1, 2), events(4, 5))},
		"a continuation leaves an event out after few":       {"patient", "", []answerFunc{broken(events(1, 3)), raw(events(5, 6)...)}, slices.Concat(events(1, 3), events(5, 6))},
		"a server says that nothing follows":                 {"patient", "", []answerFunc{broken(events(1, 3)), raw()}, events(1, 3)},
		"another run goes on after the last event":           {"patient", "", []answerFunc{broken(events(1, 3)), raw(otherRun(4, 6)...)}, slices.Concat(events(1, 3), otherRun(4, 6))},
		"another run begins again, after the caller's event": {"patient", "2", []answerFunc{raw(append(otherRun(1, 2), events(3, 4)...)...)}, events(3, 4)},
		"a foreign event with a higher ID":                   {"stream", "", []answerFunc{raw(slices.Concat(events(1, 2), events(40, 40), events(41, 42))...)}, slices.Concat(events(1, 2), events(40, 42))},
		"a foreign comment":                                  {"stream", "", []answerFunc{raw(slices.Concat(events(1, 2), []string{": foreign\n\n"}, events(3, 3))...)}, slices.Concat(events(1, 2), []string{": foreign\n\n"}, events(3, 3))},
		"a foreign field before an ID, undeclared":           {"stream", "", []answerFunc{raw(slices.Concat(events(1, 2), []string{"foreign: x\n"}, events(3, 3))...)}, slices.Concat(events(1, 2), []string{"foreign: x\n"}, events(3, 3))},
		"an odd ID among opaque ones":                        {"stream", "", []answerFunc{raw(opaque...)}, opaque},
		"nothing but a foreign ID, undeclared":               {"stream", "", []answerFunc{raw(opaque[1])}, opaque[1:2]},
		"two foreign IDs, undeclared":                        {"stream", "", []answerFunc{raw(slices.Concat(foreignIDs, events(1, 2))...)}, slices.Concat(foreignIDs, events(1, 2))},
		"a foreign hexadecimal ID before a higher one":       {"stream", "", []answerFunc{raw(slices.Concat(hexadecimal, events(11, 12))...)}, slices.Concat(hexadecimal, events(11, 12))},
		"a foreign event opens the stream":                   {"declared", "", []answerFunc{raw(slices.Concat([]string{"id: 1\ndata: foreign\n\n"}, events(2, 3))...)}, slices.Concat([]string{"id: 1\ndata: foreign\n\n"}, events(2, 3))},
		"a server that lives on ends an unframed stream":     {"stream", "", []answerFunc{unframed(raw(events(1, 2)...))}, events(1, 2)},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.forwarder.connect = func(context.Context, string) error { return nil }
				b.inTurn(test.answers...)
				outcome, seen := serveStream(b, test.route, test.resumeAfter)
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(seen.body.String()).To(Equal(strings.Join(test.passed, "")))
			})
		})
	}
}

// timedBody returns each part at its time after the body's first read, and then the end.
type timedBody struct {
	scriptedBody
	began time.Time
	at    []time.Duration
}

func (t *timedBody) Read(buffer []byte) (int, error) {
	if t.began.IsZero() {
		t.began = time.Now()
	}
	select {
	case <-t.ctx.Done():
		return 0, t.ctx.Err()
	case <-time.After(time.Until(t.began.Add(t.at[0]))):
	}
	if len(t.at) > 1 {
		t.at = t.at[1:]
	}
	return t.scriptedBody.Read(buffer)
}

// Guards against an event being lost or passed on twice where another server takes a stream over at the
// moment of its last event, or of its end.
func TestSwitchoverAtTheMomentOfTheLastEvent(t *testing.T) {
	// An attempt has half of the caller's time for each event.
	const gap = 1600 * time.Millisecond
	route := *testRoute("patient")
	route.CallerWaitLimit = 2*gap + deadlineMargin
	for name, at := range map[string][]time.Duration{
		"the last event":         {0, gap, gap},
		"the end":                {0, 0, gap},
		"both, one after":        {0, gap, 2 * gap},
		"the first event":        {gap, gap, gap},
		"just before":            {0, gap - 1, gap - 1},
		"just after":             {0, gap + 1, gap + 1},
		"the end just after":     {0, 0, gap + 1},
		"the last, end together": {0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				inVirtualTime(t, func(b *testbed) {
					b.configure(route, 0)
					continues := func(ctx context.Context, attempt Attempt) (*Reply, error) {
						last := 0
						_, _ = fmt.Sscan(attempt.ResumeAfter, &last)
						return streams(events(last+1, 2), 0, io.EOF)(ctx, attempt)
					}
					b.inTurn(func(ctx context.Context, _ Attempt) (*Reply, error) {
						body := &timedBody{scriptedBody: scriptedBody{ctx: ctx, parts: events(1, 2), err: io.EOF}, at: at}
						return &Reply{Status: 200, Events: true, Body: body}, nil
					}, continues)
					seen := &recorder{}
					outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 30*time.Second), seen)
					Expect(seen.body.String()).To(Equal(strings.Join(events(1, 2), "")))
					Expect(outcome.Code).To(Equal(result.OK))
					// A search for another server that was cancelled gives it back.
					synctest.Wait()
					for id, load := range b.forwarder.tracker.servers {
						Expect(load.own).To(BeZero(), id)
					}
				})
			}
		})
	}
}

// Guards against the beginning of a stream that can't be resumed being dropped, since its caller sent the
// ID of an event.
func TestStreamThatCanNotBeResumedIsPassedOnFromItsStart(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.inTurn(raw(events(1, 4)...))
		outcome, seen := serveStream(b, "stream", "2")
		Expect(seen.body.String()).To(Equal(strings.Join(events(1, 4), "")))
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(b.backend.attempts[0].ResumeAfter).To(Equal("2"), "the server is told")
	})
}

// Blank lines after the last event of a stream were left out, so that the body was not the server's.
func TestStreamIsPassedOnToItsLastByte(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\n\n", " ", "\r"} {
		t.Run(strconv.Quote(end), func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				sent := append(events(1, 2), end)
				b.backend.answer["m1"] = streams(sent, time.Millisecond, io.EOF)
				b.backend.answer["m2"] = b.backend.answer["m1"]
				seen := &recorder{}
				outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), seen)
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(seen.body.String()).To(Equal(strings.Join(sent, "")))
			})
		})
	}
}
