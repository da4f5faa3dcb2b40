package exchange

import (
	"context"
	"errors"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// lyingConn passes what is written on, but reports that nothing was written.
type lyingConn struct{ net.Conn }

func (c lyingConn) Write(data []byte) (int, error) {
	_, _ = c.Conn.Write(data)
	return 0, errors.New("record not flushed")
}

// Guards against the promise that nothing was sent where the connection can't tell, as one over TLS, of
// which a record may have been sent in part.
func TestFailedWriteThatIsNoSocketsProvesNothing(t *testing.T) {
	withServer(t, []connectionScript{respondWith(encodedResponse("1", "one"))}, func(client *Client, server *scriptedServer) {
		client.dial.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := server.dial(ctx, address)
			return lyingConn{conn}, err
		}
		_, err := client.Do(context.Background(), requestFor("1"))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
	})
}
