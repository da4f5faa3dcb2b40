package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of an exchange. They are joined with their cause; test for them with errors.Is.
var (
	// ErrNotSent reports that no byte of the request was sent, so that it is safe to retry.
	ErrNotSent = errors.New("nothing was sent")
	// ErrResponseMismatch reports that the responses on the connection belong to other requests.
	ErrResponseMismatch = errors.New("the answer belongs to another request")

	errNoLongerAllowed = errors.New("the request may no longer be sent")
)

const (
	// maxInlineBody is the size in bytes up to which a body is written before the response is
	// read. A longer one is written concurrently, since the server may respond before it has
	// read all of it.
	maxInlineBody = 2 << 10
	// maxSkippedResponses is the number of other requests' responses that are skipped before
	// the exchange fails.
	maxSkippedResponses = 2
	// defaultIdlePerServer is the default of DialSettings.MaxIdlePerServer.
	defaultIdlePerServer = 64
	// maxSkippedBody is the maximum number of bytes read to skip the body of a response.
	maxSkippedBody = 1 << 20
)

// Request is the request of one exchange.
type Request struct {
	// Address of the server.
	Address string
	// Method is that of Head; whether the response has a body depends on it.
	Method string
	// Head is the encoded request line and headers, including the empty line.
	Head []byte
	Body []byte
	// DirectOnly is set if the request must not pass through another node.
	DirectOnly bool
	// Identity is what tells the request's responses from those to other requests, such as its ID;
	// empty: they can't be told apart, and no NotAfter refers to the request.
	Identity string
	// NotAfter are the identities of earlier requests whose responses can't be told from the request's
	// own. The request goes on no connection on which one of them was sent.
	NotAfter []string
	// MaySend is asked once the connection is open, since opening it takes time: if it returns false, the
	// request is not sent. nil: it may be sent.
	MaySend func() bool
	// Matches reports whether a response with this head belongs to the request; nil: every
	// response does.
	Matches func(head *http.Response) bool
	// OnHead is called with the head of each final response that is read, and with whether it belongs
	// to the request; nil: not called.
	OnHead func(head *http.Response, matches bool)
}

// Client sends requests to servers and keeps idle connections for reuse. It is safe for concurrent
// use.
type Client struct {
	// OnAnomaly is called with each anomaly; nil: not called. It must be set before the first use.
	OnAnomaly func(Anomaly)

	dial DialSettings

	mutex sync.Mutex
	idle  map[route][]*connection
	// idleCount is the number of idle connections to all servers, maxIdle its limit; 0: no limit.
	idleCount, maxIdle int
	opened             uint64
}

// NewClient returns a client that connects with the given settings.
func NewClient(dial DialSettings) *Client {
	if dial.MaxIdlePerServer == 0 {
		dial.MaxIdlePerServer = defaultIdlePerServer
	}
	if dial.IdleTimeout == 0 {
		dial.IdleTimeout = defaultIdleTimeout
	}
	return &Client{dial: dial, idle: map[route][]*connection{}}
}

// SetMaxIdle limits the idle connections to all servers together. It must be called before the
// first use.
//
// Without a limit, a node that sends requests to 9,640 servers keeps as many connections, which is
// more than its machine has file descriptors, and can't accept connections of its own clients.
func (c *Client) SetMaxIdle(limit int) { c.maxIdle = limit }

// Opened returns the number of connections opened so far.
func (c *Client) Opened() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.opened
}

// Do sends a request exactly once and returns when the head of its response has been read. Reading
// the body returns io.EOF only if the response is complete. When ctx ends, even while the body is
// being read, the connection is closed.
func (c *Client) Do(ctx context.Context, request Request) (*http.Response, error) {
	conn, err := c.acquire(ctx, request)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	if request.MaySend != nil && !request.MaySend() {
		_ = conn.Close()
		return nil, errors.Join(ErrNotSent, errNoLongerAllowed)
	}
	conn.begin(request.Identity)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	write := &requestWrite{ended: make(chan struct{})}
	if err := write.start(conn, request); err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	response, clean, err := c.readResponse(conn, request)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	response.Body = &responseBody{
		ReadCloser: response.Body, client: c, conn: conn, stop: stop, write: write,
		unframed: response.Body != http.NoBody && IsUnframed(response),
		reusable: clean && !response.Close && !conn.isUsedUp(), idleTimeout: idleTimeoutFrom(response.Header.Get("Keep-Alive"), c.dial.IdleTimeout),
	}
	return response, nil
}

