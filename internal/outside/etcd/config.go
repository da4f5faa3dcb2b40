// Package etcd implements outside.KeyValueService as a client of the JSON gateway of etcd v3
// over HTTP.
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
	// DefaultMaxResponseBytes is the maximum size of a response, or of one message of a watch.
	DefaultMaxResponseBytes = 16 << 20
	// DefaultWatchIdleTimeout is the maximum time between two messages of a watch.
	DefaultWatchIdleTimeout = 5 * time.Second
	// defaultIdleConnections is the maximum number of idle connections per endpoint.
	defaultIdleConnections = 32
)

// Config configures a Client.
type Config struct {
	// Endpoints are base URLs such as "http://127.0.0.1:2379". At least one is required.
	Endpoints []string
	// HTTPClient sends the requests; nil: a client with its own transport. Its transport
	// must be nil or an *http.Transport, since others may not report whether a request was
	// sent. Its timeout must be zero.
	HTTPClient *http.Client
	// Logger receives messages about lost watches and about rollbacks of the service to an
	// earlier state.
	Logger zerolog.Logger
	// MaxResponseBytes is the maximum size of a response. Zero: DefaultMaxResponseBytes.
	MaxResponseBytes int64
	// WatchIdleTimeout is the time without a message after which a watch is lost. The
	// service must send progress notifications at shorter intervals. Zero:
	// DefaultWatchIdleTimeout.
	WatchIdleTimeout time.Duration
}

// Client implements outside.KeyValueService. It is safe for concurrent use.
type Client struct {
	config     Config
	httpClient *http.Client
	endpoints  []string
	// preferred is the number of switches to another endpoint. Modulo the number of
	// endpoints it is the index of the current one.
	preferred atomic.Uint32
	rollbacks rollbackDetector

	// context is canceled by Close.
	context context.Context
	cancel  context.CancelFunc
	mutex   sync.Mutex
	closed  bool
	running sync.WaitGroup
}

var _ outside.KeyValueService = (*Client)(nil)

// New returns a client without connecting. It returns an error if the configuration is invalid.
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
		return nil, eris.New("no endpoint of the key-value service configured")
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

// prepareHTTPClient returns a copy of the given client that follows no redirects.
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

// Close cancels all calls and watches and waits for their goroutines. It must not be called
// from a callback. Later calls fail with outside.ErrNotApplied.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.cancel()
	c.running.Wait()
	c.httpClient.CloseIdleConnections()
}

// start runs function on a goroutine that Close waits for. After Close, the function still
// runs, with a canceled context and without being waited for.
func (c *Client) start(function func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		go function()
		return
	}
	c.running.Go(function)
}

// endpoint returns the base URL of the current endpoint, and its index for advanceEndpoint.
func (c *Client) endpoint() (base string, index uint32) {
	index = c.preferred.Load()
	return c.endpoints[int(index)%len(c.endpoints)], index
}

// advanceEndpoint switches to the next endpoint unless another call has done so already.
func (c *Client) advanceEndpoint(index uint32) { c.preferred.CompareAndSwap(index, index+1) }
