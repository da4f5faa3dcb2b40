package mirror

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// fakeStore is the store that all nodes of a test read.
type fakeStore struct {
	mutex    sync.Mutex
	revision int64
	servers  map[string]*fleet.Server
	// rejected are the servers whose records can't be used; servers has their last ones that could.
	rejected      map[string]*fleet.Server
	configuration *fleet.Configuration
	configuredAt  int64
	history       []fakeChange
	// own keys, and the parts of the records snapshot.
	own      map[string]outside.WatchEvent
	snapshot []SnapshotPart
	// staleReads makes stale reads return the snapshot before the last one.
	staleReads       bool
	previousSnapshot []SnapshotPart
	// compacted is the revision up to which changes are not kept.
	compacted int64
	changed   chan struct{}
}

type fakeChange struct {
	revision      int64
	server        string
	record        *fleet.Server
	configuration *fleet.Configuration
	configured    bool
	rejected      bool
	own           *outside.WatchEvent
}

func newFakeStore() *fakeStore {
	return &fakeStore{servers: map[string]*fleet.Server{}, rejected: map[string]*fleet.Server{}, own: map[string]outside.WatchEvent{}, changed: make(chan struct{})}
}

func (s *fakeStore) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.servers)
}

func (s *fakeStore) add(change fakeChange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	change.revision = s.revision
	switch {
	case change.configured:
		s.configuredAt = s.revision
		if change.configuration != nil {
			s.configuration = fleet.NewConfiguration(s.revision, s.revision, nil, nil, fleet.Limits{})
			change.configuration = s.configuration
		}
	case change.own != nil:
		change.own.KeyValue.ModRevision = s.revision
		s.own[change.own.KeyValue.Key] = *change.own
	case change.rejected:
		change.record = &fleet.Server{ID: change.server, Created: s.revision}
		if before := cmp.Or(s.servers[change.server], s.rejected[change.server]); before != nil {
			change.record.Created = before.Created
		}
		s.rejected[change.server] = change.record
	case change.record == nil:
		delete(s.servers, change.server)
		delete(s.rejected, change.server)
	default:
		delete(s.rejected, change.server)
		change.record.Created = s.revision
		if before := s.servers[change.server]; before != nil {
			change.record.Created = before.Created
		}
		s.servers[change.server] = change.record
	}
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// configure writes a configuration that can be decoded, or one that can't.
func (s *fakeStore) configure(valid bool) {
	change := fakeChange{configured: true}
	if valid {
		change.configuration = &fleet.Configuration{}
	}
	s.add(change)
}

func (s *fakeStore) put(id string, draining bool, models ...string) {
	held := map[string]fleet.LoadedModel{}
	for _, model := range models {
		held[model] = fleet.LoadedModel{Adapters: map[string]bool{}}
	}
	s.add(fakeChange{server: id, record: &fleet.Server{ID: id, Pool: "p", Draining: draining, Models: held}})
}

// spoil replaces a server's record by one that can't be used.
func (s *fakeStore) spoil(id string) { s.add(fakeChange{server: id, rejected: true}) }

func (s *fakeStore) remove(id string) { s.add(fakeChange{server: id}) }

// recreate writes an expired record again.
func (s *fakeStore) recreate(record *fleet.Server) {
	copied := *record
	s.add(fakeChange{server: record.ID, record: &copied})
}

func (s *fakeStore) putOwn(key, value string) {
	s.add(fakeChange{own: &outside.WatchEvent{KeyValue: outside.KeyValue{Key: key, Value: []byte(value)}}})
}

func (s *fakeStore) compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted, s.history = s.revision, nil
}

// since returns the changes after the revision, up to a number of them; zero: all. It must be called
// with the lock held.
func (s *fakeStore) since(revision int64, limit int) Changes {
	changes := Changes{Base: revision, At: s.revision, Servers: map[string]*fleet.Server{}, Rejected: map[string]*fleet.Server{}}
	found := 0
	for _, change := range s.history {
		if change.revision <= revision {
			continue
		}
		if found++; limit > 0 && found > limit {
			changes.At, changes.More = change.revision-1, true
			break
		}
		switch {
		case change.configured:
			changes.ConfigurationRevision, changes.ConfigurationValue = change.revision, []byte(invalidValue)
			changes.Configuration = change.configuration
			if change.configuration != nil {
				changes.ConfigurationValue = []byte(validValue)
			}
		case change.own != nil:
			changes.Own = append(changes.Own, *change.own)
		case change.rejected:
			if _, changed := changes.Servers[change.server]; !changed {
				changes.Rejected[change.server] = change.record
			}
		default:
			changes.Servers[change.server] = change.record
			delete(changes.Rejected, change.server)
		}
	}
	return changes
}

