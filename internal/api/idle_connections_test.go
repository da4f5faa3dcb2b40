package api

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A caller had read a whole answer on a kept connection and sent its next request, and found the
// connection reset: the node had been told to stop at the moment between the answer and the
// server's note that the connection waits again, saw no connection that waits, and closed
// at once the one that did a moment later. Seen once beside load, as
// "read tcp …: connection reset by peer" of the second request.
var _ = Describe("Connections that wait for their next request", func() {
	It("are not all gone while an answer is under way", func() {
		connections := newIdleConnections()
		connection, _ := net.Pipe()
		begun := time.Now()
		connections.observe(connection, http.StateNew)
		connections.observe(connection, http.StateActive)
		Expect(connections.isQuiet(begun, begun)).To(BeFalse())
		connections.observe(connection, http.StateIdle)
		Expect(connections.isQuiet(begun, time.Now())).To(BeFalse())
		Expect(connections.isQuiet(begun, time.Now().Add(quietSpell))).To(BeTrue())
		connections.observe(connection, http.StateClosed)
		Expect(connections.isQuiet(begun, time.Now())).To(BeTrue())
	})

	It("have a spell after the last answer", func() {
		connections := newIdleConnections()
		connection, _ := net.Pipe()
		connections.observe(connection, http.StateActive)
		begun := time.Now().Add(-time.Minute)
		connections.observe(connection, http.StateIdle)
		Expect(connections.isQuiet(begun, time.Now())).To(BeFalse())
	})
})
