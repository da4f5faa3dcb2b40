package forward

import (
	"context"
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/result"
)

// foreignBlocks are what no run sends behind an event with a decimal ID, by kind.
var foreignBlocks = map[string]string{
	"data without an ID":           "data: foreign\n\n",
	"an empty ID":                  "id: \ndata: foreign\n\n",
	"an ID with a NUL":             "id: 4\x00\ndata: foreign\n\n",
	"a name and data without ID":   "event: token\ndata: foreign\n\n",
	"other fields":                 "foo: bar\nbaz: qux\n\n",
	"no field at all":              "foreign bytes\n\n",
	"binary bytes":                 "\x16\x03\x01\xff\xfe\n\n",
	"an ID of letters":             "id: zz9\ndata: foreign\n\n",
	"a negative ID":                "id: -7\ndata: foreign\n\n",
	"a fraction":                   "id: 4.5\ndata: foreign\n\n",
	"an exponent":                  "id: 4e9\ndata: foreign\n\n",
	"a hexadecimal ID":             "id: 0x9\ndata: foreign\n\n",
	"no ID, digits as binary data": "data: \x00\x01\x02\n\n",
	// Foreign bytes that merge with the next event, without a blank line between.
	"an ID, no blank line":      "id: 4\n",
	"a line, no blank line":     "foreign\n",
	"bytes, no line end":        "\x16\x03\x01",
	"text, no line end":         "foreign",
	"a control character":       "ev\x1bent: x\n",
	"a name without data or ID": "event: foreign\n\n",
	"a time that is no number":  "retry: foreign\n\n",
}

// oddIDs are the kinds of foreignBlocks that only the form of the IDs before tells.
var oddIDs = map[string]bool{"an ID of letters": true, "a negative ID": true, "a fraction": true, "an exponent": true, "a hexadecimal ID": true}

// Foreign data within a stream reached its caller as a piece that no run made: all that wasn't proven to be
// wrong was passed on, once the first event of an attempt was good.
func TestForeignBlocksWithinAStreamAreNotPassedOn(t *testing.T) {
	whole := strings.Join(events(1, 6), "")
	places := map[string]struct {
		parts func(block string) []string
		// before is the number of the last event before the block, resumeAfter what the caller sends.
		before      int
		resumeAfter string
	}{
		"between":    {func(block string) []string { return slices.Concat(events(1, 3), []string{block}, events(4, 6)) }, 3, ""},
		"at the end": {func(block string) []string { return append(events(1, 6), block) }, 6, ""},
		"in one piece": {func(block string) []string {
			return []string{strings.Join(events(1, 3), "") + block + strings.Join(events(4, 6), "")}
		}, 3, ""},
		"with the next": {func(block string) []string {
			return slices.Concat(events(1, 3), []string{block + strings.Join(events(4, 6), "")})
		}, 3, ""},
		"byte by byte": {func(block string) []string {
			return pieces(strings.Join(events(1, 3), "")+block+strings.Join(events(4, 6), ""), 1)
		}, 3, ""},
		"after a resumption": {func(block string) []string { return slices.Concat([]string{block}, events(3, 6)) }, 2, "2"},
		"after a repetition": {func(block string) []string { return slices.Concat(events(2, 2), []string{block}, events(3, 6)) }, 2, "2"},
	}
	for kind, block := range foreignBlocks {
		for place, at := range places {
			for _, route := range streamRoutes {
				if !isPatient(route) && at.resumeAfter != "" {
					continue // the route's servers begin streams at the start
				}
				t.Run(kind+", "+place+", "+route, func(t *testing.T) {
					inVirtualTime(t, func(b *testbed) {
						b.inTurn(raw(at.parts(block)...), raw(events(at.before+1, 6)...))
						outcome, seen := serveStream(b, route, at.resumeAfter)
						if isPatient(route) {
							want := strings.TrimPrefix(whole, strings.Join(events(1, 2), ""))
							if at.resumeAfter == "" {
								want = whole
							}
							Expect(seen.body.String()).To(Equal(want))
							// Nothing tells a part of foreign data from a part of one more event.
							mayLackEvents := place == "at the end" && !strings.HasSuffix(block, "\n\n")
							Expect(outcome.Broken).To(Equal(mayLackEvents))
							Expect(outcome.Code == result.OK).NotTo(Equal(mayLackEvents))
							Expect(b.backend.servers()).To(HaveLen(2))
							return
						}
						Expect(seen.body.String()).To(Equal(strings.Join(events(1, at.before), "")))
						Expect(outcome.Broken).To(BeTrue(), "the stream looks complete")
						Expect(outcome.Code).To(Equal(result.StreamBroken))
						Expect(b.backend.servers()).To(HaveLen(1))
					})
				})
			}
		}
	}
}

