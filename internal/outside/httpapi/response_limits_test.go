package httpapi_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/httpapi"
)

// Guards against responses without end that no log line or counter shows.
var _ = DescribeTable("a response without end is cut and reported", func(first, repeated string, kind exchange.AnomalyKind) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 4<<10))
		for text := first; err == nil; text = repeated {
			_, err = io.WriteString(conn, text)
		}
	}()
	var mutex sync.Mutex
	var kinds []exchange.AnomalyKind
	client := httpapi.NewBackEnds(func(outside.ServerID) (string, bool) { return listener.Addr().String(), true }, httpapi.Options{
		MaxResponseBytes: 1 << 20,
		OnAnomaly: func(anomaly exchange.Anomaly) {
			mutex.Lock()
			defer mutex.Unlock()
			kinds = append(kinds, anomaly.Kind)
		},
	})
	defer client.Close()
	failed := make(chan error, 1)
	client.Call(outside.BackEndRequest{Attempt: "a1", Method: http.MethodGet, Path: "/x", Deadline: time.Now().Add(time.Minute)}, func(_ outside.BackEndResponse, err error) {
		failed <- err
	})
	var failure *outside.AttemptError
	Eventually(failed, "30s").Should(Receive(BeAssignableToTypeOf(failure)))
	Eventually(closed, "30s").Should(BeClosed())
	mutex.Lock()
	defer mutex.Unlock()
	Expect(kinds).To(Equal([]exchange.AnomalyKind{kind}))
},
	Entry("headers", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: b\r\n", 100), exchange.AnomalyHeadTooLong),
	Entry("no HTTP", "", strings.Repeat("x", 1000), exchange.AnomalyHeadTooLong),
	Entry("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", exchange.AnomalyTooManyInterim),
	Entry("body", "HTTP/1.1 200 OK\r\n"+httpapi.HeaderAttempt+": a1\r\n\r\n", strings.Repeat("x", 1000), exchange.AnomalyBodyTooLong),
)
