package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/edge"
	"github.com/hatchplank/hatchplank/internal/inspect"
	"github.com/hatchplank/hatchplank/platform/standin"
)

// departingServer sends responses without a length, of which it holds the second half back until it is told to end.
type departingServer struct {
	deployment *deployment
	listener   net.Listener
	// halves receives a value for each first half that was sent, and ending is closed when the server ends.
	halves, ending chan struct{}
	// finishes: the second half is sent before the server ends.
	finishes bool
	// ended is closed once the server listens no longer and its connections are closed.
	ended chan struct{}
}

func startDepartingServer(t *testing.T, d *deployment, finishes bool) *departingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &departingServer{
		deployment: d, listener: listener, finishes: finishes,
		halves: make(chan struct{}, 1), ending: make(chan struct{}), ended: make(chan struct{}),
	}
	server := &http.Server{Handler: s}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return s
}

func (s *departingServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !strings.HasPrefix(request.URL.Path, "/p/") {
		return
	}
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHatchplank-Request-Id: %s\r\nHatchplank-Server-Seal: seal\r\nConnection: close\r\n\r\nfirst ",
		request.Header.Get("Hatchplank-Request-Id"))
	s.halves <- struct{}{}
	<-s.ending
	if s.finishes {
		_, _ = io.WriteString(conn, "second")
	}
	_ = s.listener.Close()
	_ = conn.Close()
	close(s.ended)
}

// end ends the server.
func (s *departingServer) end() {
	close(s.ending)
	<-s.ended
}

// record writes the server's record, with further fields.
func (s *departingServer) record(further string) {
	s.deployment.put(standin.ServerKey("i-departs"),
		fmt.Sprintf(`{"service":"departing","address":%q,"zone":"z","slots":8,%s}`, s.listener.Addr(), further))
}

// departingRoute adds a route to the pool of the departing server.
var departingRoute = strings.NewReplacer(
	`"path-prefix":"/p/"`, `"path-prefix":"/other/"`,
	`"routes":[`, `"routes":[{"name":"d","host":"h.example","path-prefix":"/p/","kind":"non_idempotent","timeout-ms":20000,"target-latency-ms":15000,"priority":1,"service":"departing","max-attempts":1},`,
	`"services":[`, `"services":[{"name":"departing","max-connections":10},`,
)

// drains reports whether a server drains, according to a status page.
func drains(page inspect.Page, id string) bool {
	return slices.ContainsFunc(page.Servers, func(server inspect.Server) bool { return server.ID == id && server.Draining })
}

// Guards against a whole response that is broken at its caller, since its server shut down as planned right after it,
// and against a part of a response that is passed on as whole, since its server crashed while it was to shut down.
func TestUnframedResponsesOfServersThatShutDown(t *testing.T) {
	const draining, born, bornAgain = `"state":"draining"`, `,"born":1700000000000`, `,"born":1700000009000`
	cases := map[string]struct {
		// record is the last one before the server ends, and whole tells whether the response is.
		record string
		whole  bool
		// after is done once the server has ended.
		after func(d *deployment, s *departingServer)
	}{
		"left, record removed": {draining, true, func(d *deployment, _ *departingServer) { d.remove(standin.ServerKey("i-departs")) }},
		"left, started again under its ID": {draining + born, true, func(d *deployment, s *departingServer) {
			d.remove(standin.ServerKey("i-departs"))
			s.record(`"state":"ready"` + bornAgain)
		}},
		"crashed, record stays":               {draining, false, func(*deployment, *departingServer) {}},
		"crashed, started again under its ID": {draining + born, false, func(_ *deployment, s *departingServer) { s.record(`"state":"ready"` + bornAgain) }},
		"removed at a fixed time":             {draining + `,"remaining-ms":300`, false, func(d *deployment, _ *departingServer) { d.remove(standin.ServerKey("i-departs")) }},
		"not draining":                        {`"state":"ready"`, false, func(d *deployment, _ *departingServer) { d.remove(standin.ServerKey("i-departs")) }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			d := newDeployment(t)
			d.put(standin.ConfigurationKey, departingRoute.Replace(standin.SmallConfiguration))
			server := startDepartingServer(t, d, test.whole)
			server.record(strings.Replace(test.record, "draining", "ready", 1))
			process, _ := d.run(t, "x")
			url := "http://" + process.Address(edge.Callers)
			statuses := make(chan int, 1)
			go func() { statuses <- standin.Post(url, "/p/x", "") }()
			Eventually(server.halves, "30s").Should(Receive())
			server.record(test.record)
			Eventually(func() bool { return drains(statusPage(process), "i-departs") }, "30s").Should(Equal(strings.Contains(test.record, "draining")))
			server.end()
			test.after(d, server)
			expected := http.StatusBadGateway
			if test.whole {
				expected = http.StatusOK
			}
			Eventually(statuses, "30s").Should(Receive(Equal(expected)))
		})
	}
}
