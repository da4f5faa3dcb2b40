package api

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a reset of the next request on a keep-alive connection: if shutdown begins
// after a response has been written but before the server has marked its connection as idle,
// no connection is idle, and shutdown would close this one as soon as it is. Seen once under
// load as "read tcp …: connection reset by peer" at a caller's second request.
var _ = Describe("Idle connections", func() {
	It("are not quiet while a response is in progress", func() {
		connections := newIdleConnections()
		connection, _ := net.Pipe()
		started := time.Now()
		connections.observe(connection, http.StateNew)
		connections.observe(connection, http.StateActive)
		Expect(connections.isQuiet(started, started)).To(BeFalse())
		connections.observe(connection, http.StateIdle)
		Expect(connections.isQuiet(started, time.Now())).To(BeFalse())
		Expect(connections.isQuiet(started, time.Now().Add(quietPeriod))).To(BeTrue())
		connections.observe(connection, http.StateClosed)
		Expect(connections.isQuiet(started, time.Now())).To(BeTrue())
	})

	It("are not quiet until a period after the last response", func() {
		connections := newIdleConnections()
		connection, _ := net.Pipe()
		connections.observe(connection, http.StateActive)
		started := time.Now().Add(-time.Minute)
		connections.observe(connection, http.StateIdle)
		Expect(connections.isQuiet(started, time.Now())).To(BeFalse())
	})
})
