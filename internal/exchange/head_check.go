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

// record begins to keep what is read of the next head.
func (c *connection) record() error {
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	// What is buffered can be peeked at without an error.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head.recording = append(c.head.recording[:0], buffered...)
	return nil
}

// checkLines checks the lines of the head that was recorded, and forgets it. encoded reports whether one is a
// Transfer-Encoding, which net/http ignores in HTTP/1.0.
func (c *connection) checkLines() (encoded bool, err error) {
	defer c.head.forget()
	status := true
	for line := range bytes.Lines(c.head.recording) {
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0:
			return encoded, nil
		case status && bytes.ContainsFunc(line, isControl):
			return false, malformedHead("status", string(line))
		case hidesField(line):
			return false, malformedHead("field", string(line))
		}
		status = false
		encoded = encoded || len(line) >= len(transferEncoding) && bytes.EqualFold(line[:len(transferEncoding)], transferEncoding)
	}
	return encoded, nil
}

// hidesField reports whether a line that begins with a blank or a tab holds a field. net/http takes it for the rest of
// the field before it (RFC 9112, 5.2), so that a length or an encoding is lost. Other such lines are read so, too.
func hidesField(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	return found && (line[0] == ' ' || line[0] == '\t') && !bytes.ContainsAny(bytes.TrimSpace(name), " \t")
}

var transferEncoding = []byte("transfer-encoding")

// isControl reports whether a character may not be part of a status line.
func isControl(char rune) bool { return char < ' ' && char != '\t' || char == 0x7f }
