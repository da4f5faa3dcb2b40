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
	// hardHeaderBytes end a connection while its headers are being read; up to
	// there, headers above Limits.HeaderBytes get a numbered error.
	hardHeaderBytes = 64 << 10
)

// NewServer returns a server with the limits that the interface needs. Bodies
// and answers have deadlines of their own, set by the handlers.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    hardHeaderBytes,
	}
}

// Serve serves the handler on the listener until the context ends; requests in
// progress then have the grace period to finish. With a TLS configuration the
// listener speaks TLS.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, tlsConfig *tls.Config, grace time.Duration) error {
	server := NewServer(handler)
	server.TLSConfig = tlsConfig
	stopped := make(chan error, 1)
	release := context.AfterFunc(ctx, func() { stopped <- shutDown(server, grace) })
	err := serveListener(server, listener)
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
