package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd/wire"
	"github.com/rotisserie/eris"
)

// post sends one request and decodes its response. If the connection to an endpoint fails, it
// tries the next one, each endpoint at most once.
func (c *Client) post(ctx context.Context, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: %w", outside.ErrNotApplied, err)
	}
	for range c.endpoints {
		base, index := c.endpoint()
		var sent bool
		sent, err = c.postTo(ctx, base+path, body, response)
		if err == nil {
			return nil
		}
		c.avoidFailedEndpoint(err, index)
		if sent || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// avoidFailedEndpoint switches to the next endpoint, unless this one responded that the
// request itself is invalid.
func (c *Client) avoidFailedEndpoint(err error, index uint32) {
	var response *statusError
	if eris.As(err, &response) && response.isRequestError() {
		return
	}
	c.advanceEndpoint(index)
}

// postTo sends one request to one URL and decodes its response. Sent is false only if no byte
// of the request can have been sent.
func (c *Client) postTo(ctx context.Context, url string, body []byte, response any) (sent bool, err error) {
	httpResponse, sent, err := c.open(ctx, url, body)
	if err != nil {
		return sent, err
	}
	defer drain(httpResponse.Body)
	limited := io.LimitReader(httpResponse.Body, c.config.MaxResponseBytes+1)
	encoded, err := io.ReadAll(limited)
	if err != nil {
		return true, fmt.Errorf("%w: reading the response: %w", outside.ErrAmbiguous, err)
	}
	if int64(len(encoded)) > c.config.MaxResponseBytes {
		return true, fmt.Errorf("%w: response exceeds %d bytes", outside.ErrAmbiguous, c.config.MaxResponseBytes)
	}
	if err := json.Unmarshal(encoded, response); err != nil {
		return true, fmt.Errorf("%w: decoding the response: %w", outside.ErrAmbiguous, err)
	}
	return true, nil
}

// open sends one request and returns the response if its status is OK. Sent is as in postTo.
func (c *Client) open(ctx context.Context, url string, body []byte) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", outside.ErrNotApplied, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err = c.httpClient.Do(request)
	if err != nil && !connected.Load() {
		return nil, false, fmt.Errorf("%w: not connected: %w", outside.ErrNotApplied, err)
	}
	if err != nil {
		return nil, true, fmt.Errorf("%w: %w", outside.ErrAmbiguous, err)
	}
	if response.StatusCode != http.StatusOK {
		defer drain(response.Body)
		return nil, true, readStatusError(response)
	}
	return response, true, nil
}

// maxDrainBytes is the maximum number of bytes read from a body before it is closed, so that
// the connection can be reused.
const maxDrainBytes = 4 << 10

func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}

// maxErrorBytes is the maximum size of the body of an error response.
const maxErrorBytes = 16 << 10

func readStatusError(response *http.Response) error {
	var body wire.Error
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil || json.Unmarshal(encoded, &body) != nil {
		body = wire.Error{}
	}
	return &statusError{status: response.StatusCode, body: body}
}
