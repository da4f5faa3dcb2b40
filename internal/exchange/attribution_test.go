package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // property tests repeat
)

// surplus is when a server sends the response to a request once more; zero: never.
type surplus int

const (
	// surplusAtOnce: directly after the response.
	surplusAtOnce surplus = iota + 1
	// surplusLate: a while after the response.
	surplusLate
	// surplusInPlaceOfNext: when the connection's next request arrives, before that one's response.
	surplusInPlaceOfNext
	surplusKinds
)

// sending is one request of a random test, and what its server does.
type sending struct {
	number   int
	startAt  time.Duration
	identity string
	notAfter []string
	// Behaviour of the server.
	rejects  bool
	takes    time.Duration
	surplus  surplus
	copies   int
	closes   bool
	interims int
}

const (
	identityOfOrders = "order call"
	surplusDelay     = 30 * time.Millisecond
)

func drawSending(t *rapid.T, number int) sending {
	drawn := sending{
		number: number, startAt: time.Duration(rapid.IntRange(0, 150).Draw(t, "start"))*time.Millisecond + time.Duration(number)*time.Microsecond,
		identity: rapid.SampledFrom([]string{"a", "b", "c", identityOfOrders}).Draw(t, "identity"),
		rejects:  rapid.Bool().Draw(t, "rejects"), takes: time.Duration(rapid.IntRange(0, 40).Draw(t, "takes")) * time.Millisecond,
		surplus: surplus(rapid.IntRange(0, int(surplusKinds)-1).Draw(t, "surplus")), copies: rapid.IntRange(1, 2).Draw(t, "copies"),
		closes: rapid.IntRange(0, 9).Draw(t, "closes") == 0, interims: rapid.IntRange(0, 2).Draw(t, "interims"),
	}
	drawn.notAfter = []string{drawn.identity}
	return drawn
}

// request returns the sending's request. Its responses carry the identity, unless it is an order.
func (s sending) request() Request {
	return Request{
		Address: "s", Method: http.MethodGet, Head: fmt.Appendf(nil, "GET /x HTTP/1.1\r\nHost: h\r\nSending: %d\r\n\r\n", s.number),
		Identity: s.identity, NotAfter: s.notAfter, Matches: func(head *http.Response) bool { return head.Header.Get("Id") == s.echoed() },
	}
}

func (s sending) echoed() string {
	if s.identity == identityOfOrders {
		return ""
	}
	return s.identity
}

func (s sending) response() string {
	status := "200 OK"
	if s.rejects {
		status = "503 Service Unavailable"
	}
	id := ""
	if s.echoed() != "" {
		id = "Id: " + s.echoed() + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sSending: %d\r\nContent-Length: 2\r\n\r\nok", status, id, s.number)
}

// surplusServer behaves as the sendings that it receives say.
type surplusServer struct {
	sendings []sending
	mutex    sync.Mutex
	dials    int
}

func (s *surplusServer) dial(context.Context, string) (net.Conn, error) {
	s.mutex.Lock()
	s.dials++
	s.mutex.Unlock()
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s *surplusServer) serve(conn net.Conn) {
	defer conn.Close()
	// One goroutine writes, since a writer that waits for another one stops virtual time.
	output, ended := make(chan string, 100), make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case text := <-output:
				_, _ = io.WriteString(conn, text)
			case <-ended:
				return
			}
		}
	}()
	reader := bufio.NewReader(conn)
	inPlaceOfNext := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		number, _ := strconv.Atoi(request.Header.Get("Sending"))
		received := s.sendings[number]
		for range received.interims {
			output <- "HTTP/1.1 102 Processing\r\n\r\n"
		}
		output <- inPlaceOfNext
		inPlaceOfNext = ""
		time.Sleep(received.takes)
		output <- received.response()
		for range received.copies {
			switch received.surplus {
			case surplusAtOnce:
				output <- received.response()
			case surplusLate:
				time.AfterFunc(surplusDelay, func() { output <- received.response() })
			case surplusInPlaceOfNext:
				inPlaceOfNext += received.response()
			}
		}
		if received.closes {
			time.Sleep(time.Millisecond) // until the response is written
			return
		}
	}
}

