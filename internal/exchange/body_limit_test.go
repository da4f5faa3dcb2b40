package exchange

import (
	"context"
	"errors"
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

// endlessBodies are bodies that do not end, after a head with the ID 1.
var endlessBodies = map[string][2]string{
	"until the connection ends": {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", strings.Repeat("x", 1000)},
	"chunks":                    {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"one chunk":                 {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n", strings.Repeat("x", 1000)},
	"chunk extension":           {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", strings.Repeat("x", 1000)},
	"chunk extensions":          {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;a=" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
	"trailer line":              {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-A: ", strings.Repeat("x", 1000)},
	"trailers":                  {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", strings.Repeat("X-A: b\r\n", 100)},
	"length":                    {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("x", 1000)},
}

// Guards against reading a body without a bound where it is read whole.
func TestBodyWithoutEndIsCut(t *testing.T) {
	const limit = 20_000
	for name, body := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			server := newEndlessServer(body[0], body[1], 10*time.Microsecond)
			withEndlessServer(t, server, func(client *Client, log *anomalyLog) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				response, err := client.Do(ctx, requestFor("1"))
				Expect(err).NotTo(HaveOccurred())
				content, err := ReadBody(response, limit)
				Expect(err).To(HaveOccurred())
				Expect(len(content)).To(BeZero())
				Expect(ctx.Err()).NotTo(HaveOccurred(), "it ended before the deadline")
				<-server.closed
				// Each byte in a chunk of its own takes six bytes on the connection.
				Expect(server.taken.Load()).To(BeNumerically("<=", 6*limit+2*readBuffer))
				if errors.Is(err, ErrBodyTooLong) {
					Expect(log.kinds()).To(Equal([]AnomalyKind{AnomalyBodyTooLong}))
				}
			})
		})
	}
}

// A body of the maximum length is read, and its connection reused.
func TestBodyOfMaximumLengthIsRead(t *testing.T) {
	withServer(t, []connectionScript{respondWith(encodedResponse("1", "one"), "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n", encodedResponse("1", "four"))}, func(client *Client, server *scriptedServer) {
		for _, expected := range []string{"one", "two"} {
			response, err := client.Do(context.Background(), requestFor("1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(ReadBody(response, 3)).To(BeEquivalentTo(expected))
		}
		Expect(server.dials).To(Equal(1))
		response, err := client.Do(context.Background(), requestFor("1"))
		Expect(err).NotTo(HaveOccurred())
		_, err = ReadBody(response, 3)
		Expect(err).To(MatchError(ErrBodyTooLong))
		Expect(client.idle).To(BeEmpty())
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
