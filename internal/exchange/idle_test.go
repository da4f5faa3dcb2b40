package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a connection that is no socket, such as one over TLS through another node, and is used
// again although data has arrived on it, or its end: the data was taken for the next response.
func TestIdleConnectionThatIsNoSocketIsChecked(t *testing.T) {
	for name, whileIdle := range map[string]func(conn net.Conn){
		"surplus response": func(conn net.Conn) { _, _ = io.WriteString(conn, encodedResponse("1", "old")) },
		"end":              func(conn net.Conn) { _ = conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			first := func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = io.WriteString(conn, encodedResponse("1", "one"))
				time.Sleep(time.Millisecond)
				whileIdle(conn)
				_, _ = io.Copy(io.Discard, reader)
			}
			withServer(t, []connectionScript{first, respondWith(encodedResponse("1", "two"))}, func(client *Client, server *scriptedServer) {
				for _, expected := range []string{"one", "two"} {
					response, err := client.Do(context.Background(), requestFor("1"))
					Expect(err).NotTo(HaveOccurred())
					Expect(read(response)).To(Equal(expected))
					time.Sleep(time.Second)
				}
				Expect(server.dials).To(Equal(2))
			})
		})
	}
}

// Guards against an idle connection that is closed since it was checked.
func TestQuietConnectionThatIsNoSocketIsReused(t *testing.T) {
	withServer(t, []connectionScript{respondWith(encodedResponse("1", "one"), encodedResponse("1", "two"), encodedResponse("1", "six"))}, func(client *Client, server *scriptedServer) {
		for _, expected := range []string{"one", "two", "six"} {
			response, err := client.Do(context.Background(), requestFor("1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(read(response)).To(Equal(expected))
			time.Sleep(time.Second)
		}
		Expect(server.dials).To(Equal(1))
	})
}