// fakeSource is one node's connection to the store.
type fakeSource struct {
	store *fakeStore
	mutex sync.Mutex
	// unavailable makes calls fail; unresponsive leaves them without an answer.
	unavailable, unresponsive bool
	// maxChanges is how many changes a watch returns at most; zero: any number.
	maxChanges int
	// stalled makes watches deliver no changes.
	stalled bool
	// readTime is how long a read of the whole state takes.
	readTime time.Duration
	// snapshotTime is how long a read of the whole snapshot takes.
	snapshotTime time.Duration
	// calls counts the calls by name.
	calls map[string]int
}

var errUnavailable = errors.New("the store is unavailable")

func (s *fakeSource) call(ctx context.Context, name string) error {
	s.mutex.Lock()
	s.calls[name]++
	unavailable, unresponsive := s.unavailable, s.unresponsive
	s.mutex.Unlock()
	if unresponsive {
		select {
		case <-ctx.Done():
		case <-time.After(3 * time.Second):
		}
		return errUnavailable
	}
	time.Sleep(4 * time.Millisecond)
	if unavailable {
		return errUnavailable
	}
	return ctx.Err()
}

func (s *fakeSource) setFault(unavailable, unresponsive bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unavailable, s.unresponsive = unavailable, unresponsive
}

func (s *fakeSource) isStalled() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stalled
}

func (s *fakeSource) setStalled(stalled bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stalled = stalled
}

// counts returns the number of calls by name.
func (s *fakeSource) counts() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.calls)
}

func (s *fakeSource) count(name string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[name]
}

// validValue and invalidValue are values of configurations that can be decoded and that can't.
const validValue, invalidValue = "understood", "other"

func (s *fakeSource) Decode(value []byte, revision int64) *fleet.Configuration {
	s.mutex.Lock()
	s.calls["decode"]++
	s.mutex.Unlock()
	if string(value) != validValue {
		return nil
	}
	return fleet.NewConfiguration(revision, revision, nil, nil, fleet.Limits{})
}

func (s *fakeSource) Own(ctx context.Context) (Changes, error) {
	if err := s.call(ctx, "own"); err != nil {
		return Changes{}, err
	}
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	changes := Changes{At: s.store.revision}
	for _, event := range s.store.own {
		changes.Own = append(changes.Own, event)
	}
	return changes, nil
}

func (s *fakeSource) ReadSnapshot(ctx context.Context, prefix string, stale bool) ([]SnapshotPart, error) {
	call := map[bool]string{false: "copy", true: "stale copy"}[stale]
	if prefix != "" {
		call = "zone's " + call
	} else {
		time.Sleep(s.snapshotTime)
	}
	if err := s.call(ctx, call); err != nil {
		return nil, err
	}
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	parts := s.store.snapshot
	if stale && s.store.staleReads {
		parts = s.store.previousSnapshot
	}
	return slices.DeleteFunc(slices.Clone(parts), func(part SnapshotPart) bool { return !strings.HasPrefix(part.Name, prefix) }), nil
}

func (s *fakeSource) WriteSnapshot(ctx context.Context, parts []SnapshotPart, _ []string, entry outside.KeyValue, revision int64) error {
	if err := s.call(ctx, "write"); err != nil {
		return err
	}
	s.store.mutex.Lock()
	if s.store.own[entry.Key].KeyValue.ModRevision != revision {
		s.store.mutex.Unlock()
		return errors.New("another node wrote the entry first")
	}
	s.store.previousSnapshot, s.store.snapshot = s.store.snapshot, parts
	s.store.mutex.Unlock()
	s.store.putOwn(entry.Key, string(entry.Value))
	return nil
}

func (s *fakeSource) Read(ctx context.Context, whole bool) (Changes, error) {
	if err := s.call(ctx, "read"); err != nil {
		return Changes{}, err
	}
	if !whole && s.store.count() > maxDirectServers {
		revision, changes := s.page(func(string) bool { return false })
		changes.At, changes.Newest, changes.More = revision, revision, true
		return changes, nil
	}
	first, changes := s.page(func(id string) bool { return id < "u" })
	time.Sleep(pagePause + s.readTime)
	newest, second := s.page(func(id string) bool { return id >= "u" })
	maps.Copy(changes.Servers, second.Servers)
	maps.Copy(changes.Rejected, second.Rejected)
	changes.At, changes.Newest = first, newest
	return changes, nil
}

// pagePause is the time between the two pages of a read of the whole state, which is therefore not
// consistent at one revision.
const pagePause = 20 * time.Millisecond

