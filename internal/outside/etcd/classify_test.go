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

// answering returns a handler that gives one answer.
func answering(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func cutShort(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"succeeded":true`)
}

func hang(_ http.ResponseWriter, r *http.Request) {
	// The server notices that the client has gone only after the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

const noLeader = `{"code":14,"message":"etcdserver: no leader"}`

var _ = Describe("Client", func() {
	DescribeTable("says of a failed write only what is proved",
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
		Entry("rate limit", answering(http.StatusTooManyRequests, `{"code":8}`), outside.ErrNotApplied),
		Entry("bad request", answering(http.StatusBadRequest, `{"code":3}`), outside.ErrNotApplied),
		Entry("unauthorized", answering(http.StatusUnauthorized, ""), outside.ErrNotApplied),
		Entry("no leader", answering(http.StatusServiceUnavailable, noLeader), outside.ErrNotApplied),
		Entry("redirect, not followed", http.RedirectHandler("/elsewhere", http.StatusTemporaryRedirect).ServeHTTP, outside.ErrNotApplied),
		Entry("leader changed midway", answering(http.StatusServiceUnavailable, `{"code":14,"message":"etcdserver: leader changed"}`), outside.ErrAmbiguous),
		Entry("unexplained unavailability", answering(http.StatusServiceUnavailable, ""), outside.ErrAmbiguous),
		Entry("internal error", answering(http.StatusInternalServerError, ""), outside.ErrAmbiguous),
		Entry("gateway timeout", answering(http.StatusGatewayTimeout, ""), outside.ErrAmbiguous),
		Entry("request timeout", answering(http.StatusRequestTimeout, ""), outside.ErrAmbiguous),
		Entry("garbage", answering(http.StatusOK, "<html>"), outside.ErrAmbiguous),
		Entry("too large", answering(http.StatusOK, `{"x":"`+strings.Repeat("y", maxResponseBytes)+`"}`), outside.ErrAmbiguous),
		Entry("cut short", http.HandlerFunc(cutShort), outside.ErrAmbiguous),
		Entry("connection closed", http.HandlerFunc(abort), outside.ErrAmbiguous),
		Entry("no answer in time", http.HandlerFunc(hang), outside.ErrAmbiguous),
	)

	DescribeTable("says of a lease only what is proved",
		func(handler http.HandlerFunc, expected error) {
			client := newClient(serve(handler))
			err := awaitError(func(done func(error)) { client.KeepAlive(5, longTimeout, done) })
			Expect(err).To(MatchError(expected))
		},
		Entry("not found", answering(http.StatusNotFound, `{"code":5,"message":"etcdserver: requested lease not found"}`), outside.ErrLeaseNotFound),
		Entry("no time left", answering(http.StatusOK, `{"result":{"ID":"5"}}`), outside.ErrLeaseNotFound),
		Entry("error in the stream", answering(http.StatusOK, `{"error":{"code":5,"message":"etcdserver: requested lease not found"}}`), outside.ErrLeaseNotFound),
		Entry("other error in the stream", answering(http.StatusOK, `{"error":{"code":14}}`), outside.ErrAmbiguous),
		Entry("empty", answering(http.StatusOK, `{}`), outside.ErrAmbiguous),
		Entry("path not found", answering(http.StatusNotFound, ""), outside.ErrNotApplied),
	)

	It("knows that a write was not sent when nobody listens, and uses the next endpoint", func() {
		gone := httptest.NewServer(http.NotFoundHandler())
		gone.Close()
		Expect(transact(newClient(gone.URL), longTimeout, outside.Transaction{}).err).To(MatchError(outside.ErrNotApplied))
		live := serve(answering(http.StatusOK, `{"header":{"revision":"4"},"succeeded":true}`))
		end := transact(newClient(gone.URL, live), longTimeout, outside.Transaction{})
		Expect(end.err).NotTo(HaveOccurred())
		Expect(end.result.Revision).To(BeEquivalentTo(4))
	})

	It("sends an ambiguous write to no other endpoint, and the next one there", func() {
		asked := make(chan struct{}, 10)
		live := serve(func(w http.ResponseWriter, r *http.Request) {
			asked <- struct{}{}
			answering(http.StatusOK, `{"succeeded":true}`)(w, r)
		})
		client := newClient(serve(abort), live)
		Expect(transact(client, longTimeout, outside.Transaction{}).err).To(MatchError(outside.ErrAmbiguous))
		Expect(asked).To(BeEmpty())
		Expect(transact(client, longTimeout, outside.Transaction{}).err).NotTo(HaveOccurred())
	})

	It("ends calls at Close, and sends none after", func() {
		client := newClient(serve(hang))
		ended := make(chan error, 1)
		client.RevokeLease(5, time.Hour, func(err error) { ended <- err })
		client.Close()
		Expect(ended).To(Receive(HaveOccurred()))
		Expect(transact(client, longTimeout, outside.Transaction{}).err).To(MatchError(outside.ErrNotApplied))
	})

	DescribeTable("refuses settings that can't work",
		func(config etcd.Config) {
			_, err := etcd.New(config)
			Expect(err).To(HaveOccurred())
		},
		Entry("no endpoint", etcd.Config{}),
		Entry("no URL", etcd.Config{Endpoints: []string{"127.0.0.1:2379"}}),
		Entry("a timeout of the HTTP client", etcd.Config{Endpoints: []string{"http://h"}, HTTPClient: &http.Client{Timeout: 1}}),
		Entry("a transport that can't be traced", etcd.Config{Endpoints: []string{"http://h"}, HTTPClient: &http.Client{Transport: http.NewFileTransport(nil)}}),
	)
})
