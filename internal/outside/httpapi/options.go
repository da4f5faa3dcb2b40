package httpapi

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// Lookup returns the address (host:port) of a server; found is false if the server has none.
type Lookup func(server outside.ServerID) (address string, found bool)

// Options configures the clients. A field that is zero takes its default.
type Options struct {
	// DialTimeout limits the time to connect, and the time that sent bytes may remain
	// unacknowledged.
	DialTimeout time.Duration
	// IdleStreamTimeout is the maximum time between two frames of a stream. It starts with
	// the response's headers; before them, only the request's deadline applies.
	IdleStreamTimeout time.Duration
	// CancelTimeout limits the request that cancels a generation, and then the wait for the
	// end of its stream before the connection is closed.
	CancelTimeout time.Duration
	// IdleConnectionTimeout is the time after which an idle pooled connection is closed. It
	// must be shorter than the servers' idle timeout.
	IdleConnectionTimeout time.Duration
	// IdleConnectionsPerServer is the maximum number of idle connections kept per server.
	IdleConnectionsPerServer int
	// MaxFrameBytes is the maximum size of one frame of a stream.
	MaxFrameBytes int
	// MaxResponseBytes is the maximum size of any other response body.
	MaxResponseBytes int64
	// StreamInBody sets "stream":true in the body of a generation, for engines that ignore
	// the Accept header. Otherwise the body is sent unchanged.
	StreamInBody bool
	// OnAnomaly is called with what a server sent in place of one response for each request; nil: not
	// called.
	OnAnomaly func(exchange.Anomaly)
}

// Defaults of Options.
const (
	DefaultDialTimeout              = time.Second
	DefaultIdleStreamTimeout        = 10 * time.Second
	DefaultCancelTimeout            = time.Second
	DefaultIdleConnectionTimeout    = 60 * time.Second
	DefaultIdleConnectionsPerServer = 256
	DefaultMaxFrameBytes            = 64 << 10
	DefaultMaxResponseBytes         = 16 << 20
)

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleStreamTimeout, DefaultIdleStreamTimeout)
	setDefault(&o.CancelTimeout, DefaultCancelTimeout)
	setDefault(&o.IdleConnectionTimeout, DefaultIdleConnectionTimeout)
	setDefault(&o.IdleConnectionsPerServer, DefaultIdleConnectionsPerServer)
	setDefault(&o.MaxFrameBytes, DefaultMaxFrameBytes)
	setDefault(&o.MaxResponseBytes, DefaultMaxResponseBytes)
	return o
}

func setDefault[Number ~int | ~int64](field *Number, value Number) {
	if *field <= 0 {
		*field = value
	}
}