// page returns the store's revision, the configuration and the wanted servers.
func (s *fakeSource) page(wanted func(id string) bool) (int64, Changes) {
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	changes := Changes{
		Servers: map[string]*fleet.Server{}, Rejected: map[string]*fleet.Server{}, Configuration: s.store.configuration, ConfigurationRevision: s.store.configuredAt,
	}
	for id, record := range s.store.rejected {
		if wanted(id) {
			changes.Rejected[id] = record
		}
	}
	for id, server := range s.store.servers {
		if wanted(id) && s.store.rejected[id] == nil {
			changes.Servers[id] = server
		}
	}
	return s.store.revision, changes
}

func (s *fakeSource) Changes(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	if err := s.call(ctx, "changes"); err != nil {
		return Changes{}, err
	}
	return s.await(ctx, after, wait)
}

// await returns the changes after the revision, or none when the wait is over.
func (s *fakeSource) await(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.store.mutex.Lock()
		compacted, changes, changed := s.store.compacted, s.store.since(after, s.maxChanges), s.store.changed
		s.store.mutex.Unlock()
		if after < compacted {
			return Changes{}, ErrCompacted
		}
		if s.isStalled() {
			changes, changed = Changes{Base: after, At: after}, nil
		}
		if changes.At > after {
			return changes, nil
		}
		select {
		case <-ctx.Done():
			return Changes{}, ctx.Err()
		case <-timer.C:
			return changes, nil
		case <-changed:
		}
	}
}

func (s *fakeSource) OwnChanges(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	if err := s.call(ctx, "own changes"); err != nil {
		return Changes{}, err
	}
	return s.awaitPart(ctx, after, wait, func(changes *Changes) bool {
		changes.Servers, changes.Configuration, changes.ConfigurationRevision = nil, nil, 0
		return len(changes.Own) > 0
	})
}

func (s *fakeSource) ConfigurationChanges(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	if err := s.call(ctx, "configuration changes"); err != nil {
		return Changes{}, err
	}
	return s.awaitPart(ctx, after, wait, func(changes *Changes) bool {
		changes.Servers, changes.Own = nil, nil
		return changes.ConfigurationRevision > 0
	})
}

// awaitPart is like await for a part of the changes. selectPart removes the others, and reports whether
// any are left.
func (s *fakeSource) awaitPart(ctx context.Context, after int64, wait time.Duration, selectPart func(*Changes) bool) (Changes, error) {
	deadline := time.Now().Add(wait)
	for {
		changes, err := s.await(ctx, after, time.Until(deadline))
		if found := selectPart(&changes); err != nil || found || !time.Now().Before(deadline) {
			return changes, err
		}
		after = changes.At
	}
}

func (s *fakeSource) Record(ctx context.Context, id string) (Changes, error) {
	if err := s.call(ctx, "record"); err != nil {
		return Changes{}, err
	}
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	if record := s.store.rejected[id]; record != nil {
		return Changes{At: s.store.revision, Rejected: map[string]*fleet.Server{id: record}}, ErrRejected
	}
	return Changes{At: s.store.revision, Servers: map[string]*fleet.Server{id: s.store.servers[id]}}, nil
}

func (s *fakeSource) Configuration(ctx context.Context) (Changes, error) {
	if err := s.call(ctx, "configuration"); err != nil {
		return Changes{}, err
	}
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	return Changes{
		At: s.store.revision, Configuration: s.store.configuration, ConfigurationRevision: s.store.configuredAt,
		ConfigurationValue: []byte(validValue),
	}, nil
}

// fakeNetwork connects the nodes of a test.
type fakeNetwork struct {
	mutex sync.Mutex
	nodes map[string]*fakeTransport
	// partitioned nodes neither send nor receive; dropUpdates is how many of the next updates are
	// dropped.
	partitioned map[string]bool
	dropUpdates int
	// sent counts the messages by type.
	sent    map[string]int
	updates []Update
	// latency of each message; linkLatency, if it is set, that of each message and reply on a link.
	latency     time.Duration
	linkLatency func(from, to string) time.Duration
}

type fakeTransport struct {
	network  *fakeNetwork
	address  string
	handlers map[reflect.Type]peer.Handler
}

func (t *fakeTransport) Handle(prototype peer.Message, handler peer.Handler) {
	t.handlers[reflect.TypeOf(prototype)] = handler
}

func (t *fakeTransport) Send(address string, message peer.Message) {
	t.Call(address, message, time.Second, func(peer.Message, error) {})
}

