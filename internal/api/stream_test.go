package api

import (
	"testing"
	"time"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/platform"
)

// TestStreamOverflow checks that a full buffer interrupts the writer once, is
// let go, and stays an overflow whatever comes after.
func TestStreamOverflow(t *testing.T) {
	interrupts, armed := 0, 0
	encoder := newEventEncoder(kindChat, "request", "model", time.Unix(0, 0))
	responder := newStreamResponder(encoder, 1000, func() { interrupts++ })
	for index := range 100 {
		responder.Chunk(platform.Chunk{Index: index, Text: "token"})
		if len(responder.pending) > 1000 {
			t.Fatalf("%d bytes are held", len(responder.pending))
		}
	}
	responder.Finish(gateway.Answer{End: platform.GenerateEnd{Chunks: 100}})
	next := responder.take(nil, func() { armed++ })
	if !next.overflow || len(next.events) != 0 || interrupts != 1 || armed != 0 {
		t.Fatalf("got %+v after %d interrupts, armed %d times", next, interrupts, armed)
	}
}

// TestStreamClosed checks that a closed responder neither keeps nor interrupts.
func TestStreamClosed(t *testing.T) {
	encoder := newEventEncoder(kindChat, "request", "model", time.Unix(0, 0))
	responder := newStreamResponder(encoder, 10, func() { t.Fatal("interrupted") })
	responder.close()
	responder.Chunk(platform.Chunk{Text: "long enough to overflow"})
	responder.Finish(gateway.Answer{})
	if len(responder.pending) != 0 {
		t.Fatal("events are kept")
	}
}
