package forward

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