// Guards against retries after foreign data beyond the route's attempts and the retry budget.
func TestForeignDataIsRetriedWithinTheBudget(t *testing.T) {
	garbled := func(from, to int) answerFunc { return raw(append(events(from, to), "data: foreign\n\n")...) }
	for name, test := range map[string]struct {
		slack         float64
		servers, last int
	}{"attempts": {100, 2, 5}, "budget": {0, 1, 3}} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.forwarder.budgets = newBudgets(BudgetLimits{Slack: test.slack, Window: 10 * time.Second}, 1)
				b.inTurn(garbled(1, 3), garbled(4, 5), garbled(6, 6))
				outcome, seen := serveStream(b, "patient", "")
				Expect(outcome.Code).To(BeElementOf(result.StreamBroken, result.RetryBudgetSpent))
				Expect(outcome.Broken).To(BeTrue())
				Expect(outcome.Ran).To(Equal(result.RanYes))
				Expect(seen.body.String()).To(Equal(strings.Join(events(1, test.last), "")))
				Expect(b.backend.servers()).To(HaveLen(test.servers))
			})
		})
	}
}

// Foreign data before a stream's first event reached its caller: until an event had an ID, the stream was taken for one
// without any.
func TestForeignBlocksBeforeAStreamAreNotPassedOn(t *testing.T) {
	for kind, block := range foreignBlocks {
		for place, parts := range map[string][]string{
			"first": slices.Concat([]string{block}, events(1, 6)), "in one piece": {block + strings.Join(events(1, 6), "")},
			"behind a comment": slices.Concat([]string{": ping\n\n", block, ": ping\n\n"}, events(1, 6)),
		} {
			for _, route := range streamRoutes {
				if oddIDs[kind] && !isDeclared(route) {
					continue // TestStreamBehindAForeignOpeningIDDoesNotEndAsWhole
				}
				t.Run(kind+", "+place+", "+route, func(t *testing.T) {
					inVirtualTime(t, func(b *testbed) {
						b.inTurn(raw(parts...), raw(events(1, 6)...))
						outcome, seen := serveStream(b, route, "")
						expectSoundStreamOrFailure(b, route, outcome, seen, strings.Join(events(1, 6), ""))
					})
				})
			}
		}
	}
}

// A stream of nothing but foreign data reached its caller as a complete one.
func TestStreamOfForeignBlocksIsNotPassedOn(t *testing.T) {
	kinds := map[string][]string{
		"one block": {"data: foreign\n\n"}, "several": {"data: foreign\n\n", "foo: bar\n\n"}, "a name": {"event: foreign\n\n"},
	}
	for kind, block := range foreignBlocks {
		kinds[kind] = []string{block}
	}
	for kind, parts := range kinds {
		for _, route := range streamRoutes {
			if oddIDs[kind] && !isDeclared(route) {
				continue // TestCasesThatNothingTells
			}
			for _, history := range []int{0, 16} {
				t.Run(kind+", "+route, func(t *testing.T) {
					inVirtualTime(t, func(b *testbed) {
						serveStreams(b, route, history, raw(events(1, 2)...))
						b.backend.attempts = nil
						b.inTurn(raw(parts...), raw(events(1, 6)...))
						outcome, seen := serveStream(b, route, "")
						if isPatient(route) && !strings.HasSuffix(parts[0], "\n\n") {
							// Nothing tells a part of foreign data from a part of an event.
							Expect(seen.body.String()).To(BeElementOf("", strings.Join(events(1, 6), "")))
							return
						}
						expectSoundStreamOrFailure(b, route, outcome, seen, strings.Join(events(1, 6), ""))
					})
				})
			}
		}
	}
}

// serveStreams serves some streams, each answered alike.
func serveStreams(b *testbed, route string, count int, answer answerFunc) (codes []result.Code) {
	for range count {
		b.inTurn(answer)
		outcome, _ := serveStream(b, route, "")
		codes = append(codes, outcome.Code)
	}
	return codes
}

