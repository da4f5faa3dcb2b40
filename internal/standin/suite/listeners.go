package suite

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/standin/httpserver"
)

// Timeouts of the HTTP servers. The idle timeout is longer than that of any
// client, so that a client never sends on a connection that is being closed.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 10 * time.Minute
)

// listenerTable holds the HTTP servers by name. Its zero value is empty.
type listenerTable struct {
	mutex   sync.Mutex
	entries []*listenerEntry
	serving sync.WaitGroup
}

type listenerEntry struct {
	Endpoint
	server *http.Server
}

// serve listens and serves in the background; it returns the address.
func (t *listenerTable) serve(name, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", eris.Wrapf(err, "stand-in %s", name)
	}
	entry := &listenerEntry{
		Endpoint: Endpoint{Name: name, Address: listener.Addr().String()},
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    httpserver.MaxHeaderBytes,
		},
	}
	t.mutex.Lock()
	t.entries = append(t.entries, entry)
	t.mutex.Unlock()
	t.serving.Go(func() {
		// Serve returns when the server was closed.
		_ = entry.server.Serve(listener)
	})
	return entry.Address, nil
}

// stop closes a server with all its connections.
func (t *listenerTable) stop(name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for index, entry := range t.entries {
		if entry.Name == name {
			_ = entry.server.Close()
			t.entries = append(t.entries[:index], t.entries[index+1:]...)
			return
		}
	}
}

func (t *listenerTable) endpoints() []Endpoint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	endpoints := make([]Endpoint, 0, len(t.entries))
	for _, entry := range t.entries {
		endpoints = append(endpoints, entry.Endpoint)
	}
	return endpoints
}

// close closes all servers and waits until they have ended.
func (t *listenerTable) close() {
	t.mutex.Lock()
	entries := t.entries
	t.entries = nil
	t.mutex.Unlock()
	for _, entry := range entries {
		_ = entry.server.Close()
	}
	t.serving.Wait()
}
