package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// maxClientAnswerBytes limits how much of one response body a client reads.
const maxClientAnswerBytes = 64 << 20

// Client calls a node's administration interface; the command line uses it.
type Client struct {
	// BaseURL of the node, e.g. "http://127.0.0.1:8080".
	BaseURL string
	// Token is the bearer token; empty: requests carry none.
	Token string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// ResponseError is a response with an error status.
type ResponseError struct {
	Status int
	// Detail is the error object; it is empty if the response has none, for example when
	// it was not written by a node.
	Detail ErrorBody
	// Body is the whole response body, which may hold more than Detail.
	Body []byte
}

// Error returns the result code, its name and the message, or the status and the body if
// the response has no result code.
func (e *ResponseError) Error() string {
	if e.Detail.ResultCode == 0 {
		return fmt.Sprintf("status %d: %s", e.Status, bytes.TrimSpace(e.Body))
	}
	return fmt.Sprintf("%d %s: %s", e.Detail.ResultCode, e.Detail.Code, e.Detail.Message)
}

// Status reads the state of the deployment as the node collects it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	_, err := c.call(ctx, http.MethodGet, "/admin/v1/status", &status)
	return status, err
}

// Drain asks the node for a planned shutdown and returns once it has accepted.
func (c *Client) Drain(ctx context.Context) error {
	var state stateDocument
	_, err := c.call(ctx, http.MethodPost, "/admin/v1/drain", &state)
	return err
}

// Healthy checks the node's liveness. The error is nil if the process answers, otherwise a
// *ResponseError or a transport error.
func (c *Client) Healthy(ctx context.Context) error {
	var state stateDocument
	_, err := c.call(ctx, http.MethodGet, "/healthz", &state)
	return err
}

func (c *Client) call(ctx context.Context, method, path string, into any) (http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	header, body, err := c.Do(request)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return nil, eris.Wrap(err, "decode response")
	}
	return header, nil
}

// Do sends a request with the token and returns the header and body of a successful
// response. A status of 400 or above is returned as a *ResponseError.
func (c *Client) Do(request *http.Request) (http.Header, []byte, error) {
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, eris.Wrap(err, "call node")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxClientAnswerBytes))
	if err != nil {
		return nil, nil, eris.Wrap(err, "read response")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, nil, newResponseError(response.StatusCode, body)
	}
	return response.Header, body, nil
}

func newResponseError(status int, body []byte) *ResponseError {
	failure := &ResponseError{Status: status, Body: body}
	var document ErrorDocument
	if json.Unmarshal(body, &document) == nil {
		failure.Detail = document.Error
	}
	return failure
}

// NewClient returns a client of the node at the URL. An address without a scheme, such as
// "127.0.0.1:8080", is called by plain HTTP.
func NewClient(url, token string, httpClient *http.Client) *Client {
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	return &Client{BaseURL: strings.TrimRight(url, "/"), Token: token, HTTP: httpClient}
}
