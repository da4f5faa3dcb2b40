package poison

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/peers"
)

const (
	// contact is the time after which a node that reaches the store must know.
	contact = 3 * time.Second
	// storeDelay of a call, and of a change on its way to the nodes.
	storeDelay = 4 * time.Millisecond
)

// fakeStore keeps keys, and tells the nodes that reach it of changes.
type fakeStore struct {
	outside.KeyValueService
	mutex    sync.Mutex
	revision int64
	keys     map[string]outside.KeyValue
	// away: the store answers nobody.
	away     bool
	watchers map[*node]bool
}

// Transact writes if all compares hold.
func (s *fakeStore) Transact(transaction outside.Transaction, timeout time.Duration, done func(outside.TransactionResult, error)) {
	s.mutex.Lock()
	away := s.away
	s.mutex.Unlock()
	if away {
		time.AfterFunc(timeout, func() { done(outside.TransactionResult{}, outside.ErrAmbiguous) })
		return
	}
	time.AfterFunc(storeDelay, func() { done(s.apply(transaction), nil) })
}

func (s *fakeStore) apply(transaction outside.Transaction) outside.TransactionResult {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, compare := range transaction.Compares {
		if current := s.keys[compare.Key]; current.ModRevision != compare.ModRevision {
			result := outside.TransactionResult{Revision: s.revision}
			if current.ModRevision != 0 {
				result.Current = []outside.KeyValue{current}
			}
			return result
		}
	}
	s.revision++
	for _, operation := range transaction.Operations {
		event := outside.WatchEvent{
			Deleted:  operation.Kind == outside.OperationDelete,
			KeyValue: outside.KeyValue{Key: operation.Key, Value: operation.Value, ModRevision: s.revision},
		}
		if event.Deleted {
			delete(s.keys, operation.Key)
		} else {
			s.keys[operation.Key] = event.KeyValue
		}
		for watcher := range s.watchers {
			time.AfterFunc(storeDelay, func() { watcher.guard.Change(event) })
		}
	}
	return outside.TransactionResult{Succeeded: true, Revision: s.revision}
}

// restore brings back the keys of a backup, in another era, and tells the nodes.
func (s *fakeStore) restore(backup []outside.KeyValue) {
	s.mutex.Lock()
	era := outside.EraOf(s.revision) + 1
	s.revision = outside.RevisionOf(era, 1000)
	s.keys = map[string]outside.KeyValue{}
	for _, keyValue := range backup {
		keyValue.ModRevision = outside.RevisionOf(era, outside.OwnRevision(keyValue.ModRevision))
		s.keys[keyValue.Key] = keyValue
	}
	var nodes []*node
	for watcher := range s.watchers {
		nodes = append(nodes, watcher)
	}
	s.mutex.Unlock()
	for _, n := range nodes {
		n.guard.Restored(s.all())
	}
}

// entries returns the keys of entries.
func (s *fakeStore) entries() []outside.KeyValue {
	return slices.DeleteFunc(s.all(), func(keyValue outside.KeyValue) bool { return !strings.HasPrefix(keyValue.Key, "entries/") })
}

// all returns the keys that exist.
func (s *fakeStore) all() []outside.KeyValue {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var all []outside.KeyValue
	for _, keyValue := range s.keys {
		all = append(all, keyValue)
	}
	return all
}

func (s *fakeStore) watch(n *node, watches bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watchers[n] = watches
	if !watches {
		delete(s.watchers, n)
	}
}

// node is one guard with its own view.
type node struct {
	address string
	guard   *Guard
	view    *fleet.View
	stop    func()
}

// world is a fleet of nodes, with a store and the servers' addresses.
type world struct {
	network *peers.Network
	store   *fakeStore
	nodes   []*node
	// collectors gather reports; holder is the one that tells followers.
	collectors []string
	holder     string

	mutex sync.Mutex
	// refusing addresses have no listener any more.
	refusing map[string]bool
	// silent addresses take no connection and refuse none.
	silent map[string]bool
	// looks counts connections to servers for a look.
	looks int
}

