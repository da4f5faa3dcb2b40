package httpapi

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Lookup finds the address, host and port, of a server.
type Lookup func(server outside.ServerID) (address string, known bool)

// Options of the clients. The zero value of a field means its default.
type Options struct {
	// DialTimeout limits the time to connect.
	DialTimeout time.Duration
	// IdleStreamTimeout ends a stream that sends nothing for so long after its
	// first frame. Before that, the deadline alone counts.
	IdleStreamTimeout time.Duration
	// CancelTimeout is how long a cancelled generation waits for the engine's
	// word on it before its connection is closed.
	CancelTimeout time.Duration
	// IdleConnectionTimeout closes pooled connections. It must be shorter than
	// the servers' own.
	IdleConnectionTimeout time.Duration
	// IdleConnectionsPerServer are kept open.
	IdleConnectionsPerServer int
	// MaxFrameBytes limits one frame of a stream.
	MaxFrameBytes int
	// MaxResponseBytes limits any other body.
	MaxResponseBytes int64
	// StreamInBody sets "stream":true in the body of a generation, for engines
	// that do not heed the Accept header. Otherwise the body is sent as it is.
	StreamInBody bool
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
