package exchange

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against taking part of a body for a response: after the first megabyte of a response of another
// request, the rest of its body was read as the next response.
func TestBodyOfASkippedResponseIsNeverReadAsAResponse(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 9999999\r\n\r\n" + strings.Repeat("x", maxSkippedBody)
	withServer(t, []connectionScript{respondWith(foreign + encodedResponse("1", "one"))}, func(client *Client, _ *scriptedServer) {
		log := &anomalyLog{}
		client.OnAnomaly = log.record
		_, err := client.Do(context.Background(), requestFor("1"))
		Expect(err).To(MatchError(ErrResponseMismatch))
		Expect(log.kinds()).To(Equal([]AnomalyKind{AnomalyForeignResponse, AnomalyBodyTooLong}))
	})
}

// The body of an answer that is passed on is read no faster than its reader takes it, and its connection
// closed at once when the caller leaves.
func TestBodyWithoutEndFollowsItsReader(t *testing.T) {
	for name, leave := range map[string]func(response *http.Response, cancel func()){
		"closed":    func(response *http.Response, _ func()) { _ = response.Body.Close() },
		"cancelled": func(_ *http.Response, cancel func()) { cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			const passedOn = 100_000
			server := newEndlessServer("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", strings.Repeat("x", 1000), 0)
			withEndlessServer(t, server, func(client *Client, _ *anomalyLog) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				response, err := client.Do(ctx, requestFor("1"))
				Expect(err).NotTo(HaveOccurred())
				_, err = io.CopyN(io.Discard, response.Body, passedOn)
				Expect(err).NotTo(HaveOccurred())
				synctest.Wait()
				Expect(server.taken.Load()).To(BeNumerically("<=", passedOn+2*readBuffer))
				left := time.Now()
				leave(response, cancel)
				Expect((<-server.closed).Sub(left)).To(BeZero())
			})
		})
	}
}