func (t *fakeTransport) Call(address string, message peer.Message, timeout time.Duration, done func(peer.Message, error)) {
	target := t.network.route(t.address, address, message)
	go func() {
		if target == nil {
			time.Sleep(timeout)
			done(nil, peer.ErrUnreachable)
			return
		}
		if t.network.linkLatency == nil {
			time.Sleep(t.network.latency)
			target.handlers[reflect.TypeOf(message)](t.address, message, done)
			return
		}
		time.Sleep(t.network.linkLatency(t.address, address))
		target.handlers[reflect.TypeOf(message)](t.address, message, func(reply peer.Message, err error) {
			time.Sleep(t.network.linkLatency(address, t.address))
			done(reply, err)
		})
	}()
}

// add returns the transport of another node.
func (n *fakeNetwork) add(address string) *fakeTransport {
	transport := &fakeTransport{network: n, address: address, handlers: map[reflect.Type]peer.Handler{}}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.nodes[address] = transport
	return transport
}

// route returns the receiver of a message, or nil if it is dropped.
func (n *fakeNetwork) route(from, to string, message peer.Message) *fakeTransport {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.sent[reflect.TypeOf(message).Name()]++
	update, isUpdate := message.(Update)
	if isUpdate {
		n.updates = append(n.updates, update)
	}
	if n.partitioned[from] || n.partitioned[to] {
		return nil
	}
	if isUpdate && n.dropUpdates > 0 {
		n.dropUpdates--
		return nil
	}
	return n.nodes[to]
}

func (n *fakeNetwork) setPartitioned(address string, partitioned bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partitioned[address] = partitioned
}

// fakeOwn records the values of the own keys.
type fakeOwn struct {
	mutex  sync.Mutex
	values map[string]string
}

func (o *fakeOwn) Replace(keyValues []outside.KeyValue) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, keyValue := range keyValues {
		o.values[keyValue.Key] = string(keyValue.Value)
	}
}

func (o *fakeOwn) Restored(keyValues []outside.KeyValue) { o.Replace(keyValues) }

func (o *fakeOwn) Change(event outside.WatchEvent) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.values[event.KeyValue.Key] = string(event.KeyValue.Value)
}

func (o *fakeOwn) get(key string) string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.values[key]
}

// testNode is a node of a test with its fakes.
type testNode struct {
	mirror *Mirror
	view   *fleet.View
	source *fakeSource
	own    *fakeOwn
	stop   context.CancelFunc
}

// revision returns the revision of the configuration in force.
func (n *testNode) revision() int64 {
	if configuration := n.view.Load().Configuration; configuration != nil {
		return configuration.Revision
	}
	return 0
}

// testSnapshotKey holds the manifest of the records snapshot.
const testSnapshotKey = "own/records"

// deployment is a store with nodes, all of which use the first one as relay.
type deployment struct {
	store   *fakeStore
	network *fakeNetwork
	nodes   []*testNode

	mutex sync.Mutex
	relay string
}

var testTimes = Times{Contact: 3 * time.Second, Changes: 2 * time.Second, Heartbeat: 1200 * time.Millisecond}

func addressOf(number int) string { return string(rune('a'+number)) + ":1" }

func newDeployment(nodes int) *deployment {
	d := &deployment{
		store: newFakeStore(), relay: addressOf(0),
		network: &fakeNetwork{nodes: map[string]*fakeTransport{}, partitioned: map[string]bool{}, sent: map[string]int{}, latency: time.Millisecond},
	}
	d.store.configure(true)
	d.store.put("s", false, "m")
	for number := range nodes {
		d.nodes = append(d.nodes, d.addNode(addressOf(number)))
	}
	return d
}

func (d *deployment) addNode(address string) *testNode {
	return d.addNodeWith(address, func(*testNode) {})
}

// addNodeWith adds a node that is modified before it starts.
func (d *deployment) addNodeWith(address string, change func(n *testNode)) *testNode {
	transport := d.network.add(address)
	n := &testNode{
		view: fleet.NewView(), source: &fakeSource{store: d.store, calls: map[string]int{}}, own: &fakeOwn{values: map[string]string{}},
	}
	n.mirror = New(Config{
		Source: n.source, View: n.view, Own: n.own, Times: testTimes, Transport: transport, Address: address, Logger: zerolog.Nop(),
		Relay: func() string {
			d.mutex.Lock()
			defer d.mutex.Unlock()
			if d.relay == address {
				return ""
			}
			return d.relay
		},
		IsRelay: func() bool {
			d.mutex.Lock()
			defer d.mutex.Unlock()
			return d.relay == address
		},
		SnapshotKey: testSnapshotKey,
	})
	change(n)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go n.mirror.Run(ctx)
	return n
}

func (d *deployment) setRelay(number int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.relay = addressOf(number)
}

func (d *deployment) close() {
	for _, node := range d.nodes {
		node.stop()
	}
	time.Sleep(time.Minute)
}
