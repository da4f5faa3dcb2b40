package edge

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// newConnectionWait is how long a connection that was accepted before the port closed may wait
	// for its first request.
	newConnectionWait = time.Second
	// closePollPeriod is the interval between checks for connections to close at shutdown.
	closePollPeriod = 10 * time.Millisecond
)

// callersServer serves the clients' requests.
type callersServer struct {
	server      *http.Server
	listener    net.Listener
	connections *idleConnections
	// accepted is closed once no more connections are accepted.
	accepted <-chan struct{}
}

// serveCallers serves the clients' requests in the background. A later failure goes to failures.
func (p *Process) serveCallers(listener net.Listener, failures chan<- error) {
	server := &http.Server{
		Handler: p.components.Callers, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: p.idle.connStateChanged, ErrorLog: httpErrorLog(p.logger),
	}
	p.callers = callersServer{server: server, listener: listener, connections: p.idle}
	p.callers.accepted = p.serveAt(callersListener{listener}, server, failures)
}

// shutDown closes the port, answers the requests that came before, and closes the connections. It
// returns an error if requests were cut off at the end of ctx.
//
// net/http drops without a response what it reads while it shuts down, and closes idle connections on
// which a request is being read. So it shuts down only after these have been read.
func (s callersServer) shutDown(ctx context.Context) error {
	_ = s.listener.Close()
	select {
	case <-s.accepted:
	case <-ctx.Done():
	}
	s.closeUnused(ctx)
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	return err
}

// closeUnused closes the connections without a request, and returns once no request is being read, or
// ctx ends.
func (s callersServer) closeUnused(ctx context.Context) {
	ticker := time.NewTicker(closePollPeriod)
	defer ticker.Stop()
	for s.connections.closeUnused(time.Now()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
