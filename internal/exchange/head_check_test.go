package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// respondsWith returns the body of a response with the bytes to a request, and the error of reading it.
func respondsWith(response string) (body string, err error) {
	server := &scriptedServer{scripts: []connectionScript{func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		_, _ = io.WriteString(conn, response)
	}}}
	client := NewClient(DialSettings{Dial: server.dial})
	request := requestFor("")
	request.Matches = nil
	received, err := client.Do(context.Background(), request)
	if err != nil {
		return "", err
	}
	return read(received)
}

// Guards against a response in whose head the name of a field holds a blank or a control byte: it was taken, with the
// line joined to the one before it, so that a length or an encoding in it was lost and the body was not the server's.
func TestHeadWithAnInvalidFieldNameIsMalformed(t *testing.T) {
	const length = "Content-Length: 4\r\n"
	fields := []string{"X-Name: value", "Content-Length: 4", "Transfer-Encoding: chunked"}
	for _, before := range []string{"", "Server: s\r\n"} {
		for _, field := range fields {
			for _, spoiled := range []string{" " + field, "\t" + field, "X " + field, "X\t" + field, "\x00" + field, "X\x01" + field, "X\x7f" + field, "X\xff" + field, "X\"" + field} {
				for _, after := range []string{"", length} {
					for _, interim := range []bool{false, true} {
						head := "HTTP/1.1 200 OK\r\n" + before + spoiled + "\r\n" + after + "\r\n"
						if interim {
							head = "HTTP/1.1 103 Early Hints\r\n" + before + spoiled + "\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\n"
						}
						t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
							RegisterTestingT(t)
							body, err := respondsWith(head + "body, and more")
							Expect(err).To(HaveOccurred(), body)
						})
					}
				}
			}
		}
	}
}

// Guards against a response whose status is none, or whose status line holds a control byte.
func TestHeadWithAnInvalidStatusIsMalformed(t *testing.T) {
	for _, status := range []string{"000 OK", "0 OK", "20 OK", "099 OK", "+20 OK", "-20 OK", "0x2 OK", "101 OK", "2000 OK", "200 O\x00K", "200 O\x01K", "200 OK\x7f", "200 O\rK"} {
		t.Run(fmt.Sprintf("%q", status), func(t *testing.T) {
			RegisterTestingT(t)
			body, err := respondsWith("HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody")
			Expect(err).To(HaveOccurred(), body)
		})
	}
}

// Guards against sound heads that are refused, also where further bytes follow them.
func TestSoundHeadsAreRead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 all\twell\r\nX-Empty:\r\ncontent-length:4\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 4\n\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Folded: a\r\n  b\r\n\tc d: e\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Value:  blanks and a\ttab \r\nContent-Length: 4\r\n\r\n",
	} {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			RegisterTestingT(t)
			body, err := respondsWith(head + " \x00\r\n \tbytes"[:4])
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(" \x00\r\n"))
		})
	}
}
