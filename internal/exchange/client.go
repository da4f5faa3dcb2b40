package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of an exchange. They are added to the cause; test with errors.Is.
var (
	// ErrNotSent: nothing of the request was sent.
	ErrNotSent = errors.New("nothing was sent")
	// ErrResponseMismatch: the answers on the connection belong to other requests.
	ErrResponseMismatch = errors.New("the answer belongs to another request")
)

const (
	// inlineBody is the size up to which a body is written before the answer is
	// read; a longer one is written beside it, since the server may answer
	// before it has read all.
	inlineBody = 2 << 10
	// foreignAnswers are skipped at most before the exchange fails.
	foreignAnswers = 2
	// idlePerServer connections are kept at most, unless the settings tell.
	idlePerServer = 64
	// longestForeign answer that is read in order to skip it, in bytes.
	longestForeign = 1 << 20
)

// Request is one exchange.
type Request struct {
	// Address of the server.
	Address string
	// Method is needed to know whether the answer has a body.
	Method string
	// Head is the request line and headers, with the empty line.
	Head []byte
	Body []byte
	// Matches tells whether an answer with this head belongs to the request;
	// nil: each does.
	Matches func(head *http.Response) bool
	// OnHead is called with the head of each final answer that is read, also of those
	// that belong to other requests; nil: not called.
	OnHead func(head *http.Response)
}

// Client keeps connections to servers. It is safe for concurrent use.
type Client struct {
	dial DialSettings

	mutex sync.Mutex
	idle  map[string][]*connection
	// kept counts the idle connections, of which there are mostIdle at most; 0: any.
	kept, mostIdle int
	opened         uint64
}

// NewClient returns a client.
func NewClient(dial DialSettings) *Client {
	if dial.MaxIdlePerServer == 0 {
		dial.MaxIdlePerServer = idlePerServer
	}
	if dial.IdleTimeout == 0 {
		dial.IdleTimeout = keepDefault
	}
	return &Client{dial: dial, idle: map[string][]*connection{}}
}

// SetMaxIdle limits the idle connections to all servers together. It must be called before the
// first use.
//
// A node that asks 9,640 servers something otherwise keeps as many connections, more than
// its machine has descriptors, and can accept none of its callers.
func (c *Client) SetMaxIdle(most int) { c.mostIdle = most }

// Opened counts the connections that came up.
func (c *Client) Opened() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.opened
}

// Do sends a request once and returns when the head of its answer was read. The
// body ends with io.EOF only if the answer is whole. When ctx ends, also while
// the body is read, the connection is closed.
func (c *Client) Do(ctx context.Context, request Request) (*http.Response, error) {
	conn, err := c.connect(ctx, request.Address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	written := &writing{}
	if err := written.start(conn, request); err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	response, clean, err := readAnswer(conn.reader, request)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	response.Body = &answerBody{
		ReadCloser: response.Body, client: c, conn: conn, address: request.Address, stop: stop, written: written,
		keep: clean && !response.Close, keepFor: keepFor(response.Header.Get("Keep-Alive"), c.dial.IdleTimeout),
	}
	return response, nil
}

// readAnswer reads the head of the request's answer, and skips interim answers
// and surplus ones of other requests. Clean is false if there were surplus ones.
func readAnswer(reader *bufio.Reader, request Request) (response *http.Response, clean bool, err error) {
	clean = true
	for skipped := 0; skipped <= foreignAnswers; {
		response, err = http.ReadResponse(reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, false, eris.Wrap(err, "read the answer's head")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.OnHead != nil {
			request.OnHead(response)
		}
		if request.Matches == nil || request.Matches(response) {
			return response, clean, nil
		}
		clean = false
		skipped++
		if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, false, ErrResponseMismatch
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, longestForeign)); err != nil {
			return nil, false, errors.Join(ErrResponseMismatch, err)
		}
	}
	return nil, false, ErrResponseMismatch
}

// connect takes a kept connection or opens one.
func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	for {
		conn := c.takeIdle(address)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.keepUntil) && conn.quiet() {
			return conn, nil
		}
		_ = conn.Close()
	}
	return c.open(ctx, address)
}

