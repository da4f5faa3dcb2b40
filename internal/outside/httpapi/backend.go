package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// BackEnds implements outside.BackEndService.
type BackEnds struct {
	client  *http.Client
	lookup  Lookup
	options Options
}

// NewBackEnds returns a client with its own connection pool.
func NewBackEnds(lookup Lookup, options Options) *BackEnds {
	options = options.withDefaults()
	return &BackEnds{client: newClient(options), lookup: lookup, options: options}
}

// newClient returns a client that sends each request at most once and follows no redirects.
// A connection fails when sent bytes remain unacknowledged for the dial timeout, as it does
// when the server can't be connected to.
func newClient(options Options) *http.Client {
	client := exchange.NewClient(exchange.DialSettings{
		Timeout: options.DialTimeout, AckTimeout: options.DialTimeout,
		MaxIdlePerServer: options.IdleConnectionsPerServer, IdleTimeout: options.IdleConnectionTimeout,
	})
	client.OnAnomaly = options.OnAnomaly
	return &http.Client{
		Transport: &exchange.Transport{Client: client},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Close closes the idle connections.
func (b *BackEnds) Close() { b.client.CloseIdleConnections() }

// Call implements outside.BackEndService.
func (b *BackEnds) Call(request outside.BackEndRequest, done func(outside.BackEndResponse, error)) {
	go func() {
		response, failure := b.call(request)
		if failure != nil {
			done(outside.BackEndResponse{}, failure)
			return
		}
		done(response, nil)
	}()
}

func (b *BackEnds) call(request outside.BackEndRequest) (outside.BackEndResponse, *outside.AttemptError) {
	none := outside.BackEndResponse{}
	current := &attempt{id: request.Attempt}
	address, found := b.lookup(request.Server)
	if !found {
		return none, current.notSentFailure(reasonConnection)
	}
	if !time.Now().Before(request.Deadline) {
		return none, current.notSentFailure(reasonTimeout)
	}
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	httpRequest, err := current.newRequest(ctx, request.Method, "http://"+address+request.Path, request.Body)
	if err != nil {
		return none, current.notSentFailure(reasonFailed)
	}
	setBackEndHeaders(httpRequest.Header, request)
	response, err := b.client.Do(httpRequest)
	if err != nil {
		return none, current.transportFailure(ctx, err)
	}
	defer response.Body.Close()
	return b.read(ctx, current, response)
}

func setBackEndHeaders(header http.Header, request outside.BackEndRequest) {
	setHeader(header, HeaderRequest, request.RequestID)
	setHeader(header, HeaderKey, request.Key)
	setHeader(header, "Content-Type", request.ContentType)
	setHeader(header, HeaderTimeLeft, FormatTimeLeft(time.Until(request.Deadline)))
}

// endsWithConnection reports whether only the end of the connection ends the body. Then a whole response can't be
// told from one that broke off, since a server's connections are also closed in order when it crashes.
func endsWithConnection(response *http.Response) bool {
	return exchange.IsUnframed(response) && response.Request.Method != http.MethodHead
}

// read returns the complete response. A response with an error status is returned too, unless
// it is a problem document, which reports a failed attempt.
func (b *BackEnds) read(ctx context.Context, current *attempt, response *http.Response) (outside.BackEndResponse, *outside.AttemptError) {
	none := outside.BackEndResponse{}
	if !current.matches(response) {
		return none, current.unknownFailure(reasonFailed)
	}
	if response.Header.Get("Content-Type") == MediaProblem {
		return none, current.statusFailure(response)
	}
	body, err := readLimited(response, b.options.MaxResponseBytes)
	if err != nil || endsWithConnection(response) {
		return none, current.unknownFailure(reasonOf(ctx, reasonTruncated))
	}
	return outside.BackEndResponse{
		Attempt:     current.id,
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
		Load:        loadOf(response.Header),
	}, nil
}