// readResponse reads the head of the request's response. It skips interim (1xx) responses, and a few
// responses that belong to other requests; clean is false if there were any of the latter.
func (c *Client) readResponse(conn *connection, request Request) (response *http.Response, clean bool, err error) {
	clean = true
	for skipped := 0; skipped <= maxSkippedResponses; {
		response, err = conn.readHead(request.Method)
		if err != nil {
			if kind := conn.headAnomaly(err); kind != "" {
				c.report(conn, kind, request.Identity, 0, err)
			}
			return nil, false, eris.Wrap(err, "read the answer's head")
		}
		matches := request.Matches == nil || request.Matches(response)
		if request.OnHead != nil {
			request.OnHead(response, matches)
		}
		if matches {
			return response, clean, nil
		}
		c.report(conn, AnomalyForeignResponse, request.Identity, response.StatusCode, nil)
		clean = false
		skipped++
		if response.Close || IsUnframed(response) {
			return nil, false, ErrResponseMismatch
		}
		if err := skipBody(response); err != nil {
			if errors.Is(err, ErrBodyTooLong) {
				c.report(conn, AnomalyBodyTooLong, request.Identity, response.StatusCode, err)
			}
			return nil, false, errors.Join(ErrResponseMismatch, err)
		}
	}
	return nil, false, ErrResponseMismatch
}

// acquire returns an idle connection that is still usable for the request, or else opens a new one.
func (c *Client) acquire(ctx context.Context, request Request) (*connection, error) {
	for {
		conn := c.takeIdle(c.routeTo(request.Address, request.DirectOnly), request.NotAfter)
		if conn == nil {
			break
		}
		state := conn.state()
		if state == idleQuiet && time.Now().Before(conn.expiresAt) {
			return conn, nil
		}
		if state == idleData {
			c.report(conn, AnomalyUnrequestedData, "", 0, nil)
		}
		_ = conn.Close()
	}
	return c.open(ctx, request.Address, request.DirectOnly)
}

// routeTo returns the route by which a server is reached now.
func (c *Client) routeTo(address string, directOnly bool) route {
	return route{address, !directOnly && c.dial.Paths != nil && c.dial.Paths.Indirect(address)}
}

// open opens a connection and counts it.
func (c *Client) open(ctx context.Context, address string, directOnly bool) (*connection, error) {
	conn, err := c.dial.open(ctx, address, directOnly)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	c.opened++
	conn.number = c.opened
	c.mutex.Unlock()
	return conn, nil
}

// Connect checks whether a server accepts connections at an address. A connection that is opened
// is kept for the next request.
func (c *Client) Connect(ctx context.Context, address string) error {
	return c.connect(ctx, address, false)
}

// ConnectDirect is Connect by this node's own path.
func (c *Client) ConnectDirect(ctx context.Context, address string) error {
	return c.connect(ctx, address, true)
}

func (c *Client) connect(ctx context.Context, address string, directOnly bool) error {
	conn, err := c.open(ctx, address, directOnly)
	if err != nil {
		return err
	}
	conn.expiresAt = time.Now().Add(c.dial.IdleTimeout)
	c.putIdle(conn)
	return nil
}

// takeIdle removes and returns the most recently used idle connection of a route on which no request
// with one of the identities was sent; nil if there is none. The others stay idle.
func (c *Client) takeIdle(by route, notAfter []string) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	kept := c.idle[by]
	for i := len(kept) - 1; i >= 0; i-- {
		taken := kept[i]
		if taken.sent.containsAny(notAfter) {
			continue
		}
		c.idleCount--
		if len(kept) == 1 {
			delete(c.idle, by)
			return taken
		}
		c.idle[by] = slices.Delete(kept, i, i+1)
		return taken
	}
	return nil
}

