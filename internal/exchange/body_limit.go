package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrBodyTooLong reports that the body of a response exceeds the limit of its reader.
var ErrBodyTooLong = errors.New("the response's body exceeds the length limit")

// skipBody reads the body of another request's response to its end. The error is ErrBodyTooLong if it is
// longer than maxSkippedBody: what follows is then part of it, and no response.
func skipBody(response *http.Response) error {
	skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBody+1))
	if err == nil && skipped > maxSkippedBody {
		return fmt.Errorf("%w of %d bytes", ErrBodyTooLong, maxSkippedBody)
	}
	return err
}
