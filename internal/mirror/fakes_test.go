package mirror

import (
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

// fakeStore is what all nodes of a test read.
type fakeStore struct {
	mutex         sync.Mutex
	revision      int64
	servers       map[string]*fleet.Server
	configuration *fleet.Configuration
	configuredAt  int64
	history       []fakeChange
	// own keys, and the copy of the records.
	own    map[string]outside.WatchEvent
	copied []SnapshotPart
	// behind: stale reads get the copy before the last one.
	behind       bool
	copiedBefore []SnapshotPart
	// forgotten: changes up to this revision are not kept.
	forgotten int64
	changed   chan struct{}
}

type fakeChange struct {
	revision      int64
	server        string
	record        *fleet.Server
	configuration *fleet.Configuration
	configured    bool
	own           *outside.WatchEvent
}

func newFakeStore() *fakeStore {
	return &fakeStore{servers: map[string]*fleet.Server{}, own: map[string]outside.WatchEvent{}, changed: make(chan struct{})}
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
	case change.record == nil:
		delete(s.servers, change.server)
	default:
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

// configure writes a configuration, understood or not.
func (s *fakeStore) configure(understood bool) {
	change := fakeChange{configured: true}
	if understood {
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

func (s *fakeStore) remove(id string) { s.add(fakeChange{server: id}) }

// restore writes a record that lapsed once more.
func (s *fakeStore) restore(record *fleet.Server) {
	again := *record
	s.add(fakeChange{server: record.ID, record: &again})
}

func (s *fakeStore) putOwn(key, value string) {
	s.add(fakeChange{own: &outside.WatchEvent{KeyValue: outside.KeyValue{Key: key, Value: []byte(value)}}})
}

func (s *fakeStore) forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forgotten, s.history = s.revision, nil
}

// since must be called with the lock held.
func (s *fakeStore) since(revision int64) Changes {
	changes := Changes{Base: revision, At: s.revision, Servers: map[string]*fleet.Server{}}
	for _, change := range s.history {
		if change.revision <= revision {
			continue
		}
		switch {
		case change.configured:
			changes.ConfigurationRevision, changes.ConfigurationValue = change.revision, []byte(otherValue)
			changes.Configuration = change.configuration
			if change.configuration != nil {
				changes.ConfigurationValue = []byte(understoodValue)
			}
		case change.own != nil:
			changes.Own = append(changes.Own, *change.own)
		default:
			changes.Servers[change.server] = change.record
		}
	}
	return changes
}

// fakeSource is one node's way to the store.
type fakeSource struct {
	store *fakeStore
	mutex sync.Mutex
	// away: calls fail; silent: they are not answered.
	away, silent bool
	// mute: watches hear nothing of what changes.
	mute bool
	// wholeTime is how long a read of everything takes.
	wholeTime time.Duration
	// copyTime is how long a read of the whole copy takes.
	copyTime time.Duration
	// calls by name.
	calls map[string]int
}

var errAway = errors.New("the store is away")

func (s *fakeSource) call(ctx context.Context, name string) error {
	s.mutex.Lock()
	s.calls[name]++
	away, silent := s.away, s.silent
	s.mutex.Unlock()
	if silent {
		select {
		case <-ctx.Done():
		case <-time.After(3 * time.Second):
		}
		return errAway
	}
	time.Sleep(4 * time.Millisecond)
	if away {
		return errAway
	}
	return ctx.Err()
}

func (s *fakeSource) set(away, silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away, s.silent = away, silent
}

func (s *fakeSource) isMute() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.mute
}

func (s *fakeSource) setMute(mute bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mute = mute
}

// all returns the numbers of calls by name.
func (s *fakeSource) all() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.calls)
}

func (s *fakeSource) count(name string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[name]
}

// understoodValue and others are the values of configurations.
const understoodValue, otherValue = "understood", "other"

func (s *fakeSource) Decode(value []byte, revision int64) *fleet.Configuration {
	s.mutex.Lock()
	s.calls["decode"]++
	s.mutex.Unlock()
	if string(value) != understoodValue {
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
		time.Sleep(s.copyTime)
	}
	if err := s.call(ctx, call); err != nil {
		return nil, err
	}
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	parts := s.store.copied
	if stale && s.store.behind {
		parts = s.store.copiedBefore
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
		return errors.New("another was first")
	}
	s.store.copiedBefore, s.store.copied = s.store.copied, parts
	s.store.mutex.Unlock()
	s.store.putOwn(entry.Key, string(entry.Value))
	return nil
}

