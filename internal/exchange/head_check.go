package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// ErrMalformedHead reports a head that net/http reads, but that is none of an HTTP/1.x response. Test for it with
// errors.Is.
var ErrMalformedHead = errors.New("the response's head is malformed")

// checkHead returns ErrMalformedHead for a head whose meaning is not certain, since bytes of it are missing or
// wrong: net/http takes its body for one that ends with the connection, or skips it.
func checkHead(response *http.Response, encoded bool) error {
	switch {
	case response.ProtoMajor != 1:
		return malformedHead("version", response.Proto)
	case response.StatusCode < http.StatusContinue || response.StatusCode == http.StatusSwitchingProtocols:
		// No request asks for another protocol.
		return malformedHead("status", response.Status)
	case response.ProtoMinor == 0 && encoded:
		return malformedHead("version", "a transfer encoding in HTTP/1.0")
	case containsStatusLine(response.Status):
		return malformedHead("status", response.Status)
	}
	for name, values := range response.Header {
		if strings.Contains(name, " ") {
			return malformedHead("field", name)
		}
		for _, value := range values {
			if containsStatusLine(value) {
				return malformedHead("field", name)
			}
		}
	}
	return nil
}

func malformedHead(part, text string) error {
	const maxText = 64
	return fmt.Errorf("%w: %s %q", ErrMalformedHead, part, text[:min(len(text), maxText)])
}

// containsStatusLine reports whether the status line of another response follows other text, which shows that a head
// broke off there.
func containsStatusLine(value string) bool {
	at := strings.Index(value, "HTTP/1.")
	if at <= 0 {
		return false
	}
	_, status, _ := strings.Cut(value[at:], " ")
	code, reason, _ := strings.Cut(status, " ")
	number, err := strconv.Atoi(code)
	return err == nil && reason != "" && reason == http.StatusText(number)
}

// version10 begins a response of HTTP/1.0, for which net/http ignores Transfer-Encoding.
const version10 = "HTTP/1.0"

// record keeps what is read of a head that may be one of HTTP/1.0.
func (c *connection) record() error {
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	// What is buffered can be peeked at without an error.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if !strings.HasPrefix(version10, string(buffered[:min(len(buffered), len(version10))])) {
		c.head.recording = nil
		return nil
	}
	c.head.recording = append(make([]byte, 0, readBuffer), buffered...)
	return nil
}

// recordedEncoding reports whether the head that was recorded has a Transfer-Encoding.
func (c *connection) recordedEncoding() bool {
	head := bytes.ToLower(c.head.recording)
	c.head.recording = nil
	for line := range bytes.Lines(head) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return false
		}
		if bytes.HasPrefix(line, []byte("transfer-encoding")) {
			return true
		}
	}
	return false
}