// putIdle keeps a connection for reuse, within the limits on idle connections.
func (c *Client) putIdle(conn *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.idle[conn.route]) >= c.dial.MaxIdlePerServer {
		_ = conn.Close()
		return
	}
	if c.maxIdle > 0 && c.idleCount >= c.maxIdle {
		c.closeOldestIdle()
	}
	c.idleCount++
	conn.beginWatch()
	c.idle[conn.route] = append(c.idle[conn.route], conn)
}

// closeOldestIdle closes the least recently used idle connection of an arbitrary route. It must be
// called with the lock held.
func (c *Client) closeOldestIdle() {
	for by, kept := range c.idle {
		_ = kept[0].Close()
		c.idleCount--
		if len(kept) == 1 {
			delete(c.idle, by)
		} else {
			c.idle[by] = kept[1:]
		}
		return
	}
}

// closeIdle closes all idle connections.
func (c *Client) closeIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for by, kept := range c.idle {
		for _, conn := range kept {
			_ = conn.Close()
		}
		delete(c.idle, by)
	}
	c.idleCount = 0
}

// Prune closes idle connections whose timeout has expired. It is to be called periodically.
func (c *Client) Prune(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for by, kept := range c.idle {
		var left []*connection
		for _, conn := range kept {
			if now.Before(conn.expiresAt) {
				left = append(left, conn)
				continue
			}
			_ = conn.Close()
			c.idleCount--
		}
		if len(left) == 0 {
			delete(c.idle, by)
			continue
		}
		c.idle[by] = left
	}
}

// requestWrite writes a request to a connection. A long body is written in the background, while the
// response is read.
type requestWrite struct {
	// ended is closed when the write has ended, with err.
	ended chan struct{}
	err   error
}

// start writes the request, or its head if the body is long. The error is ErrNotSent if nothing was
// written, which only a socket tells: over TLS, a record may have been sent in part.
func (w *requestWrite) start(conn *connection, request Request) error {
	inline := len(request.Body) <= maxInlineBody
	first := request.Head
	if inline {
		first = append(request.Head[:len(request.Head):len(request.Head)], request.Body...)
	}
	count, err := conn.Write(first)
	if err != nil && count == 0 && conn.socket != nil {
		return errors.Join(ErrNotSent, err)
	}
	if err != nil {
		return err
	}
	if inline {
		close(w.ended)
		return nil
	}
	go func() {
		defer close(w.ended)
		_, w.err = conn.Write(request.Body)
	}()
	return nil
}

// finished reports whether the whole request has been written.
func (w *requestWrite) finished() bool {
	select {
	case <-w.ended:
		return w.err == nil
	default:
		return false
	}
}

// wait waits until the write has ended, and returns its error.
func (w *requestWrite) wait() error {
	<-w.ended
	return w.err
}

// responseBody is the body of a response. Its connection is kept for reuse once the body has been
// read completely.
type responseBody struct {
	io.ReadCloser
	client *Client
	conn   *connection
	stop   func() bool
	write  *requestWrite
	// unframed: the body ends with the connection.
	unframed    bool
	reusable    bool
	idleTimeout time.Duration
	closed      bool
}

// Read implements io.Reader.
func (b *responseBody) Read(buffer []byte) (int, error) {
	if b.closed {
		return 0, io.EOF
	}
	count, err := b.ReadCloser.Read(buffer)
	if err == io.EOF && b.unframed {
		err = b.checkEnd()
	}
	if err == io.EOF {
		b.finish()
	}
	return count, err
}

// finish keeps the connection for reuse, or closes it if it is not reusable.
func (b *responseBody) finish() {
	b.closed = true
	stopped := b.stop()
	if b.conn.reader.Buffered() > 0 {
		b.client.report(b.conn, AnomalyUnrequestedData, "", 0, nil)
	}
	if !stopped || !b.reusable || !b.write.finished() || b.conn.reader.Buffered() > 0 {
		_ = b.conn.Close()
		return
	}
	b.conn.expiresAt = time.Now().Add(b.idleTimeout)
	b.client.putIdle(b.conn)
}

// Close ends the exchange. If the response was not read completely, the connection is closed.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.stop()
	return b.conn.Close()
}