func (s *fakeSource) Read(ctx context.Context, whole bool) (Changes, error) {
	if err := s.call(ctx, "read"); err != nil {
		return Changes{}, err
	}
	if !whole && s.store.count() > onePage {
		revision, changes := s.page(func(string) bool { return false })
		changes.At, changes.Newest, changes.More = revision, revision, true
		return changes, nil
	}
	first, changes := s.page(func(id string) bool { return id < "u" })
	time.Sleep(pagePause + s.wholeTime)
	newest, second := s.page(func(id string) bool { return id >= "u" })
	maps.Copy(changes.Servers, second.Servers)
	changes.At, changes.Newest = first, newest
	return changes, nil
}

// pagePause is the time between the two pages of a read of everything, which is
// therefore no snapshot.
const pagePause = 20 * time.Millisecond

// page reads the configuration and the servers that are wanted, and the revision.
func (s *fakeSource) page(wanted func(id string) bool) (int64, Changes) {
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	changes := Changes{
		Servers: map[string]*fleet.Server{}, Configuration: s.store.configuration, ConfigurationRevision: s.store.configuredAt,
	}
	for id, server := range s.store.servers {
		if wanted(id) {
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

// await returns what changed, or nothing when the wait is over.
func (s *fakeSource) await(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.store.mutex.Lock()
		forgotten, changes, changed := s.store.forgotten, s.store.since(after), s.store.changed
		s.store.mutex.Unlock()
		if after < forgotten {
			return Changes{}, ErrCompacted
		}
		if s.isMute() {
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
	deadline := time.Now().Add(wait)
	for {
		changes, err := s.await(ctx, after, time.Until(deadline))
		changes.Servers, changes.Configuration, changes.ConfigurationRevision = nil, nil, 0
		if err != nil || len(changes.Own) > 0 || !time.Now().Before(deadline) {
			return changes, err
		}
		after = changes.At
	}
}

func (s *fakeSource) Configuration(ctx context.Context) (Changes, error) {
	if err := s.call(ctx, "configuration"); err != nil {
		return Changes{}, err
	}
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	return Changes{
		At: s.store.revision, Configuration: s.store.configuration, ConfigurationRevision: s.store.configuredAt,
		ConfigurationValue: []byte(understoodValue),
	}, nil
}

// fakeNetwork connects the nodes of a test.
type fakeNetwork struct {
	mutex sync.Mutex
	nodes map[string]*fakeTransport
	// cut nodes neither send nor receive; lose drops the next so many updates.
	cut  map[string]bool
	lose int
	// sent messages by type.
	sent    map[string]int
	updates []Update
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
	target := t.network.pass(t.address, address, message)
	go func() {
		if target == nil {
			time.Sleep(timeout)
			done(nil, peer.ErrUnreachable)
			return
		}
		time.Sleep(time.Millisecond)
		target.handlers[reflect.TypeOf(message)](t.address, message, done)
	}()
}

// pass returns the receiver of a message, or nil if it is lost.
func (n *fakeNetwork) pass(from, to string, message peer.Message) *fakeTransport {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.sent[reflect.TypeOf(message).Name()]++
	update, isUpdate := message.(Update)
	if isUpdate {
		n.updates = append(n.updates, update)
	}
	if n.cut[from] || n.cut[to] {
		return nil
	}
	if isUpdate && n.lose > 0 {
		n.lose--
		return nil
	}
	return n.nodes[to]
}

func (n *fakeNetwork) setCut(address string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[address] = cut
}

// fakeOwn keeps the product's own keys.
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

// testNode is a node of a test.
type testNode struct {
	mirror *Mirror
	view   *fleet.View
	source *fakeSource
	own    *fakeOwn
	stop   context.CancelFunc
}

// revision of the configuration in force.
func (n *testNode) revision() int64 {
	if configuration := n.view.Load().Configuration; configuration != nil {
		return configuration.Revision
	}
	return 0
}

// testCopyKey tells of the copied records.
const testCopyKey = "own/records"

// deployment is a store with nodes; the first one is everybody's relay.
type deployment struct {
	store   *fakeStore
	network *fakeNetwork
	nodes   []*testNode

	mutex sync.Mutex
	relay string
}

var testTimes = Times{Contact: 3 * time.Second, Changes: 2 * time.Second}

func addressOf(number int) string { return string(rune('a'+number)) + ":1" }

func newDeployment(nodes int) *deployment {
	d := &deployment{
		store: newFakeStore(), relay: addressOf(0),
		network: &fakeNetwork{nodes: map[string]*fakeTransport{}, cut: map[string]bool{}, sent: map[string]int{}},
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

// addNodeWith adds a node that is changed before it starts.
func (d *deployment) addNodeWith(address string, change func(n *testNode)) *testNode {
	transport := &fakeTransport{network: d.network, address: address, handlers: map[reflect.Type]peer.Handler{}}
	d.network.mutex.Lock()
	d.network.nodes[address] = transport
	d.network.mutex.Unlock()
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
		SnapshotKey: testCopyKey,
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