// discard reads the body of a response and closes it.
func discard(response *http.Response) error {
	_, err := read(response)
	return err
}

// exchangeAll performs the sendings and returns what was attributed to the wrong one; empty: nothing.
func exchangeAll(t *testing.T, sendings []sending) (wrong string, served int) {
	synctest.Test(t, func(*testing.T) {
		server := &surplusServer{sendings: sendings}
		client := NewClient(DialSettings{Timeout: time.Second, Dial: server.dial})
		var mutex sync.Mutex
		var running sync.WaitGroup
		for _, one := range sendings {
			running.Go(func() {
				time.Sleep(one.startAt)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				response, err := client.Do(ctx, one.request())
				if err != nil {
					return
				}
				_ = discard(response)
				mutex.Lock()
				defer mutex.Unlock()
				served++
				if got := response.Header.Get("Sending"); got != strconv.Itoa(one.number) {
					wrong = fmt.Sprintf("sending %d of %q received the response to sending %s", one.number, one.identity, got)
				}
			})
		}
		running.Wait()
		client.closeIdle()
		time.Sleep(time.Minute)
	})
	return wrong, served
}

// Guards against a surplus response that is taken for that of a later request with the same ID, or of a
// later order: the later one ran and counted as rejected.
func TestResponsesBelongToTheSendingThatReceivesThem(t *testing.T) {
	served := 0
	rapid.Check(t, func(r *rapid.T) {
		sendings := make([]sending, rapid.IntRange(2, 12).Draw(r, "sendings"))
		for i := range sendings {
			sendings[i] = drawSending(r, i)
		}
		wrong, count := exchangeAll(t, sendings)
		served += count
		if wrong != "" {
			r.Fatalf("%s", wrong)
		}
	})
	if served == 0 {
		t.Fatal("no sending received a response")
	}
}

// Guards against a connection that is closed, or opened anew for each request, since one request may not
// use it: others go on using it.
func TestConnectionThatOneRequestMayNotUseServesOthers(t *testing.T) {
	withServer(t, []connectionScript{
		respondWith(encodedResponse("1", "one"), encodedResponse("2", "two")), respondWith(encodedResponse("1", "new")),
	}, func(client *Client, server *scriptedServer) {
		send := func(id string) string {
			request := requestFor(id)
			request.Identity, request.NotAfter = id, []string{id}
			response, err := client.Do(context.Background(), request)
			Expect(err).NotTo(HaveOccurred())
			body, err := read(response)
			Expect(err).NotTo(HaveOccurred())
			return body
		}
		Expect(send("1")).To(Equal("one"))
		Expect(send("1")).To(Equal("new"), "on another connection")
		Expect(client.idleCount).To(Equal(2))
		client.idle[route{address: "s"}][1].expiresAt = time.Time{}
		Expect(send("2")).To(Equal("two"), "on the first connection")
		Expect(server.dials).To(Equal(2))
	})
}

// Guards against what is kept of the requests on a connection growing without bound.
func TestConnectionIsClosedAfterItsLastExchange(t *testing.T) {
	texts := make([]string, maxExchanges)
	for i := range texts {
		texts[i] = encodedResponse("1", "one")
	}
	withServer(t, []connectionScript{respondWith(texts...), respondWith(texts...)}, func(client *Client, server *scriptedServer) {
		for number := range maxExchanges + 1 {
			request := requestFor("1")
			request.Identity = fmt.Sprint(number)
			response, err := client.Do(context.Background(), request)
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(Equal("one"))
		}
		Expect(server.dials).To(Equal(2))
		Expect(client.idle[route{address: "s"}][0].sent.digests).To(HaveLen(1))
	})
}
