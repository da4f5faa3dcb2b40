package forward

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// discarding is a responder that keeps nothing.
type discarding struct{}

func (discarding) Begin(*Reply) {}

func (discarding) Write([]byte) error { return nil }

// BenchmarkRelayEvents passes on streams of 200 events of 200 bytes, an event in each read.
func BenchmarkRelayEvents(b *testing.B) {
	parts := events(1, 200)
	for i := range parts {
		parts[i] = strings.Replace(parts[i], "data: x", "data: "+strings.Repeat("x", 180), 1)
	}
	t := newTestbed(100)
	b.ReportAllocs()
	for range b.N {
		flow := t.forwarder.newFlow(request("stream", "m", time.Minute), testRoutes()[0])
		flow.latestServer.Store(&fleet.Server{})
		reply := &Reply{Status: 200, Events: true, Body: &scriptedBody{ctx: context.Background(), parts: parts, err: io.EOF}}
		if err := t.forwarder.relayEvents(flow, reply, discarding{}, t.forwarder.newSwitchover(flow, func(error) {})); err != nil && !errors.Is(err, io.EOF) {
			b.Fatal(err)
		}
	}
}
