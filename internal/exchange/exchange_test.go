package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// connectionScript is the behaviour of a server on one connection.
type connectionScript func(conn net.Conn, reader *bufio.Reader)

// scriptedServer runs the next script on each new connection, and refuses connections once all
// scripts have been used.
type scriptedServer struct {
	mutex   sync.Mutex
	scripts []connectionScript
	dials   int
}

func (s *scriptedServer) dial(context.Context, string) (net.Conn, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.dials >= len(s.scripts) {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	run := s.scripts[s.dials]
	s.dials++
	go func() {
		run(far, bufio.NewReader(far))
		_ = far.Close()
	}()
	return near, nil
}

// readRequest reads one request with its body.
func readRequest(reader *bufio.Reader) (*http.Request, string) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(request.Body)
	return request, string(body)
}

// respondWith returns a script that answers each request with the next text, and then reads on
// without responding.
func respondWith(texts ...string) connectionScript {
	return func(conn net.Conn, reader *bufio.Reader) {
		for _, text := range texts {
			if request, _ := readRequest(reader); request == nil {
				return
			}
			_, _ = io.WriteString(conn, text)
		}
		_, _ = io.Copy(io.Discard, reader)
	}
}

// encodedResponse returns the encoding of a response with the ID and a body of at most nine bytes.
func encodedResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// requestFor returns a request that accepts only the response with the ID.
func requestFor(id string) Request {
	return Request{
		Address: "s", Method: http.MethodPost, Head: []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"), Body: []byte("ab"),
		Matches: func(head *http.Response) bool { return head.Header.Get("Id") == id },
	}
}

// read reads the body of a response and closes it.
func read(response *http.Response) (string, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// withServer runs a test in a synctest bubble, with a client of a scripted server.
func withServer(t *testing.T, scripts []connectionScript, test func(client *Client, server *scriptedServer)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		server := &scriptedServer{scripts: scripts}
		client := NewClient(DialSettings{Timeout: time.Second, Dial: server.dial})
		defer func() {
			client.Prune(time.Now().Add(time.Hour))
			// Scripts that still wait end within this time.
			time.Sleep(time.Minute)
			synctest.Wait()
		}()
		test(client, server)
	})
}

func TestReusesAConnection(t *testing.T) {
	withServer(t, []connectionScript{respondWith(encodedResponse("1", "one"), encodedResponse("2", "two"))}, func(client *Client, server *scriptedServer) {
		for _, id := range []string{"1", "2"} {
			response, err := client.Do(context.Background(), requestFor(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(HaveLen(3))
		}
		Expect(server.dials).To(Equal(1))
		Expect(client.Opened()).To(BeEquivalentTo(1))
	})
}

// A node that sends one request to each of very many servers keeps few of the connections.
func TestIdleConnectionsAreBounded(t *testing.T) {
	const servers, limit = 200, 10
	scripts := make([]connectionScript, servers)
	for i := range scripts {
		scripts[i] = respondWith(encodedResponse("1", "one"))
	}
	withServer(t, scripts, func(client *Client, server *scriptedServer) {
		client.SetMaxIdle(limit)
		for number := range servers {
			request := requestFor("1")
			request.Address = fmt.Sprint("s", number)
			response, err := client.Do(context.Background(), request)
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(Equal("one"))
			Expect(client.idleCount).To(BeNumerically("<=", limit))
		}
		kept := 0
		for _, idle := range client.idle {
			kept += len(idle)
		}
		Expect(kept).To(Equal(limit))
		client.Prune(time.Now().Add(time.Hour))
		Expect(client.idleCount).To(BeZero())
		Expect(client.idle).To(BeEmpty())
	})
}

func TestNothingIsSentTwice(t *testing.T) {
	closeAfterRequest := func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
	}
	withServer(t, []connectionScript{closeAfterRequest, respondWith(encodedResponse("1", "one"))}, func(client *Client, server *scriptedServer) {
		_, err := client.Do(context.Background(), requestFor("1"))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, ErrNotSent)).To(BeFalse(), "the request may have run")
		Expect(server.dials).To(Equal(1))
	})
}

func TestReportsThatNothingWasSent(t *testing.T) {
	withServer(t, nil, func(client *Client, _ *scriptedServer) {
		_, err := client.Do(context.Background(), requestFor("1"))
		Expect(errors.Is(err, ErrNotSent)).To(BeTrue())
	})
}

func TestConnectionsThatAreNotReused(t *testing.T) {
	cases := map[string]string{
		"asked to close":         "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 3\r\n\r\none",
		"surplus answer":         encodedResponse("1", "one") + encodedResponse("1", "one"),
		"surplus bytes":          encodedResponse("1", "one") + "x",
		"idle timeout too short": "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=1\r\nContent-Length: 3\r\n\r\none",
		"answer of another, too": encodedResponse("0", "old") + encodedResponse("1", "one"),
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			withServer(t, []connectionScript{respondWith(text), respondWith(encodedResponse("2", "two"))}, func(client *Client, server *scriptedServer) {
				response, err := client.Do(context.Background(), requestFor("1"))
				Expect(err).NotTo(HaveOccurred())
				Expect(read(response)).To(Equal("one"))
				response, err = client.Do(context.Background(), requestFor("2"))
				Expect(err).NotTo(HaveOccurred())
				Expect(read(response)).To(Equal("two"))
				Expect(server.dials).To(Equal(2))
			})
		})
	}
}

