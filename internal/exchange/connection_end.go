package exchange

import (
	"errors"
	"io"
	"net"
	"net/http"

	"golang.org/x/sys/unix"
)

// errResetAtEnd is the error of a body whose connection was reset, although reading it ended as if in order.
var errResetAtEnd = errors.New("the connection was reset")

// ClosedInOrder reports whether the other side of a connection, from which a read has returned io.EOF, ended it in
// order. The system reports a reset once only: if a write took it, reads end as if in order. known is false where
// the system doesn't tell.
func ClosedInOrder(conn net.Conn) (inOrder, known bool) {
	socket := socketOf(conn)
	if socket == nil {
		return false, false
	}
	err := socket.Control(func(descriptor uintptr) {
		polled := []unix.PollFd{{Fd: int32(descriptor)}}
		_, failure := unix.Poll(polled, 0)
		// An end in order leaves the direction to the other side open, a reset ends both.
		inOrder, known = polled[0].Revents&unix.POLLHUP == 0, failure == nil
	})
	return inOrder && known, known && err == nil
}

// IsUnframed reports whether a response has neither a length nor chunks, so that its body, if it has one, ends with the
// connection.
func IsUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// checkEnd returns io.EOF if a response that ends with its connection is complete. The server may have
// responded while the request was still being written.
func (b *responseBody) checkEnd() error {
	if b.write.finished() {
		return io.EOF
	}
	inOrder, known := ClosedInOrder(b.conn.Conn)
	if !known {
		inOrder = b.write.wait() == nil
	}
	if inOrder {
		return io.EOF
	}
	return errors.Join(io.ErrUnexpectedEOF, errResetAtEnd)
}
