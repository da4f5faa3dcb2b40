package api

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
)

const (
	// initialBodyBytes is the most that is allocated before a body is read. The buffer
	// grows only as data arrives, whatever length the headers declare.
	initialBodyBytes = 32 << 10
	// bodyBudgetRetryAfter is the Retry-After of requests refused because the budget
	// for bodies is exhausted.
	bodyBudgetRetryAfter = time.Second
)

// readBody reads the whole body within the limits of size, memory and time. A body without
// declared length reserves the maximum size until it has been read.
func (a *API) readBody(c *call) ([]byte, *result.Refusal) {
	limit := a.config.Limits.BodyBytes
	expected := c.request.ContentLength
	if expected > limit {
		return nil, refuse(result.BodyTooLarge, "the body has %d bytes; the limit is %d", expected, limit)
	}
	if encoding := c.request.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return nil, refuse(result.Unsupported, "the content encoding %q is not offered", encoding)
	}
	if expected < 0 {
		expected = limit
	}
	if !a.reserveBody(c, expected) {
		refusal := refuse(result.QueueFull, "the node holds as many bodies as it can")
		refusal.RetryAfter = bodyBudgetRetryAfter
		return nil, refusal
	}
	return a.receiveBody(c, expected)
}

func (a *API) receiveBody(c *call, expected int64) ([]byte, *result.Refusal) {
	connection := http.NewResponseController(c.writer)
	// Not every ResponseWriter supports deadlines (httptest's recorder does not); such
	// a request is limited by size only.
	_ = connection.SetReadDeadline(time.Now().Add(a.config.Limits.BodyTimeout))
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()

	var buffer bytes.Buffer
	buffer.Grow(int(min(expected, initialBodyBytes)))
	_, err := io.Copy(&buffer, http.MaxBytesReader(c.writer, c.request.Body, a.config.Limits.BodyBytes))
	if err != nil {
		return nil, a.bodyRefusal(err)
	}
	a.shrinkBody(c, int64(buffer.Len()))
	return buffer.Bytes(), nil
}

func (a *API) bodyRefusal(err error) *result.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(result.BodyTooLarge, "the body exceeds the limit of %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(result.MalformedRequest, "the body did not arrive within %s", a.config.Limits.BodyTimeout)
	default:
		return refuse(result.MalformedRequest, "the body could not be read")
	}
}

// reserveBody reserves bytes in the node's budget for bodies and reports whether they were
// available.
func (a *API) reserveBody(c *call, bytes int64) bool {
	if a.bodyBytes.Add(bytes) > a.config.Limits.TotalBodyBytes {
		a.bodyBytes.Add(-bytes)
		return false
	}
	c.reservedBodyBytes = bytes
	a.metrics.BodyBytes.Add(float64(bytes))
	return true
}

// shrinkBody returns the part of the call's reservation that exceeds needed.
func (a *API) shrinkBody(c *call, needed int64) {
	excess := c.reservedBodyBytes - needed
	if excess <= 0 {
		return
	}
	a.bodyBytes.Add(-excess)
	a.metrics.BodyBytes.Sub(float64(excess))
	c.reservedBodyBytes = needed
}

func (a *API) releaseBody(c *call) { a.shrinkBody(c, 0) }
