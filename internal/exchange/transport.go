package exchange

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// prunePeriod is the minimum interval between prunings of idle connections.
const prunePeriod = time.Second

// Transport is an http.RoundTripper over a Client, for use with package net/http. Each request is
// sent at most once. Its errors can be tested for ErrNotSent.
type Transport struct {
	Client *Client

	mutex    sync.Mutex
	prunedAt time.Time
}

var _ http.RoundTripper = (*Transport)(nil)

// RoundTrip implements http.RoundTripper. It reads the whole body of the request before it sends
// anything.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.pruneIfDue(time.Now())
	body, err := readBody(request)
	if err != nil {
		return nil, err
	}
	response, err := t.Client.Do(request.Context(), Request{
		Address: request.URL.Host, Method: request.Method, Head: encodeHead(request, len(body)), Body: body,
	})
	if err != nil {
		return nil, err
	}
	response.Request = request
	return response, nil
}

// CloseIdleConnections closes all idle connections.
func (t *Transport) CloseIdleConnections() { t.Client.closeIdle() }

// pruneIfDue prunes the client's idle connections, at most once per prunePeriod.
func (t *Transport) pruneIfDue(now time.Time) {
	t.mutex.Lock()
	due := now.Sub(t.prunedAt) >= prunePeriod
	if due {
		t.prunedAt = now
	}
	t.mutex.Unlock()
	if due {
		t.Client.Prune(now)
	}
}

// readBody reads the whole body of a request; nil if it has none.
func readBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	defer request.Body.Close()
	return io.ReadAll(request.Body)
}

// encodeHead returns the encoded request line and headers of a request with a body of the given
// length.
func encodeHead(request *http.Request, length int) []byte {
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
	// Writing to a bytes.Buffer does not fail.
	_ = header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}
