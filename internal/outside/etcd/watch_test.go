package etcd_test

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// watcher is a handler that sends the calls of a watch to channels.
type watcher struct {
	events chan outside.WatchEvent
	lost   chan error
}

func newWatcher() *watcher {
	return &watcher{events: make(chan outside.WatchEvent, 100), lost: make(chan error, 2)}
}

func (w *watcher) Events(_ int64, events []outside.WatchEvent) {
	for _, event := range events {
		w.events <- event
	}
}

func (w *watcher) Lost(err error) { w.lost <- err }

// stream returns a handler that sends messages and keeps the stream open.
func stream(messages string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, messages)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

const firstEvents = `{"result":{"header":{"revision":"5"},"created":true}}
{"result":{"header":{"revision":"6"},"events":[{"kv":{"key":"YQ==","value":"MQ==","mod_revision":"5"}},
{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"6"}}]}}
`

var _ = Describe("Watch", func() {
	DescribeTable("delivers the events received before its failure and then is lost",
		func(handler http.HandlerFunc, events int, expected any) {
			watcher := newWatcher()
			defer newClient(serve(handler)).Watch("a", 4, watcher)()
			var lost error
			Eventually(watcher.lost, longTimeout).Should(Receive(&lost))
			Expect(lost).To(MatchError(expected))
			Expect(watcher.events).To(HaveLen(events))
		},
		Entry("silence", stream(firstEvents), 2, ContainSubstring("watch idle timeout exceeded")),
		Entry("end of stream", respondWith(http.StatusOK, firstEvents), 2, io.EOF),
		Entry("garbage", stream(firstEvents+"<html>"), 2, ContainSubstring("invalid character")),
		Entry("revision repeated", stream(firstEvents+firstEvents), 2, ContainSubstring("out of order")),
		Entry("error in the stream", stream(firstEvents+`{"error":{"message":"moved"}}`), 2, ContainSubstring("moved")),
		Entry("canceled", stream(`{"result":{"canceled":true,"cancel_reason":"why"}}`), 0, ContainSubstring("why")),
		Entry("compacted", stream(`{"result":{"canceled":true,"compact_revision":"9"}}`), 0, outside.ErrCompacted),
		Entry("message too large", stream(`{"result":{"x":"`+strings.Repeat("y", 2*maxResponseBytes)), 0, ContainSubstring("too large")),
		Entry("refused", respondWith(http.StatusServiceUnavailable, noLeader), 0, outside.ErrNotApplied),
	)

	It("does not call Lost after stop", func() {
		watcher := newWatcher()
		client := newClient(serve(stream(firstEvents)))
		stop := client.Watch("a", 4, watcher)
		Eventually(watcher.events, longTimeout).Should(HaveLen(2))
		stop()
		client.Close()
		Expect(watcher.lost).To(BeEmpty())
	})
})
