package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Client sends requests to a node on one kept connection, or on a new one after a failure.
type Client struct {
	Node   *Node
	Host   string
	Record *Record

	conn   net.Conn
	reader *bufio.Reader
}

// Answer is how a request ended.
type Answer struct {
	// Status is 0 if no complete answer came.
	Status     int
	RetryAfter string
	Body       string
	// SentAt is when the last byte of the request was sent, and EndedAt when the answer was complete
	// or the connection ended.
	SentAt, EndedAt time.Time
}

// Post sends a request with a body and a deadline, and reads its answer.
func (c *Client) Post(path, id, body string, deadline time.Duration) Answer {
	c.Record.Write("client: sends %s to %s", id, c.Node.Name)
	answer, err := c.exchange(path, id, body, deadline)
	answer.EndedAt = time.Now()
	if err != nil {
		c.Close()
		c.Record.Write("client: no answer to %s: %v", id, err)
		return answer
	}
	c.Record.Write("client: %d to %s %s", answer.Status, id, answer.Body)
	return answer
}

func (c *Client) exchange(path, id, body string, deadline time.Duration) (Answer, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Node.Front, time.Second)
		if err != nil {
			return Answer{}, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nHatchplank-Request-Id: %s\r\nHatchplank-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, c.Host, id, deadline.Milliseconds(), len(body), body)
	answer := Answer{SentAt: time.Now()}
	if err != nil {
		return answer, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer, err
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, err
	}
	if response.Close {
		c.Close()
	}
	answer.Status, answer.RetryAfter, answer.Body = response.StatusCode, response.Header.Get("Retry-After"), string(content)
	return answer, nil
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
