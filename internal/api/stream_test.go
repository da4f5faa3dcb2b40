package api

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// TestStreamOverflow checks that an overflow interrupts the writer once and releases the
// buffer, and that later calls don't clear it.
func TestStreamOverflow(t *testing.T) {
	interrupts, deadlines := 0, 0
	encoder := newEventEncoder(kindChat, "request", "model", time.Unix(0, 0))
	responder := newStreamResponder(encoder, 1000, func() { interrupts++ })
	for index := range 100 {
		responder.Chunk(outside.Chunk{Index: index, Text: "token"})
		if len(responder.pending) > 1000 {
			t.Fatalf("%d bytes are held", len(responder.pending))
		}
	}
	responder.Finish(gateway.Answer{End: outside.GenerateEnd{Chunks: 100}})
	next := responder.takePending(nil, func() { deadlines++ })
	if !next.overflow || len(next.events) != 0 || interrupts != 1 || deadlines != 0 {
		t.Fatalf("got %+v after %d interrupts, deadline set %d times", next, interrupts, deadlines)
	}
}

// TestStreamClosed checks that a closed responder neither buffers events nor interrupts.
func TestStreamClosed(t *testing.T) {
	encoder := newEventEncoder(kindChat, "request", "model", time.Unix(0, 0))
	responder := newStreamResponder(encoder, 10, func() { t.Fatal("interrupted") })
	responder.close()
	responder.Chunk(outside.Chunk{Text: "long enough to overflow"})
	responder.Finish(gateway.Answer{})
	if len(responder.pending) != 0 {
		t.Fatal("events are kept")
	}
}

// deadlineRecorder is a ResponseWriter that records its write deadlines.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	d.deadlines = append(d.deadlines, deadline)
	return nil
}

// TestDeadlineBetweenWrites checks that every write has a deadline, and that on HTTP/2 none
// remains between two writes, where it would reset the stream.
func TestDeadlineBetweenWrites(t *testing.T) {
	for _, protocol := range []int{1, 2} {
		writer := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		request := httptest.NewRequest(http.MethodPost, kindChat.path(), nil)
		request.ProtoMajor = protocol
		api := &API{config: Config{Limits: DefaultLimits()}}
		relay := streamRelay{
			api: api, call: &call{writer: writer, request: request}, connection: http.NewResponseController(writer),
			responder: newStreamResponder(newEventEncoder(kindChat, "r", "m", time.Unix(0, 0)), 1000, func() {}),
		}
		for index := range 3 {
			relay.responder.Chunk(outside.Chunk{Index: index, Text: "token"})
			next := relay.responder.takePending(nil, relay.setDeadline)
			if len(writer.deadlines) == 0 || (protocol == 2 && writer.deadlines[len(writer.deadlines)-1].IsZero()) {
				t.Fatalf("HTTP/%d: write %d has no deadline: %v", protocol, index, writer.deadlines)
			}
			if err := relay.write(next.events); err != nil {
				t.Fatal(err)
			}
			if last := writer.deadlines[len(writer.deadlines)-1]; last.IsZero() != (protocol == 2) {
				t.Fatalf("HTTP/%d: after write %d the deadline is %s", protocol, index, last)
			}
		}
	}
}
