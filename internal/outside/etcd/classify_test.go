package etcd_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd"
)

// respondWith returns a handler that always sends the same response.
func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"succeeded":true`)
}

func hang(_ http.ResponseWriter, r *http.Request) {
	// The server detects a closed connection only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

const noLeader = `{"code":14,"message":"etcdserver: no leader"}`

var _ = Describe("Client", func() {
	DescribeTable("classifies a failed write as not applied only if that is certain",
		func(handler http.HandlerFunc, expected error) {
			client := newClient(serve(handler))
			end := transact(client, 200*time.Millisecond, outside.Transaction{})
			Expect(end.err).To(MatchError(expected))
			other := outside.ErrAmbiguous
			if expected == outside.ErrAmbiguous {
				other = outside.ErrNotApplied
			}
			Expect(end.err).NotTo(MatchError(other))
		},
		Entry("rate limit", respondWith(http.StatusTooManyRequests, `{"code":8}`), outside.ErrNotApplied),
		Entry("bad request", respondWith(http.StatusBadRequest, `{"code":3}`), outside.ErrNotApplied),
		Entry("unauthorized", respondWith(http.StatusUnauthorized, ""), outside.ErrNotApplied),
		Entry("no leader", respondWith(http.StatusServiceUnavailable, noLeader), outside.ErrNotApplied),
		Entry("redirect, not followed", http.RedirectHandler("/elsewhere", http.StatusTemporaryRedirect).ServeHTTP, outside.ErrNotApplied),
		Entry("leader changed during the call", respondWith(http.StatusServiceUnavailable, `{"code":14,"message":"etcdserver: leader changed"}`), outside.ErrAmbiguous),
		Entry("unavailable without a message", respondWith(http.StatusServiceUnavailable, ""), outside.ErrAmbiguous),
		Entry("internal error", respondWith(http.StatusInternalServerError, ""), outside.ErrAmbiguous),
		Entry("gateway timeout", respondWith(http.StatusGatewayTimeout, ""), outside.ErrAmbiguous),
		Entry("request timeout", respondWith(http.StatusRequestTimeout, ""), outside.ErrAmbiguous),
		Entry("garbage", respondWith(http.StatusOK, "<html>"), outside.ErrAmbiguous),
		Entry("too large", respondWith(http.StatusOK, `{"x":"`+strings.Repeat("y", maxResponseBytes)+`"}`), outside.ErrAmbiguous),
		Entry("truncated response", http.HandlerFunc(truncate), outside.ErrAmbiguous),
		Entry("connection closed", http.HandlerFunc(abort), outside.ErrAmbiguous),
		Entry("no response before the timeout", http.HandlerFunc(hang), outside.ErrAmbiguous),
	)

	DescribeTable("classifies the errors of a keep-alive",
		func(handler http.HandlerFunc, expected error) {
			client := newClient(serve(handler))
			err := awaitError(func(done func(error)) { client.KeepAlive(5, longTimeout, done) })
			Expect(err).To(MatchError(expected))
		},
		Entry("not found", respondWith(http.StatusNotFound, `{"code":5,"message":"etcdserver: requested lease not found"}`), outside.ErrLeaseNotFound),
		Entry("time to live of zero", respondWith(http.StatusOK, `{"result":{"ID":"5"}}`), outside.ErrLeaseNotFound),
		Entry("error in the stream", respondWith(http.StatusOK, `{"error":{"code":5,"message":"etcdserver: requested lease not found"}}`), outside.ErrLeaseNotFound),
		Entry("other error in the stream", respondWith(http.StatusOK, `{"error":{"code":14}}`), outside.ErrAmbiguous),
		Entry("empty", respondWith(http.StatusOK, `{}`), outside.ErrAmbiguous),
		Entry("path not found", respondWith(http.StatusNotFound, ""), outside.ErrNotApplied),
	)

	It("reports a write as not applied if the connection is refused, and uses the next endpoint", func() {
		closed := httptest.NewServer(http.NotFoundHandler())
		closed.Close()
		Expect(transact(newClient(closed.URL), longTimeout, outside.Transaction{}).err).To(MatchError(outside.ErrNotApplied))
		live := serve(respondWith(http.StatusOK, `{"header":{"revision":"4"},"succeeded":true}`))
		end := transact(newClient(closed.URL, live), longTimeout, outside.Transaction{})
		Expect(end.err).NotTo(HaveOccurred())
		Expect(end.result.Revision).To(BeEquivalentTo(4))
	})

	It("sends an ambiguous write to no other endpoint, and the next write to the next endpoint", func() {
		received := make(chan struct{}, 10)
		live := serve(func(w http.ResponseWriter, r *http.Request) {
			received <- struct{}{}
			respondWith(http.StatusOK, `{"succeeded":true}`)(w, r)
		})
		client := newClient(serve(abort), live)
		Expect(transact(client, longTimeout, outside.Transaction{}).err).To(MatchError(outside.ErrAmbiguous))
		Expect(received).To(BeEmpty())
		Expect(transact(client, longTimeout, outside.Transaction{}).err).NotTo(HaveOccurred())
	})

	It("cancels calls at Close, and sends none afterwards", func() {
		client := newClient(serve(hang))
		errs := make(chan error, 1)
		client.RevokeLease(5, time.Hour, func(err error) { errs <- err })
		client.Close()
		Expect(errs).To(Receive(HaveOccurred()))
		Expect(transact(client, longTimeout, outside.Transaction{}).err).To(MatchError(outside.ErrNotApplied))
	})

	DescribeTable("refuses an invalid configuration",
		func(config etcd.Config) {
			_, err := etcd.New(config)
			Expect(err).To(HaveOccurred())
		},
		Entry("no endpoint", etcd.Config{}),
		Entry("not a URL", etcd.Config{Endpoints: []string{"127.0.0.1:2379"}}),
		Entry("a timeout of the HTTP client", etcd.Config{Endpoints: []string{"http://h"}, HTTPClient: &http.Client{Timeout: 1}}),
		Entry("a transport that can't be traced", etcd.Config{Endpoints: []string{"http://h"}, HTTPClient: &http.Client{Transport: http.NewFileTransport(nil)}}),
	)
})
