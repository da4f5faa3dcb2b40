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

// post sends one request and decodes its response. An endpoint that could not
// be connected to is followed by the next one, each at most once.
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
		c.avoidAfter(err, index)
		if sent || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// avoidAfter moves on to the next endpoint unless this one answered that the
// request itself is at fault.
func (c *Client) avoidAfter(err error, index uint32) {
	var answered *statusError
	if eris.As(err, &answered) && answered.blamesRequest() {
		return
	}
	c.avoid(index)
}

// postTo sends one request to one URL. Sent is false if no byte of the request
// can have left.
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

// open sends one request and returns the response if its status is OK.
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

// drainBytes are read from a body before it is closed, so that the connection
// can be used again.
const drainBytes = 4 << 10

func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, drainBytes)
	_ = body.Close()
}

// maxErrorBytes bounds the body of a failed call.
const maxErrorBytes = 16 << 10

func readStatusError(response *http.Response) error {
	var body wire.Error
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil || json.Unmarshal(encoded, &body) != nil {
		body = wire.Error{}
	}
	return &statusError{status: response.StatusCode, body: body}
}
