// Package tcp implements peer.Transport over TCP. A node opens one connection to
// each peer, on which calls are multiplexed as length-prefixed gob messages.
//
// A connection begins with a handshake in which both sides prove that they know
// the cluster secret. Only the handshake is authenticated: where an attacker can
// inject data into connections, TLS is required.
package tcp

import (
	"crypto/tls"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/bytebudget"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/defaults"
)

// The defaults of Config.
const (
	DefaultMaxFrameBytes    = 4 << 20
	DefaultQueueLength      = 1024
	DefaultMaxPendingCalls  = 16 << 10
	DefaultMaxConnections   = 4096
	DefaultMaxHandshakes    = 256
	DefaultHandshakeTimeout = 5 * time.Second
	DefaultWriteTimeout     = 10 * time.Second
	DefaultIdleTimeout      = 2 * time.Minute
	DefaultProbeInterval    = time.Second
	DefaultMinBackoff       = 50 * time.Millisecond
	DefaultMaxBackoff       = 2 * time.Second
)

// Config configures a Transport. Limits and timeouts that are zero take their
// defaults.
type Config struct {
	// Listener for peer connections. If nil, one is opened at Address.
	Listener net.Listener
	// Address to listen at, such as "127.0.0.1:0"; ignored if Listener is set.
	Address string
	// AdvertisedAddress is the address at which peers reach this node, and which
	// their handlers get as from. If empty, the listener's address is used.
	AdvertisedAddress string
	// Secret shared by all nodes of the cluster; required.
	Secret []byte
	// TLS configuration of accepted and dialed connections. If nil, TLS is not
	// used.
	TLS *tls.Config
	// StreamDialer connects to peers for streams. If nil, a default one is used.
	StreamDialer *net.Dialer
	Logger       zerolog.Logger
	// Clock for call timeouts, backoff and idle connections. If nil, the system
	// clock is used.
	Clock clock.Clock

	// MaxFrameBytes limits the encoded size of one message.
	MaxFrameBytes int
	// Memory limits the bytes of frames from all peers; nil: each frame is limited
	// alone.
	Memory *bytebudget.Budget
	// QueueLength limits the messages queued for one peer, and the replies
	// queued on one accepted connection.
	QueueLength int
	// MaxPendingCalls limits the calls to one peer that wait for a reply.
	MaxPendingCalls int
	// MaxConnections limits the accepted connections, and MaxHandshakes those of
	// them whose handshake is in progress.
	MaxConnections int
	MaxHandshakes  int
	// HandshakeTimeout and WriteTimeout are measured on the system clock.
	HandshakeTimeout time.Duration
	WriteTimeout     time.Duration
	// IdleTimeout is how long a connection to a peer may be unused before it is
	// closed.
	IdleTimeout time.Duration
	// ProbeInterval is the time between two probes of a connection on which nothing is
	// received. One that goes silent is closed within four intervals.
	ProbeInterval time.Duration
	// MinBackoff and MaxBackoff limit the delay before the next connection
	// attempt, which doubles with each failure and has jitter.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

func (c Config) validate() error {
	if len(c.Secret) == 0 {
		return eris.New("the peer transport needs the cluster secret")
	}
	if len(c.AdvertisedAddress) > maxAddressBytes {
		return eris.Errorf("the advertised address is longer than %d bytes", maxAddressBytes)
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.StreamDialer == nil {
		c.StreamDialer = &net.Dialer{}
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	defaults.Set(&c.MaxFrameBytes, DefaultMaxFrameBytes)
	defaults.Set(&c.QueueLength, DefaultQueueLength)
	defaults.Set(&c.MaxPendingCalls, DefaultMaxPendingCalls)
	defaults.Set(&c.MaxConnections, DefaultMaxConnections)
	defaults.Set(&c.MaxHandshakes, DefaultMaxHandshakes)
	defaults.Set(&c.HandshakeTimeout, DefaultHandshakeTimeout)
	defaults.Set(&c.WriteTimeout, DefaultWriteTimeout)
	defaults.Set(&c.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&c.ProbeInterval, DefaultProbeInterval)
	defaults.Set(&c.MinBackoff, DefaultMinBackoff)
	defaults.Set(&c.MaxBackoff, DefaultMaxBackoff)
	return c
}

// backoff returns the delay after a number of consecutive failures. It is chosen
// at random between half of the exponential backoff and all of it.
func (c Config) backoff(failures int) time.Duration {
	wait := c.MinBackoff
	for range failures - 1 {
		if wait >= c.MaxBackoff {
			break
		}
		wait *= 2
	}
	wait = min(wait, c.MaxBackoff)
	return wait/2 + rand.N(wait/2+1)
}

// after returns a channel that is closed after the delay, and a function that
// stops the timer.
func after(c clock.Clock, delay time.Duration) (<-chan struct{}, func() bool) {
	passed := make(chan struct{})
	return passed, c.AfterFunc(delay, func() { close(passed) }).Stop
}
