package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

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

// Guards against the promise that nothing was sent where a context ends after a part of the request was
// written, and against its absence where it ends before there is a connection.
func TestContextThatEndsBeforeAndDuringTheWrite(t *testing.T) {
	readsABit := func(_ net.Conn, reader *bufio.Reader) {
		_, _ = reader.ReadByte()
		time.Sleep(time.Second)
	}
	for name, test := range map[string]struct {
		dials   func(ctx context.Context, server *scriptedServer) (net.Conn, error)
		notSent bool
	}{
		"connecting": {func(ctx context.Context, _ *scriptedServer) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, true},
		"writing": {func(ctx context.Context, server *scriptedServer) (net.Conn, error) { return server.dial(ctx, "s") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, []connectionScript{readsABit}, func(client *Client, server *scriptedServer) {
				client.dial.Dial = func(ctx context.Context, _ string) (net.Conn, error) { return test.dials(ctx, server) }
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				defer cancel()
				request := requestFor("1")
				// Longer than the buffer of the reader.
				request.Head = append([]byte("POST /x HTTP/1.1\r\nFill: "), bytes.Repeat([]byte("x"), 64<<10)...)
				_, err := client.Do(ctx, request)
				Expect(err).To(HaveOccurred())
				Expect(errors.Is(err, ErrNotSent)).To(Equal(test.notSent))
			})
		})
	}
}

// pausedConn is a socket whose owner is paused before each write but the first.
type pausedConn struct {
	*net.TCPConn
	writes int
	pause  func()
}

func (c *pausedConn) Write(data []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		c.pause()
	}
	return c.TCPConn.Write(data)
}

// Guards against the promise that nothing was sent where the server closes a connection between its check
// and the write, as for a process that is paused: the system accepts the request.
func TestConnectionClosedBetweenCheckAndWriteProvesNothing(t *testing.T) {
	RegisterTestingT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	paused, closed := make(chan struct{}), make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, encodedResponse("1", "one"))
		<-paused
		_ = conn.Close()
		close(closed)
	}()
	client := NewClient(DialSettings{Timeout: 10 * time.Second, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &pausedConn{TCPConn: conn.(*net.TCPConn), pause: func() { close(paused); <-closed }}, nil
	}})
	request := requestFor("1")
	request.Address = listener.Addr().String()
	response, err := client.Do(context.Background(), request)
	Expect(err).NotTo(HaveOccurred())
	Expect(read(response)).To(Equal("one"))
	_, err = client.Do(context.Background(), request)
	Expect(err).To(HaveOccurred())
	Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
	Expect(client.Opened()).To(BeEquivalentTo(1))
}
