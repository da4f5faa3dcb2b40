package api

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// hardHeaderFactor times Limits.HeaderBytes end a connection while its
	// headers are being read; up to there, larger headers get a numbered error.
	hardHeaderFactor = 4
)

// NewServer returns a server with the limits that the interface needs. Bodies
// and answers have deadlines of their own, set by the handlers.
func NewServer(handler http.Handler, limits Limits) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    hardHeaderFactor * limits.withDefaults().HeaderBytes,
	}
}

// ServeOptions tell how to serve.
type ServeOptions struct {
	// TLS configuration; nil: plain HTTP.
	TLS *tls.Config
	// Grace that requests in progress have once the context has ended.
	Grace  time.Duration
	Limits Limits
}

// Serve serves the handler on the listener until the context ends, callers use
// no kept connection any more, and requests in progress have finished. An error means that serving failed or that the
// grace period cut off a request.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, options ServeOptions) error {
	server := NewServer(handler, options.Limits)
	server.TLSConfig = options.TLS
	connections := newIdleConnections()
	server.ConnState = connections.observe
	stopped := make(chan error, 1)
	release := context.AfterFunc(ctx, func() {
		connections.awaitQuiet(context.Background())
		stopped <- shutDown(server, options.Grace)
	})
	err := serveListener(server, acceptLast(listener))
	if !errors.Is(err, http.ErrServerClosed) {
		release()
		return err
	}
	return <-stopped
}

func serveListener(server *http.Server, listener net.Listener) error {
	if server.TLSConfig == nil {
		return server.Serve(listener)
	}
	return server.ServeTLS(listener, "", "")
}

func shutDown(server *http.Server, grace time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return errors.Join(err, server.Close())
	}
	return nil
}