// newWorld starts nodes of which the first ones collector, and the last one holds orders.
func newWorld(nodes, collectors int) *world {
	w := &world{
		network: peers.NewNetwork(), store: &fakeStore{keys: map[string]outside.KeyValue{}, watchers: map[*node]bool{}},
		refusing: map[string]bool{}, silent: map[string]bool{},
	}
	for i := range nodes {
		address := fmt.Sprintf("node-%02d", i)
		if i < collectors {
			w.collectors = append(w.collectors, address)
		}
		w.holder = address
	}
	for i := range nodes {
		w.nodes = append(w.nodes, w.start(fmt.Sprintf("node-%02d", i)))
	}
	return w
}

// start starts a node, which reads the store first if it is there.
func (w *world) start(address string) *node {
	n := &node{address: address, view: fleet.NewView()}
	n.guard = NewGuard(Config{
		View: n.view, Connect: w.connect, Collectors: w.knownCollectors,
		Followers: func() []string {
			if address != w.holder {
				return nil
			}
			return w.network.Living()
		},
		Transport: w.network.Add(address), Address: address, Store: w.store, EntriesPrefix: "entries/", CrashesPrefix: "ends/", Logger: zerolog.Nop(),
	})
	n.guard.Replace(w.store.all())
	w.store.watch(n, true)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.guard.Run(ctx)
	return n
}

// knownCollectors are the nodes that collect, and the holder if there is one.
func (w *world) knownCollectors() []string {
	if w.holder == "" {
		return w.collectors
	}
	return append(slices.Clone(w.collectors), w.holder)
}

// connect plays a connection to a server.
func (w *world) connect(_ context.Context, address string) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.looks++
	switch {
	case w.refusing[address]:
		return syscall.ECONNREFUSED
	case w.silent[address]:
		return os.ErrDeadlineExceeded
	}
	return nil
}

// server lists a server at all nodes.
func (w *world) server(id string) *fleet.Server {
	server := &fleet.Server{ID: id, Address: id + ":1", Pool: "p", Slots: 64}
	for _, n := range w.nodes {
		n.view.UpdateServers(map[string]*fleet.Server{id: server})
	}
	return server
}

// end ends a server under the requests that nodes had there.
func (w *world) end(server *fleet.Server, under map[*node][]Identity) {
	w.mutex.Lock()
	w.refusing[server.Address] = true
	w.mutex.Unlock()
	for n, identities := range under {
		for _, identity := range identities {
			n.guard.Broke(context.Background(), identity, server, time.Now())
		}
	}
}

// held counts the nodes that refuse the identity.
func (w *world) held(identity Identity) int {
	count := 0
	for _, n := range w.nodes {
		if _, held := n.guard.Held(identity); held {
			count++
		}
	}
	return count
}

// looked counts the connections to servers for a look.
func (w *world) looked() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.looks
}

// numbered returns identities that differ.
func numbered(from, to int) []Identity {
	var all []Identity
	for number := from; number < to; number++ {
		all = append(all, IdentityOf("caller", "POST", "h", fmt.Sprint("/", number), nil))
	}
	return all
}

// inWorld runs the body in virtual time.
func inWorld(t *testing.T, nodes, collectors int, body func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		w := newWorld(nodes, collectors)
		defer func() {
			for _, n := range w.nodes {
				n.stop()
			}
			// What is under way ends.
			time.Sleep(time.Minute)
		}()
		body(w)
	})
}

// sharedEndsOf counts the ends in the store that name the identity.
func (s *fakeStore) sharedEndsOf(identity Identity) int {
	count := 0
	for _, keyValue := range s.all() {
		var saved savedEnds
		if !strings.HasPrefix(keyValue.Key, "ends/") || json.Unmarshal(keyValue.Value, &saved) != nil {
			continue
		}
		for _, end := range saved.Ends {
			if slices.Contains(end.Suspects, identity) {
				count++
			}
		}
	}
	return count
}

// removeAll removes all keys, as an operator does.
func (s *fakeStore) removeAll() {
	for _, keyValue := range s.entries() {
		s.apply(outside.Transaction{Operations: []outside.Operation{{Kind: outside.OperationDelete, Key: keyValue.Key}}})
	}
}
