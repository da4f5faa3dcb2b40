package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrBodyTooLong reports that the body of a response exceeds the limit of its reader.
var ErrBodyTooLong = errors.New("the response's body exceeds the length limit")

// ReadBody reads and closes the body of a response. If the body is longer than limit bytes, the error is
// ErrBodyTooLong, and the connection is closed at once.
func ReadBody(response *http.Response, limit int64) ([]byte, error) {
	defer response.Body.Close()
	if response.ContentLength > limit {
		return nil, bodyTooLong(response, limit)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, bodyTooLong(response, limit)
	}
	return content, nil
}

// bodyTooLong returns the error of a body that exceeds the limit, and reports the anomaly.
func bodyTooLong(response *http.Response, limit int64) error {
	err := fmt.Errorf("%w of %d bytes", ErrBodyTooLong, limit)
	if body, isOwn := response.Body.(*responseBody); isOwn {
		body.client.report(body.conn, AnomalyBodyTooLong, body.conn.identity, response.StatusCode, err)
	}
	return err
}

// skipBody reads the body of another request's response to its end. The error is ErrBodyTooLong if it is
// longer than maxSkippedBody: what follows is then part of it, and no response.
func skipBody(response *http.Response) error {
	skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBody+1))
	if err == nil && skipped > maxSkippedBody {
		return fmt.Errorf("%w of %d bytes", ErrBodyTooLong, maxSkippedBody)
	}
	return err
}