// Guards against events that wait for the next one again and again in a stream whose events have no data.
func TestEventsWithoutDataWaitForTheNextOneOnce(t *testing.T) {
	const pause = 100 * time.Millisecond
	for _, route := range streamRoutes {
		t.Run(route, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				for range 3 {
					b.inTurn(streams([]string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"}, pause, io.EOF))
					seen := &writeTimes{last: time.Now()}
					outcome := b.forwarder.Serve(context.Background(), requestOn(route), seen)
					Expect(outcome.Code).To(Equal(result.OK))
					Expect(seen.pauses).To(Equal([]time.Duration{2 * pause, pause}))
				}
			})
		})
	}
}

// writeTimes is a responder that keeps the pauses before each part of the body.
type writeTimes struct {
	last   time.Time
	pauses []time.Duration
}

func (w *writeTimes) Begin(*Reply) {}

func (w *writeTimes) Write([]byte) error {
	now := time.Now()
	w.pauses, w.last = append(w.pauses, now.Sub(w.last)), now
	return nil
}

// A blank line within an event made two of it: the first part, which has the ID, was passed on, and the stream
// went on behind it.
func TestPartOfAnEventBeforeForeignDataIsNotPassedOn(t *testing.T) {
	for name, parts := range map[string][]string{
		"a blank line":          {"id: 3\n\n", "data: x\n\n"},
		"foreign data":          {"id: 3\n\n", "foreign\n\n"},
		"a comment":             {"id: 3\n\n", ": ping\n\n", "data: x\n\n"},
		"the event again":       {"id: 3\n\n", "id: 3\ndata: x\n\n"},
		"a higher ID of others": {"id: 50\n\n", "id: 3\ndata: x\n\n"},
		"cut":                   {"id: 3\n\n", "da"},
	} {
		for _, route := range []string{"stream", "patient"} {
			t.Run(name+", "+route, func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					b.inTurn(raw(slices.Concat(events(1, 2), parts)...), raw(events(3, 6)...))
					outcome, seen := serveStream(b, route, "")
					last := 2
					if route == "patient" {
						last = 6
					}
					Expect(seen.body.String()).To(Equal(strings.Join(events(1, last), "")))
					Expect(outcome.Broken).To(Equal(route == "stream"))
				})
			})
		}
	}
}