func TestResponsesOfOtherRequestsAreRejected(t *testing.T) {
	cases := map[string]string{
		"only others'":        encodedResponse("7", "old") + encodedResponse("8", "old") + encodedResponse("9", "old"),
		"another's until end": "HTTP/1.1 200 OK\r\nId: 7\r\n\r\nold",
		"no answer":           "hello\r\n\r\n",
		"half a head":         "HTTP/1.1 200 OK\r\nId: 1\r\nConte",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			once := func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = io.WriteString(conn, text)
			}
			withServer(t, []connectionScript{once}, func(client *Client, _ *scriptedServer) {
				_, err := client.Do(context.Background(), requestFor("1"))
				Expect(err).To(HaveOccurred())
				Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
			})
		})
	}
}

func TestTruncatedBodiesAreErrors(t *testing.T) {
	cases := map[string]struct {
		text     string
		complete bool
	}{
		"shorter than announced": {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\none", false},
		"chunk cut":              {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\non", false},
		"last chunk missing":     {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n", false},
		"all chunks":             {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n", true},
		"until the end":          {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\none", true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			once := func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = io.WriteString(conn, test.text)
			}
			withServer(t, []connectionScript{once}, func(client *Client, _ *scriptedServer) {
				response, err := client.Do(context.Background(), requestFor("1"))
				Expect(err).NotTo(HaveOccurred())
				_, err = read(response)
				Expect(err == nil).To(Equal(test.complete))
			})
		})
	}
}

func TestSkipsInterimResponses(t *testing.T) {
	withServer(t, []connectionScript{respondWith("HTTP/1.1 100 Continue\r\n\r\n" + encodedResponse("1", "one"))}, func(client *Client, _ *scriptedServer) {
		response, err := client.Do(context.Background(), requestFor("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(read(response)).To(Equal("one"))
	})
}

// A server may respond before it has read the body. On a reused connection it would read the rest of
// the body as the next request.
func TestEarlyResponseToALongBodyClosesTheConnection(t *testing.T) {
	respondEarly := func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, encodedResponse("1", "one"))
		time.Sleep(time.Second)
	}
	withServer(t, []connectionScript{respondEarly, respondWith(encodedResponse("2", "two"))}, func(client *Client, server *scriptedServer) {
		long := requestFor("1")
		long.Body = []byte(strings.Repeat("x", 64<<10))
		long.Head = []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n")
		response, err := client.Do(context.Background(), long)
		Expect(err).NotTo(HaveOccurred())
		Expect(read(response)).To(Equal("one"))
		response, err = client.Do(context.Background(), requestFor("2"))
		Expect(err).NotTo(HaveOccurred())
		Expect(read(response)).To(Equal("two"))
		Expect(server.dials).To(Equal(2))
	})
}

func TestContextCancellationClosesTheConnection(t *testing.T) {
	closed := make(chan time.Duration, 1)
	neverRespond := func(_ net.Conn, reader *bufio.Reader) {
		started := time.Now()
		readRequest(reader)
		_, _ = io.Copy(io.Discard, reader)
		closed <- time.Since(started)
	}
	withServer(t, []connectionScript{neverRespond}, func(client *Client, _ *scriptedServer) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := client.Do(ctx, requestFor("1"))
		Expect(err).To(HaveOccurred())
		Expect(<-closed).To(Equal(300 * time.Millisecond))
	})
}

func TestConnectionClosedByTheServerIsNotReused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	RegisterTestingT(t)
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	closed := make(chan struct{})
	go func() {
		first, err := listener.Accept()
		if err != nil {
			return
		}
		readRequest(bufio.NewReader(first))
		_, _ = io.WriteString(first, encodedResponse("1", "one"))
		_ = first.Close()
		close(closed)
		second, err := listener.Accept()
		if err != nil {
			return
		}
		readRequest(bufio.NewReader(second))
		_, _ = io.WriteString(second, encodedResponse("2", "two"))
		_ = second.Close()
	}()
	client := NewClient(DialSettings{Timeout: 10 * time.Second, AckTimeout: time.Second})
	request := requestFor("1")
	request.Address = listener.Addr().String()
	response, err := client.Do(context.Background(), request)
	Expect(err).NotTo(HaveOccurred())
	Expect(read(response)).To(Equal("one"))
	<-closed
	kept := client.idle[route{address: request.Address}]
	Expect(kept).To(HaveLen(1))
	Eventually(kept[0].state).Should(Equal(idleClosed))
	request = requestFor("2")
	request.Address = listener.Addr().String()
	response, err = client.Do(context.Background(), request)
	Expect(err).NotTo(HaveOccurred())
	Expect(read(response)).To(Equal("two"))
}
