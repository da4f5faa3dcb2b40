// Package etcd binds outside.KeyValueService to the published JSON interface
// of etcd v3 over HTTP.
package etcd

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// The defaults of Config.
const (
	// DefaultMaxResponseBytes bounds a response, and one message of a watch.
	DefaultMaxResponseBytes = 16 << 20
	// DefaultWatchIdleTimeout is the longest time without a message of a watch.
	DefaultWatchIdleTimeout = 5 * time.Second
	// defaultIdleConnections kept to one endpoint.
	defaultIdleConnections = 32
)

// Config configures a Client.
type Config struct {
	// Endpoints are base URLs such as "http://127.0.0.1:2379"; at least one.
	Endpoints []string
	// HTTPClient sends the requests; nil: one with a transport of its own. Its
	// transport must be an *http.Transport, since others do not tell whether a
	// request was sent. Its timeout must be zero.
	HTTPClient *http.Client
	// Logger logs lost watches, and that the service went back to an earlier state.
	Logger zerolog.Logger
	// MaxResponseBytes bounds a response. Zero: DefaultMaxResponseBytes.
	MaxResponseBytes int64
	// WatchIdleTimeout ends a watch that brought no message for so long. The
	// service must send progress notifications more often. Zero:
	// DefaultWatchIdleTimeout.
	WatchIdleTimeout time.Duration
}

// Client is a binding of outside.KeyValueService. It is safe for concurrent
// use.
type Client struct {
	config     Config
	httpClient *http.Client
	endpoints  []string
	// preferred counts changes of endpoint; modulo their number it is the
	// index of the one to use.
	preferred atomic.Uint32
	rollbacks rollbackDetector

	// context ends with Close.
	context context.Context
	cancel  context.CancelFunc
	mutex   sync.Mutex
	closed  bool
	running sync.WaitGroup
}

var _ outside.KeyValueService = (*Client)(nil)

// New returns a client. It does not connect yet.
func New(config Config) (*Client, error) {
	endpoints, err := checkEndpoints(config.Endpoints)
	if err != nil {
		return nil, err
	}
	httpClient, err := prepareHTTPClient(config.HTTPClient)
	if err != nil {
		return nil, err
	}
	if config.MaxResponseBytes == 0 {
		config.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if config.WatchIdleTimeout == 0 {
		config.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	client := &Client{config: config, httpClient: httpClient, endpoints: endpoints, rollbacks: rollbackDetector{logger: config.Logger}}
	client.context, client.cancel = context.WithCancel(context.Background())
	return client, nil
}

func checkEndpoints(given []string) ([]string, error) {
	if len(given) == 0 {
		return nil, eris.New("no endpoint of the key-value service given")
	}
	endpoints := make([]string, 0, len(given))
	for _, endpoint := range given {
		parsed, err := url.Parse(endpoint)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return nil, eris.Errorf("endpoint %q is not an http or https URL", endpoint)
		}
		endpoints = append(endpoints, strings.TrimRight(endpoint, "/"))
	}
	return endpoints, nil
}

// prepareHTTPClient returns a copy that follows no redirects.
func prepareHTTPClient(given *http.Client) (*http.Client, error) {
	client := &http.Client{}
	if given != nil {
		*client = *given
	}
	if client.Timeout != 0 {
		return nil, eris.New("the HTTP client must have no timeout of its own")
	}
	if client.Transport == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.MaxIdleConnsPerHost = defaultIdleConnections
		transport.Proxy = nil
		client.Transport = transport
	}
	if _, ok := client.Transport.(*http.Transport); !ok {
		return nil, eris.Errorf("the HTTP client's transport is a %T, not an *http.Transport", client.Transport)
	}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client, nil
}

// Close ends all calls and watches and waits for them. It must not be called
// from a callback. Calls made later end with outside.ErrNotApplied.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.cancel()
	c.running.Wait()
	c.httpClient.CloseIdleConnections()
}

// start runs function on a goroutine that Close waits for; closed functions
// run with an ended context.
func (c *Client) start(function func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		go function()
		return
	}
	c.running.Go(function)
}

// endpoint returns the base URL to use now.
func (c *Client) endpoint() (base string, index uint32) {
	index = c.preferred.Load()
	return c.endpoints[int(index)%len(c.endpoints)], index
}

// avoid moves on to the next endpoint unless another call did so already.
func (c *Client) avoid(index uint32) { c.preferred.CompareAndSwap(index, index+1) }
