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

// script is what a server does on one connection, after each request's head.
type script func(conn net.Conn, reader *bufio.Reader)

// scriptedServer gives each new connection the next script.
type scriptedServer struct {
	mutex   sync.Mutex
	scripts []script
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

func answers(texts ...string) script {
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

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func requestFor(id string) Request {
	return Request{
		Address: "s", Method: http.MethodPost, Head: []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"), Body: []byte("ab"),
		Matches: func(head *http.Response) bool { return head.Header.Get("Id") == id },
	}
}

func read(response *http.Response) (string, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func withServer(t *testing.T, scripts []script, body func(client *Client, server *scriptedServer)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		server := &scriptedServer{scripts: scripts}
		client := NewClient(DialSettings{Timeout: time.Second, Dial: server.dial})
		body(client, server)
		client.Prune(time.Now().Add(time.Hour))
		// Servers that still wait for something end meanwhile.
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

func TestKeepsAConnectionForTheNextRequest(t *testing.T) {
	withServer(t, []script{answers(answer("1", "one"), answer("2", "two"))}, func(client *Client, server *scriptedServer) {
		for _, id := range []string{"1", "2"} {
			response, err := client.Do(context.Background(), requestFor(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(HaveLen(3))
		}
		Expect(server.dials).To(Equal(1))
		Expect(client.Opened()).To(BeEquivalentTo(1))
	})
}

// A node that asks very many servers once keeps few of the connections.
func TestIdleConnectionsAreBounded(t *testing.T) {
	const servers, most = 200, 10
	scripts := make([]script, servers)
	for i := range scripts {
		scripts[i] = answers(answer("1", "one"))
	}
	withServer(t, scripts, func(client *Client, server *scriptedServer) {
		client.SetMaxIdle(most)
		for number := range servers {
			request := requestFor("1")
			request.Address = fmt.Sprint("s", number)
			response, err := client.Do(context.Background(), request)
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(Equal("one"))
			Expect(client.kept).To(BeNumerically("<=", most))
		}
		kept := 0
		for _, idle := range client.idle {
			kept += len(idle)
		}
		Expect(kept).To(Equal(most))
		client.Prune(time.Now().Add(time.Hour))
		Expect(client.kept).To(BeZero())
		Expect(client.idle).To(BeEmpty())
	})
}

func TestNothingIsSentTwice(t *testing.T) {
	closes := func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
	}
	withServer(t, []script{closes, answers(answer("1", "one"))}, func(client *Client, server *scriptedServer) {
		_, err := client.Do(context.Background(), requestFor("1"))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, ErrNotSent)).To(BeFalse(), "the request may have run")
		Expect(server.dials).To(Equal(1))
	})
}

func TestTellsThatNothingWasSent(t *testing.T) {
	withServer(t, nil, func(client *Client, _ *scriptedServer) {
		_, err := client.Do(context.Background(), requestFor("1"))
		Expect(errors.Is(err, ErrNotSent)).To(BeTrue())
	})
}

func TestConnectionsAreNotUsedAgain(t *testing.T) {
	cases := map[string]string{
		"told to close":          "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 3\r\n\r\none",
		"surplus answer":         answer("1", "one") + answer("1", "one"),
		"surplus bytes":          answer("1", "one") + "x",
		"no time to keep":        "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=1\r\nContent-Length: 3\r\n\r\none",
		"answer of another, too": answer("0", "old") + answer("1", "one"),
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			withServer(t, []script{answers(text), answers(answer("2", "two"))}, func(client *Client, server *scriptedServer) {
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

func TestAnswersThatAreNotTheRequests(t *testing.T) {
	cases := map[string]string{
		"only others'":        answer("7", "old") + answer("8", "old") + answer("9", "old"),
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
			withServer(t, []script{once}, func(client *Client, _ *scriptedServer) {
				_, err := client.Do(context.Background(), requestFor("1"))
				Expect(err).To(HaveOccurred())
				Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
			})
		})
	}
}

func TestBodiesThatAreNotWhole(t *testing.T) {
	cases := map[string]struct {
		text  string
		whole bool
	}{
		"shorter than told": {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\none", false},
		"chunk cut":         {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\non", false},
		"last chunk left":   {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n", false},
		"all chunks":        {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n", true},
		"until the end":     {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\none", true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			once := func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = io.WriteString(conn, test.text)
			}
			withServer(t, []script{once}, func(client *Client, _ *scriptedServer) {
				response, err := client.Do(context.Background(), requestFor("1"))
				Expect(err).NotTo(HaveOccurred())
				_, err = read(response)
				Expect(err == nil).To(Equal(test.whole))
			})
		})
	}
}

func TestSkipsInterimAnswers(t *testing.T) {
	withServer(t, []script{answers("HTTP/1.1 100 Continue\r\n\r\n" + answer("1", "one"))}, func(client *Client, _ *scriptedServer) {
		response, err := client.Do(context.Background(), requestFor("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(read(response)).To(Equal("one"))
	})
}

// A server may answer before it has read the body; what is left of the body must
// not be taken as the next request.
func TestEarlyAnswerToALongBodyCostsTheConnection(t *testing.T) {
	early := func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer("1", "one"))
		time.Sleep(time.Second)
	}
	withServer(t, []script{early, answers(answer("2", "two"))}, func(client *Client, server *scriptedServer) {
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

func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan time.Duration, 1)
	waits := func(_ net.Conn, reader *bufio.Reader) {
		started := time.Now()
		readRequest(reader)
		_, _ = io.Copy(io.Discard, reader)
		closed <- time.Since(started)
	}
	withServer(t, []script{waits}, func(client *Client, _ *scriptedServer) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := client.Do(ctx, requestFor("1"))
		Expect(err).To(HaveOccurred())
		Expect(<-closed).To(Equal(300 * time.Millisecond))
	})
}

func TestConnectionThatTheServerClosedIsNotUsed(t *testing.T) {
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
		_, _ = io.WriteString(first, answer("1", "one"))
		_ = first.Close()
		close(closed)
		second, err := listener.Accept()
		if err != nil {
			return
		}
		readRequest(bufio.NewReader(second))
		_, _ = io.WriteString(second, answer("2", "two"))
		_ = second.Close()
	}()
	client := NewClient(DialSettings{Timeout: 10 * time.Second, AckTimeout: time.Second})
	asked := requestFor("1")
	asked.Address = listener.Addr().String()
	response, err := client.Do(context.Background(), asked)
	Expect(err).NotTo(HaveOccurred())
	Expect(read(response)).To(Equal("one"))
	<-closed
	kept := client.idle[asked.Address]
	Expect(kept).To(HaveLen(1))
	Eventually(kept[0].quiet).Should(BeFalse())
	asked = requestFor("2")
	asked.Address = listener.Addr().String()
	response, err = client.Do(context.Background(), asked)
	Expect(err).NotTo(HaveOccurred())
	Expect(read(response)).To(Equal("two"))
}
