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
	// propagationLimit is the time after which each node that reaches the store must refuse.
	propagationLimit = 3 * time.Second
	// messageTime is longer than a message takes between two nodes.
	messageTime = 20 * time.Millisecond
	// storeDelay is the latency of a call, and that of a change on its way to the nodes.
	storeDelay = 4 * time.Millisecond
)

// fakeStore keeps keys, and sends changes to the nodes that reach it.
type fakeStore struct {
	outside.KeyValueService
	mutex    sync.Mutex
	revision int64
	keys     map[string]outside.KeyValue
	// unavailable: the store answers no node.
	unavailable bool
	watchers    map[*node]bool
}

// Transact writes if all compares succeed.
func (s *fakeStore) Transact(transaction outside.Transaction, timeout time.Duration, done func(outside.TransactionResult, error)) {
	s.mutex.Lock()
	unavailable := s.unavailable
	s.mutex.Unlock()
	if unavailable {
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

// restore replaces the keys by those of a backup, in another era, and notifies the nodes.
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

// cluster consists of nodes, a store and the servers' addresses.
type cluster struct {
	network  *peers.Network
	messages *countedMessages
	store    *fakeStore
	nodes    []*node
	// collectors collect reports; holder holds the lease for orders and sends to followers.
	collectors []string
	holder     string

	mutex sync.Mutex
	// refusing addresses have no listener any more.
	refusing map[string]bool
	// unresponsive addresses neither accept nor refuse connections.
	unresponsive map[string]bool
	// probes counts probe connections to servers.
	probes int
}

// newCluster starts nodes, of which the first ones are collectors and the last one holds the
// lease for orders.
func newCluster(nodes, collectors int) *cluster {
	c := &cluster{
		network: peers.NewNetwork(), messages: &countedMessages{}, store: &fakeStore{keys: map[string]outside.KeyValue{}, watchers: map[*node]bool{}},
		refusing: map[string]bool{}, unresponsive: map[string]bool{},
	}
	for i := range nodes {
		address := fmt.Sprintf("node-%02d", i)
		if i < collectors {
			c.collectors = append(c.collectors, address)
		}
		c.holder = address
	}
	for i := range nodes {
		c.nodes = append(c.nodes, c.start(fmt.Sprintf("node-%02d", i)))
	}
	return c
}

// start starts a node, which reads the store first if it is there.
func (c *cluster) start(address string) *node {
	n := &node{address: address, view: fleet.NewView()}
	n.guard = NewGuard(Config{
		View: n.view, Connect: c.connect, Collectors: c.knownCollectors,
		Followers: func() []string {
			if address != c.holder {
				return nil
			}
			return c.network.Living()
		},
		Transport: countedTransport{c.network.Add(address), c.messages}, Address: address, Store: c.store, EntriesPrefix: "entries/", CrashesPrefix: "ends/", Logger: zerolog.Nop(),
	})
	n.guard.Replace(c.store.all())
	c.store.watch(n, true)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.guard.Run(ctx)
	return n
}

// knownCollectors are the collectors, and the holder if there is one.
func (c *cluster) knownCollectors() []string {
	if c.holder == "" {
		return c.collectors
	}
	return append(slices.Clone(c.collectors), c.holder)
}

// connect simulates a connection to a server.
func (c *cluster) connect(_ context.Context, address string) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.probes++
	switch {
	case c.refusing[address]:
		return syscall.ECONNREFUSED
	case c.unresponsive[address]:
		return os.ErrDeadlineExceeded
	}
	return nil
}

// server registers a server at all nodes.
func (c *cluster) server(id string) *fleet.Server {
	server := &fleet.Server{ID: id, Address: id + ":1", Pool: "p", Slots: 64}
	for _, n := range c.nodes {
		n.view.UpdateServers(map[string]*fleet.Server{id: server})
	}
	return server
}

// crash crashes a server under the requests that nodes have there.
func (c *cluster) crash(server *fleet.Server, under map[*node][]Identity) {
	c.mutex.Lock()
	c.refusing[server.Address] = true
	c.mutex.Unlock()
	for n, identities := range under {
		for _, identity := range identities {
			n.guard.AttemptBroken(context.Background(), Request{Identity: identity}, server, time.Now())
		}
	}
}

// refusedBy counts the nodes that refuse the identity. They are asked one after the other, and no
// request is sent, so those that admit it as a trial count as not refusing.
func (c *cluster) refusedBy(identity Identity) int {
	count := 0
	for _, n := range c.nodes {
		trial, refusal := n.admit(Request{Identity: identity})
		if refusal != nil {
			count++
		}
		if trial != nil {
			n.guard.EndTrial(trial, false)
			time.Sleep(messageTime)
		}
	}
	return count
}

// admit asks whether a request may run that takes a second at most.
func (n *node) admit(request Request) (*Trial, *Refusal) {
	return n.guard.Admit(context.Background(), request, time.Now().Add(time.Second))
}

// probeCount returns the number of probe connections to servers.
func (c *cluster) probeCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.probes
}

// numbered returns distinct identities.
func numbered(from, to int) []Identity {
	var all []Identity
	for number := from; number < to; number++ {
		all = append(all, IdentityOf("caller", "POST", "h", fmt.Sprint("/", number), nil))
	}
	return all
}

// runInCluster runs the body in virtual time.
func runInCluster(t *testing.T, nodes, collectors int, body func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		c := newCluster(nodes, collectors)
		defer func() {
			for _, n := range c.nodes {
				n.stop()
			}
			// Lets pending timers and calls finish.
			time.Sleep(time.Minute)
		}()
		body(c)
	})
}

// sharedCrashesOf counts the crashes in the store with the identity among their suspects.
func (s *fakeStore) sharedCrashesOf(identity Identity) int {
	count := 0
	for _, keyValue := range s.all() {
		var saved savedCrashes
		if !strings.HasPrefix(keyValue.Key, "ends/") || json.Unmarshal(keyValue.Value, &saved) != nil {
			continue
		}
		for _, crash := range saved.Crashes {
			if slices.Contains(crash.Suspects, identity) {
				count++
			}
		}
	}
	return count
}

// removeAll deletes the keys of all entries, as an operator does.
func (s *fakeStore) removeAll() {
	for _, keyValue := range s.entries() {
		s.apply(outside.Transaction{Operations: []outside.Operation{{Kind: outside.OperationDelete, Key: keyValue.Key}}})
	}
}

// admission is a request that a node admits.
type admission struct {
	node    *node
	request Request
}

// admittedAtOnce asks all nodes for the request at the same time, and returns those that admit it.
func (c *cluster) admittedAtOnce(request Request) []admission {
	var mutex sync.Mutex
	var admitted []admission
	var group sync.WaitGroup
	for _, n := range c.nodes {
		group.Go(func() {
			trial, refusal := n.admit(request)
			mutex.Lock()
			defer mutex.Unlock()
			if refusal == nil {
				admission := admission{n, request}
				admission.request.Trial = trial
				admitted = append(admitted, admission)
			}
		})
	}
	group.Wait()
	return admitted
}

// crashTrial crashes a server, with nothing beside, under a request that a node has admitted.
func (c *cluster) crashTrial(server string, admitted admission) {
	crashing := c.server(server)
	c.refuse(crashing)
	admitted.node.guard.AttemptBroken(context.Background(), admitted.request, crashing, time.Now())
}
