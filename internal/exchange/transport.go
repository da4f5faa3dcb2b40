package exchange

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// tidyPeriod between looks for kept connections whose time is over.
const tidyPeriod = time.Second

// Transport is an http.RoundTripper over a Client, for callers that speak in requests of
// net/http: each is sent once at most. Its errors can be tested with ErrNotSent.
type Transport struct {
	Client *Client

	mutex  sync.Mutex
	tidied time.Time
}

var _ http.RoundTripper = (*Transport)(nil)

// RoundTrip implements http.RoundTripper. The body of the request is read as a whole before
// it is sent.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.tidy(time.Now())
	body, err := readBody(request)
	if err != nil {
		return nil, err
	}
	response, err := t.Client.Do(request.Context(), Request{
		Address: request.URL.Host, Method: request.Method, Head: headOf(request, len(body)), Body: body,
	})
	if err != nil {
		return nil, err
	}
	response.Request = request
	return response, nil
}

// CloseIdleConnections closes all connections that are kept.
func (t *Transport) CloseIdleConnections() { t.Client.closeIdle() }

func (t *Transport) tidy(now time.Time) {
	t.mutex.Lock()
	due := now.Sub(t.tidied) >= tidyPeriod
	if due {
		t.tidied = now
	}
	t.mutex.Unlock()
	if due {
		t.Client.Prune(now)
	}
}

func readBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	defer request.Body.Close()
	return io.ReadAll(request.Body)
}

// headOf is the request line and headers of a request with a body of the length.
func headOf(request *http.Request, length int) []byte {
	var head bytes.Buffer
	host := request.Host
	if host == "" {
		host = request.URL.Host
	}
	head.WriteString(request.Method + " " + request.URL.RequestURI() + " HTTP/1.1\r\nHost: " + host + "\r\n")
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Del("Content-Length")
	if length > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	// A buffer takes all that is written.
	_ = header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}
