package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// endlessServer sends a text and then another one again and again, with a pause before each, until the
// caller closes. It counts the bytes that the caller took.
type endlessServer struct {
	first, repeated string
	pause           time.Duration

	taken  atomic.Int64
	closed chan time.Time
}

func newEndlessServer(first, repeated string, pause time.Duration) *endlessServer {
	return &endlessServer{first: first, repeated: repeated, pause: pause}
}

// run is the server's connectionScript.
func (s *endlessServer) run(conn net.Conn, reader *bufio.Reader) {
	readRequest(reader)
	text := s.first
	for {
		count, err := io.WriteString(conn, text)
		s.taken.Add(int64(count))
		if err != nil {
			s.closed <- time.Now()
			return
		}
		text = s.repeated
		time.Sleep(s.pause)
	}
}

// anomalyLog collects the anomalies that a client reports.
type anomalyLog struct {
	mutex sync.Mutex
	found []Anomaly
}

func (l *anomalyLog) record(anomaly Anomaly) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.found = append(l.found, anomaly)
}

func (l *anomalyLog) kinds() []AnomalyKind {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var kinds []AnomalyKind
	for _, anomaly := range l.found {
		kinds = append(kinds, anomaly.Kind)
	}
	return kinds
}

// withEndlessServer runs a test in a synctest bubble, with a client of an endless server.
func withEndlessServer(t *testing.T, server *endlessServer, test func(client *Client, log *anomalyLog)) {
	withServer(t, []connectionScript{server.run}, func(client *Client, _ *scriptedServer) {
		// Made here, since channels of a bubble of virtual time belong to it.
		server.closed = make(chan time.Time, 1)
		log := &anomalyLog{}
		client.OnAnomaly = log.record
		test(client, log)
	})
}

// endlessHeads are the ways in which the head of a response may not end.
var endlessHeads = map[string]struct {
	first, repeated string
	kind            AnomalyKind
	cause           error
}{
	"status line":         {"HTTP/1.1 200 ", strings.Repeat("x", 1000), AnomalyHeadTooLong, ErrHeadTooLong},
	"header line":         {"HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("x", 1000), AnomalyHeadTooLong, ErrHeadTooLong},
	"continued header":    {"HTTP/1.1 200 OK\r\nX-A: b\r\n", strings.Repeat(" x", 499) + "\r\n", AnomalyHeadTooLong, ErrHeadTooLong},
	"headers":             {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: b\r\n", 100), AnomalyHeadTooLong, ErrHeadTooLong},
	"no HTTP":             {"", strings.Repeat("\x00\x01", 500), AnomalyHeadTooLong, ErrHeadTooLong},
	"interim responses":   {"", "HTTP/1.1 102 Processing\r\n\r\n", AnomalyTooManyInterim, ErrTooManyInterim},
	"long interim ones":   {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 8000) + "\r\n\r\n", AnomalyHeadTooLong, ErrHeadTooLong},
	"endless interim one": {"HTTP/1.1 103 Early Hints\r\n", strings.Repeat("X-A: b\r\n", 100), AnomalyHeadTooLong, ErrHeadTooLong},
}

// Guards against reading the head of a response without a bound: a server that sent a status line,
// headers or bytes that are no HTTP without end was read until the request's deadline, 0.55 to 2.1 GB in
// three seconds.
func TestHeadWithoutEndIsCut(t *testing.T) {
	for name, head := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			server := newEndlessServer(head.first, head.repeated, 10*time.Microsecond)
			withEndlessServer(t, server, func(client *Client, log *anomalyLog) {
				ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
				defer cancel()
				_, err := client.Do(ctx, requestFor("1"))
				Expect(err).To(MatchError(head.cause))
				Expect(errors.Is(err, ErrNotSent)).To(BeFalse(), "the request may have run")
				Expect(ctx.Err()).NotTo(HaveOccurred(), "it ended before the deadline")
				<-server.closed
				Expect(server.taken.Load()).To(BeNumerically("<=", maxHeadBytes+readBuffer))
				Expect(log.kinds()).To(Equal([]AnomalyKind{head.kind}))
				Expect(client.idle).To(BeEmpty())
			})
		})
	}
}

// A head that trickles in is bounded by time: the connection is closed when the context ends.
func TestSlowHeadWithoutEndEndsWithTheContext(t *testing.T) {
	const limit, pause = 3 * time.Second, 100 * time.Millisecond
	for name, head := range map[string][2]string{
		"status line": {"HTTP/1.1 200 ", "x"},
		"headers":     {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"no HTTP":     {"", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			server := newEndlessServer(head[0], head[1], pause)
			withEndlessServer(t, server, func(client *Client, _ *anomalyLog) {
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				defer cancel()
				began := time.Now()
				_, err := client.Do(ctx, requestFor("1"))
				Expect(err).To(HaveOccurred())
				Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
				Expect(time.Since(began)).To(Equal(limit))
				Expect((<-server.closed).Sub(began)).To(BeNumerically("<=", limit+pause))
			})
		})
	}
}

// A head of the maximum length is read, whatever follows it, and also on a connection that is reused.
func TestHeadOfMaximumLengthIsRead(t *testing.T) {
	head := func(length int) string {
		const begin, end = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10000\r\nX-A: ", "\r\n\r\n"
		return begin + strings.Repeat("x", length-len(begin)-len(end)) + end
	}
	body := strings.Repeat("y", 10000)
	script := respondWith(head(maxHeadBytes)+body, head(maxHeadBytes)+body, head(maxHeadBytes+readBuffer+1)+body)
	withServer(t, []connectionScript{script}, func(client *Client, server *scriptedServer) {
		for range 2 {
			response, err := client.Do(context.Background(), requestFor("1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(Equal(body))
		}
		_, err := client.Do(context.Background(), requestFor("1"))
		Expect(err).To(MatchError(ErrHeadTooLong))
		Expect(server.dials).To(Equal(1))
	})
}

// Guards against a head within its length in bytes that takes 15 times as much memory: 10,000 short headers take
// 965 KiB, for as long as the response is passed on. What follows a head doesn't count.
func TestHeadOfManyShortHeadersIsCut(t *testing.T) {
	head := func(headers int) string {
		var head strings.Builder
		head.WriteString("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10000\r\n")
		for number := range headers {
			fmt.Fprintf(&head, "%x:\r\n", number)
		}
		return head.String() + "\r\n"
	}
	body := strings.Repeat("y\n", 5000)
	script := respondWith(head(500)+body, head(500)+body, head(9000)+body)
	withServer(t, []connectionScript{script}, func(client *Client, server *scriptedServer) {
		for range 2 {
			response, err := client.Do(context.Background(), requestFor("1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(Equal(body))
		}
		Expect(len(head(9000))).To(BeNumerically("<", maxHeadBytes))
		_, err := client.Do(context.Background(), requestFor("1"))
		Expect(err).To(MatchError(ErrHeadTooLong))
		Expect(server.dials).To(Equal(1))
	})
}
