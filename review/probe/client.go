package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// sealHeader is the header with the signature of a server.
const sealHeader = "Hatchplank-Server-Seal"

// answer is what a client got.
type answer struct {
	status int
	sealed bool
	length int
	// events is the number of events of a stream.
	events int
	// whole is set if the answer ended as complete.
	whole bool
	err   error
}

// call is a request of a client.
type call struct {
	node, path, id, model string
	deadline              time.Duration
	// bytesPerSecond is the speed of the client's link; zero: unlimited.
	bytesPerSecond int
	// lastEvent is the last event that the client has of a stream that it takes up, and resumes the request that
	// brought its first one.
	lastEvent int
	resumes   string
	// resetAfter is the number of events after which the client's connection is reset; zero: it is not.
	resetAfter int
	// maxPause is the time without an event after which a client gives a stream up; zero: it waits.
	maxPause time.Duration
}

// receiveBuffer is the size of the receive buffer of a client with a slow link.
const receiveBuffer = 64 << 10

// send sends a request on a new connection, and reads the answer.
func (c call) send() answer {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.Dial("tcp", c.node)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	if c.bytesPerSecond > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	}
	_ = conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	head := "POST " + c.path + " HTTP/1.1\r\nHost: h.example\r\nHatchplank-Request-Id: " + c.id + "\r\n" +
		"Hatchplank-Deadline-Ms: " + strconv.FormatInt(c.deadline.Milliseconds(), 10) + "\r\nContent-Length: 4\r\n"
	if c.model != "" {
		head += "Hatchplank-Model: " + c.model + "\r\nHatchplank-Token-Usage: 100,100\r\nHatchplank-Prompt-Prefix: aa:50," + c.id + ":50\r\n"
	}
	if c.resumes != "" {
		head += "Last-Event-Id: " + strconv.Itoa(c.lastEvent) + "\r\nResumes: " + c.resumes + "\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\nbody"); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	got := answer{status: response.StatusCode, sealed: response.Header.Get(sealHeader) != ""}
	if c.resetAfter > 0 {
		got.events, got.err = c.resetAfterEvents(conn, response.Body)
		return got
	}
	got.length, got.events, got.err = c.read(conn, response.Body)
	got.whole = got.err == nil
	return got
}

// read reads a body to its end at the speed of the client's link, and counts the events of a stream.
func (c call) read(conn net.Conn, body io.Reader) (length, events int, err error) {
	began, buffer := time.Now(), make([]byte, 16<<10)
	for {
		if c.maxPause > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(c.maxPause))
		}
		count, err := body.Read(buffer)
		length += count
		// Of each event, one line begins with its ID.
		events += bytes.Count(buffer[:count], []byte("id:"))
		if errors.Is(err, io.EOF) {
			return length, events, nil
		}
		if err != nil {
			return length, events, err
		}
		if c.bytesPerSecond > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(length) * time.Second / time.Duration(c.bytesPerSecond))))
		}
	}
}

// String implements fmt.Stringer.
func (a answer) String() string {
	return fmt.Sprintf("status %d, sealed %t, %d bytes, ends as complete %t, error %v", a.status, a.sealed, a.length, a.whole, a.err)
}

// resetAfterEvents reads events, and resets the connection.
func (c call) resetAfterEvents(conn net.Conn, body io.Reader) (events int, err error) {
	lines := bufio.NewScanner(body)
	for events < c.resetAfter {
		if !lines.Scan() {
			return events, errors.Join(errors.New("the stream ended early"), lines.Err())
		}
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	return events, conn.(*net.TCPConn).SetLinger(0)
}