// Guards against whole streams being broken by the check for foreign data.
func TestWholeStreamsOfAllKindsPass(t *testing.T) {
	event := func(id string) string { return "id: " + id + "\ndata: x\n\n" }
	var redis, hexadecimal []string
	for number := range 40 {
		redis = append(redis, event("1700"+strings.Repeat("0", number/20)+"-"+strings.Repeat("1", 1+number%20)))
	}
	for _, digits := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9", "a", "b", "10"} {
		hexadecimal = append(hexadecimal, event("run-"+digits))
	}
	cases := map[string][]string{
		"IDs in steps":           {event("10"), event("20"), event("35")},
		"IDs with a prefix":      {event("run-8"), event("run-9"), event("run-10")},
		"times and numbers":      redis,
		"hexadecimal IDs":        hexadecimal,
		"opaque IDs":             {event("a1f9"), event("a1fa"), event("a200")},
		"one opaque ID":          {event("tok-5")},
		"hexadecimal counters":   {event("f"), event("10"), event("11")},
		"capital hexadecimals":   {event("0F"), event("10"), event("11")},
		"UUIDs":                  {event("0190a3c2-7d1e-7000-8000-00000000000f"), event("0190a3c2-7d1e-7000-8000-000000000010")},
		"comments":               {": hello\n\n", event("1"), ": ping\n\n", event("2"), "retry: 5\n\n", event("3"), ": bye\n\n"},
		"a version of weights":   {event("1"), "weight-versions: 2\n" + event("2"), event("3")},
		"names":                  {"event: token\n" + event("1"), "event: token\n" + event("2")},
		"a terminal's output":    {"id: 1\ndata: \x1b[1mx\tÄ\n\n", event("2")},
		"data of several lines":  {"id: 1\ndata: a\ndata: b\ndata\ndata:\n\n", event("2")},
		"comments within events": {": ping\n" + event("1"), "id: 2\n: ping\ndata: x\n: ping\n\n", "retry: 5\n" + event("3")},
		"a field without space":  {"id:1\ndata:x\n\n", "data: x\nid: 2\n\n"},
		"an ID without data":     {event("1"), "id: 2\n\n", ": ping\n\n", "id: 3\n\n", event("4"), "event: done\nid: 5\n\n"},
		"CRLF":                   pieces(strings.ReplaceAll(event("1")+event("2"), "\n", "\r\n"), 20),
		"CR":                     pieces(strings.ReplaceAll(event("1")+event("2"), "\n", "\r"), 20),
		"blank lines and no BOM": {"\n\n", event("1"), "\n\n", event("2"), "\n"},
		"a BOM":                  {"\ufeff" + event("1"), event("2")},
	}
	declared := func(name string) bool {
		return !slices.Contains([]string{"IDs with a prefix", "times and numbers", "hexadecimal IDs", "opaque IDs", "one opaque ID", "hexadecimal counters", "capital hexadecimals", "UUIDs"}, name)
	}
	for name, parts := range cases {
		for _, route := range streamRoutes {
			if isDeclared(route) && !declared(name) {
				continue
			}
			for size, cut := range map[string][]string{"events": parts, "one piece": {strings.Join(parts, "")}, "bytes": pieces(strings.Join(parts, ""), 1)} {
				t.Run(name+" on "+route+", "+size, func(t *testing.T) {
					inVirtualTime(t, func(b *testbed) {
						b.inTurn(streams(cut, time.Microsecond, io.EOF))
						outcome, seen := serveStream(b, route, "")
						Expect(seen.body.String()).To(Equal(strings.Join(parts, "")))
						Expect(outcome.Code).To(Equal(result.OK))
						Expect(b.backend.servers()).To(HaveLen(1))
					})
				})
			}
		}
	}
}

// Foreign bytes that Unicode counts as white space were passed on behind the last event of a complete stream.
func TestWhiteSpaceBehindTheLastEventIsNotPassedOn(t *testing.T) {
	for _, tail := range []string{"\v\f\u2003\u0085", "\u2003\u0085\v", "\n\v", " \v", "\t\r\n", "\u00a0\n"} {
		for _, route := range []string{"stream", "patient"} {
			t.Run(strconv.Quote(tail)+", "+route, func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					b.inTurn(raw(append(events(1, 2), tail)...))
					outcome, seen := serveStream(b, route, "")
					Expect(seen.body.String()).To(Equal(strings.Join(events(1, 2), "")))
					Expect(outcome.Broken).To(BeTrue())
				})
			})
		}
	}
}

// Streams whose server keeps the connection open by pings, which have neither an ID nor data, were broken before the
// first of them.
func TestPingsWithoutDataPassAsComments(t *testing.T) {
	const ping = "event: ping\n\n"
	withIDs := slices.Concat([]string{ping}, events(1, 2), []string{ping, ping}, events(3, 4), []string{ping})
	for name, parts := range map[string][]string{
		"events": withIDs, "CRLF": strings.Split(strings.ReplaceAll(strings.Join(withIDs, "|"), "\n", "\r\n"), "|"),
	} {
		for _, route := range streamRoutes {
			t.Run(name+", "+route, func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					b.inTurn(raw(parts...))
					outcome, seen := serveStream(b, route, "")
					Expect(outcome.Code).To(Equal(result.OK))
					Expect(b.backend.servers()).To(HaveLen(1))
					Expect(seen.body.String()).To(Equal(strings.Join(parts, "")))
				})
			})
		}
	}
}

// Guards against foreign data that passes as a ping.
func TestPingsWithContentAreForeign(t *testing.T) {
	for _, block := range []string{
		"event: ping\ndata: {}\n\n", "event: ping\nfoo: bar\n\n", "event: ping\nid: \n\n", "event: pings\n\n", "event: ping\nevent: foreign\n\n",
		"data: [DONE]\n\n",
	} {
		t.Run(strconv.Quote(block), func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.inTurn(raw(append(events(1, 2), block)...), raw(events(3, 4)...))
				outcome, seen := serveStream(b, "patient", "")
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(seen.body.String()).To(Equal(strings.Join(events(1, 4), "")))
			})
		})
	}
}
