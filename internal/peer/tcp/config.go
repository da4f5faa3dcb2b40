// Package tcp is the peer.Transport between real nodes: one TCP connection to
// each peer, on which calls are multiplexed as length-prefixed gob messages.
//
// A connection starts with a handshake in which both sides prove that they
// know the cluster's secret. The secret authenticates the connection's start
// only; where others can write into connections, TLS is needed.
package tcp

import (
	"crypto/tls"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

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
	DefaultMinBackoff       = 50 * time.Millisecond
	DefaultMaxBackoff       = 2 * time.Second
)

// Config configures a Transport. Zero limits stand for the defaults.
type Config struct {
	// Listener accepts peers; nil: one is opened at Address.
	Listener net.Listener
	// Address to listen at, such as "127.0.0.1:0"; unused with a Listener.
	Address string
	// AdvertisedAddress is where peers reach this node; it is what their
	// handlers get as from. Empty: the listener's address.
	AdvertisedAddress string
	// Secret shared by the cluster; required.
	Secret []byte
	// TLS for both directions; nil: none.
	TLS    *tls.Config
	Logger zerolog.Logger
	// Clock for timeouts of calls, backoff and idle connections; nil: the
	// machine's.
	Clock clock.Clock

	// MaxFrameBytes bounds one message.
	MaxFrameBytes int
	// QueueLength bounds the messages that wait to be sent to one peer, and
	// the replies that wait on one accepted connection.
	QueueLength int
	// MaxPendingCalls bounds the calls to one peer that wait for a reply.
	MaxPendingCalls int
	// MaxConnections accepted, and how many of them may be in handshake.
	MaxConnections int
	MaxHandshakes  int
	// HandshakeTimeout and WriteTimeout are on the machine's time.
	HandshakeTimeout time.Duration
	WriteTimeout     time.Duration
	// IdleTimeout after which an unused connection to a peer is closed.
	IdleTimeout time.Duration
	// MinBackoff and MaxBackoff bound the wait before the next connection
	// attempt, which doubles with each failure and is jittered.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

func (c Config) validate() error {
	if len(c.Secret) == 0 {
		return eris.New("the peer transport needs the cluster's secret")
	}
	if len(c.AdvertisedAddress) > maxAddressBytes {
		return eris.Errorf("the advertised address is longer than %d bytes", maxAddressBytes)
	}
	return nil
}

func (c Config) withDefaults() Config {
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
	defaults.Set(&c.MinBackoff, DefaultMinBackoff)
	defaults.Set(&c.MaxBackoff, DefaultMaxBackoff)
	return c
}

// backoff returns the wait after a number of failures in a row: from a half up
// to the whole of the doubled minimum.
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

// wait returns a channel that is closed after the delay, and its stop.
func wait(c clock.Clock, delay time.Duration) (<-chan struct{}, func() bool) {
	passed := make(chan struct{})
	return passed, c.AfterFunc(delay, func() { close(passed) }).Stop
}
