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

// maxClientAnswerBytes bounds what a client reads of one answer.
const maxClientAnswerBytes = 64 << 20

// Client calls a node's administration, as the command line does.
type Client struct {
	// BaseURL of the node, e.g. "http://127.0.0.1:8080".
	BaseURL string
	Token   string
	// HTTP is the client to use; nil: http.DefaultClient.
	HTTP *http.Client
}

// ResponseError is an answer that is no success.
type ResponseError struct {
	Status int
	// Detail is empty when the answer was not written by a node.
	Detail ErrorBody
	// Body of the answer, for what it holds besides Detail.
	Body []byte
}

// Error names the result code and the message.
func (e *ResponseError) Error() string {
	if e.Detail.ResultCode == 0 {
		return fmt.Sprintf("status %d: %s", e.Status, bytes.TrimSpace(e.Body))
	}
	return fmt.Sprintf("%d %s: %s", e.Detail.ResultCode, e.Detail.Code, e.Detail.Message)
}

// Status reads what the node knows of the deployment.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	_, err := c.call(ctx, http.MethodGet, "/admin/v1/status", &status)
	return status, err
}

// Drain asks the node to stop in order.
func (c *Client) Drain(ctx context.Context) error {
	var state stateDocument
	_, err := c.call(ctx, http.MethodPost, "/admin/v1/drain", &state)
	return err
}

// Healthy reports whether the node's process answers; an error means that it
// could not be reached.
func (c *Client) Healthy(ctx context.Context) error {
	var state stateDocument
	_, err := c.call(ctx, http.MethodGet, "/healthz", &state)
	return err
}

func (c *Client) call(ctx context.Context, method, path string, into any) (http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	header, body, err := c.Do(request)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return nil, eris.Wrap(err, "the answer is not the JSON expected")
	}
	return header, nil
}

// Do sends a request with the token and returns the header and body of a
// success. Any other answer is a *ResponseError.
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
		return nil, nil, eris.Wrap(err, "read answer")
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

// NewClient returns a client of the node at the URL; a bare address such as
// "127.0.0.1:8080" is taken for plain HTTP.
func NewClient(url, token string, httpClient *http.Client) *Client {
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	return &Client{BaseURL: strings.TrimRight(url, "/"), Token: token, HTTP: httpClient}
}