// open opens a connection and counts it.
func (c *Client) open(ctx context.Context, address string) (*connection, error) {
	conn, err := c.dial.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	c.opened++
	c.mutex.Unlock()
	return conn, nil
}

// Connect finds out whether somebody listens at an address. A connection that comes up
// is kept for the next request.
func (c *Client) Connect(ctx context.Context, address string) error {
	conn, err := c.open(ctx, address)
	if err != nil {
		return err
	}
	conn.keepUntil = time.Now().Add(c.dial.IdleTimeout)
	c.putIdle(address, conn)
	return nil
}

// takeIdle returns the connection that was used last.
func (c *Client) takeIdle(address string) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	kept := c.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	c.kept--
	if len(kept) == 1 {
		delete(c.idle, address)
		return last
	}
	c.idle[address] = kept[:len(kept)-1]
	return last
}

func (c *Client) putIdle(address string, conn *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.idle[address]) >= c.dial.MaxIdlePerServer {
		_ = conn.Close()
		return
	}
	if c.mostIdle > 0 && c.kept >= c.mostIdle {
		c.closeAny()
	}
	c.kept++
	c.idle[address] = append(c.idle[address], conn)
}

// closeAny closes the oldest idle connection of any server. It must be called with the
// lock held.
func (c *Client) closeAny() {
	for address, kept := range c.idle {
		_ = kept[0].Close()
		c.kept--
		if len(kept) == 1 {
			delete(c.idle, address)
		} else {
			c.idle[address] = kept[1:]
		}
		return
	}
}

// closeIdle closes all kept connections.
func (c *Client) closeIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, kept := range c.idle {
		for _, conn := range kept {
			_ = conn.Close()
		}
		delete(c.idle, address)
	}
	c.kept = 0
}

// Prune closes kept connections whose time is over. It is called now and then.
func (c *Client) Prune(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, kept := range c.idle {
		var left []*connection
		for _, conn := range kept {
			if now.Before(conn.keepUntil) {
				left = append(left, conn)
				continue
			}
			_ = conn.Close()
			c.kept--
		}
		if len(left) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = left
	}
}

// writing sends a request, the body beside the reading of the answer if it is
// long.
type writing struct {
	mutex sync.Mutex
	// done: all was written.
	done bool
}

func (w *writing) start(conn *connection, request Request) error {
	if len(request.Body) <= inlineBody {
		count, err := conn.Write(append(request.Head[:len(request.Head):len(request.Head)], request.Body...))
		if err != nil && count == 0 {
			return errors.Join(ErrNotSent, err)
		}
		w.done = err == nil
		return err
	}
	count, err := conn.Write(request.Head)
	if err != nil && count == 0 {
		return errors.Join(ErrNotSent, err)
	}
	if err != nil {
		return err
	}
	go func() {
		_, err := conn.Write(request.Body)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.done = err == nil
	}()
	return nil
}

func (w *writing) finished() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.done
}

// answerBody gives the connection back once the answer was read to its end.
type answerBody struct {
	io.ReadCloser
	client  *Client
	conn    *connection
	address string
	stop    func() bool
	written *writing
	keep    bool
	keepFor time.Duration
	ended   bool
}

// Read implements io.Reader.
func (b *answerBody) Read(part []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	count, err := b.ReadCloser.Read(part)
	if errors.Is(err, io.EOF) {
		b.end()
	}
	return count, err
}

// end gives the connection back, or closes it where it can't be used again.
func (b *answerBody) end() {
	b.ended = true
	stopped := b.stop()
	if !stopped || !b.keep || !b.written.finished() || b.conn.reader.Buffered() > 0 {
		_ = b.conn.Close()
		return
	}
	b.conn.keepUntil = time.Now().Add(b.keepFor)
	b.client.putIdle(b.address, b.conn)
}

// Close ends the exchange; an answer that was not read to its end costs the
// connection.
func (b *answerBody) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.stop()
	return b.conn.Close()
}
