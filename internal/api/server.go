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
	// maxHeaderFactor times Limits.HeaderBytes is the size of headers at which net/http
	// ends the connection. Smaller ones above Limits.HeaderBytes get an error with a
	// result code.
	maxHeaderFactor = 4
)

// NewServer returns an HTTP server with limits for headers and idle connections. The
// deadlines of bodies and responses are set by the handlers.
func NewServer(handler http.Handler, limits Limits) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderFactor * limits.withDefaults().HeaderBytes,
	}
}

// ServeOptions are the options of Serve.
type ServeOptions struct {
	// TLS is the server's TLS configuration; nil: plain HTTP.
	TLS *tls.Config
	// Grace is the time that requests in progress have to finish once shutdown begins.
	Grace  time.Duration
	Limits Limits
}

// Serve serves the handler on the listener until the context ends. It then waits until
// callers no longer use keep-alive connections, and for requests in progress. An error means
// that serving failed or that requests were cut off at the end of the grace period.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, options ServeOptions) error {
	server := NewServer(handler, options.Limits)
	server.TLSConfig = options.TLS
	connections := newIdleConnections()
	server.ConnState = connections.observe
	stopped := make(chan error, 1)
	cancelShutdown := context.AfterFunc(ctx, func() {
		connections.awaitQuiet(context.Background())
		stopped <- shutDown(server, options.Grace)
	})
	err := serveListener(server, acceptBacklog(listener))
	if !errors.Is(err, http.ErrServerClosed) {
		cancelShutdown()
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
