package stand

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/platform/standin"
)

// Store is the platform's store, which is the project's own stand-in.
type Store struct {
	Address string
	// Data is what the store holds.
	Data    *keyvalue.Store
	handler *standin.StoreServer
	server  *http.Server
	silent  atomic.Bool
}

// NewStore starts an empty store.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	data := keyvalue.NewStore(keyvalue.Options{Clock: clock.System{}})
	handler := standin.NewStoreServer(data)
	// The pages name no era of the store, so its answers have none.
	handler.FirstEra = -1
	store := &Store{Address: listener.Addr().String(), Data: data, handler: handler, server: &http.Server{Handler: handler}}
	go func() { _ = store.server.Serve(listener) }()
	return store, nil
}

// Put writes a key, as the operator and the servers do. It fails while the store is silent.
func (s *Store) Put(key, value string) error {
	if s.silent.Load() {
		return errors.New("the store does not answer")
	}
	_, err := s.Data.Transact(outside.Transaction{
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: key, Value: []byte(value)}},
	})
	if err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	return nil
}

// Heartbeat writes a server's record every 1.2 s until stop is closed.
func (s *Store) Heartbeat(key string, record func() string, stop <-chan struct{}) {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for {
		_ = s.Put(key, record())
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// SetSilent makes the store accept calls and answer none, or answer again.
func (s *Store) SetSilent(silent bool) {
	s.silent.Store(silent)
	s.handler.SetUnresponsive(silent)
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }
