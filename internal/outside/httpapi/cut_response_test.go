package httpapi_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
	"github.com/hatchplank/hatchplank/internal/result"
)

// serveBytes answers the request on each connection with the bytes that it receives, and closes the connection.
func serveBytes(responses <-chan string) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, <-responses)
			}
			_ = conn.Close()
		}
	}()
	return listener
}

// A server closed its connection in the middle of a response without length or chunks, and the caller got it as a
// whole one.
var _ = DescribeTable("a response of a back end that breaks off is of unknown outcome", func(head, body string, whole bool) {
	responses := make(chan string, 1)
	listener := serveBytes(responses)
	defer listener.Close()
	client := httpapi.NewBackEnds(func(outside.ServerID) (string, bool) { return listener.Addr().String(), true }, httpapi.Options{})
	defer client.Close()
	call := func(response string) (got outside.BackEndResponse, failure error) {
		responses <- response
		done := make(chan struct{})
		request := outside.BackEndRequest{Attempt: "a1", Method: http.MethodPost, Path: "/x", Body: []byte("{}"), Deadline: time.Now().Add(time.Minute)}
		client.Call(request, func(response outside.BackEndResponse, err error) {
			got, failure = response, err
			close(done)
		})
		<-done
		return got, failure
	}
	response := head + httpapi.HeaderAttempt + ": a1\r\n\r\n" + body
	for cut := range len(response) {
		_, err := call(response[:cut])
		Expect(err).To(HaveOccurred(), fmt.Sprintf("cut behind byte %d of %d", cut, len(response)))
		Expect(err.(*outside.AttemptError).Ran).To(Equal(result.RanUnknown))
	}
	got, err := call(response)
	if !whole {
		Expect(err).To(HaveOccurred())
		return
	}
	Expect(err).NotTo(HaveOccurred())
	Expect(string(got.Body)).To(Equal("the whole answer"))
},
	Entry("length", "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n", "the whole answer", true),
	Entry("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "10\r\nthe whole answer\r\n0\r\n\r\n", true),
	Entry("trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "10\r\nthe whole answer\r\n0\r\nX-A: b\r\n\r\n", true),
	Entry("HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\nContent-Length: 16\r\n", "the whole answer", true),
	Entry("neither", "HTTP/1.1 200 OK\r\n", "the whole answer", false),
	Entry("neither, Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "the whole answer", false),
	Entry("HTTP/1.0", "HTTP/1.0 200 OK\r\n", "the whole answer", false),
	Entry("problem document", "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/problem+json\r\n", `{"ran":"no"}`, false),
)
