package keyvalue_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

func TestKeyValue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Key-value stand-in")
}

const timeout = time.Second

// world is a store and its network in virtual time.
type world struct {
	loop    *simulation.Loop
	network *simulation.Network
	server  *simulation.Process
	store   *keyvalue.Store
}

func newWorld(seed uint64) *world {
	loop := simulation.NewLoop(seed)
	server := simulation.NewProcess(loop, "kv")
	store := keyvalue.NewStore(keyvalue.Options{
		Clock:          server,
		Random:         loop.Fork(),
		RecordPrefixes: []string{"key/"},
	})
	return &world{loop: loop, network: simulation.NewNetwork(loop), server: server, store: store}
}

func (w *world) client(name string) (*simulation.Process, *keyvalue.Simulated) {
	process := simulation.NewProcess(w.loop, name)
	return process, keyvalue.NewSimulated(w.network, w.server, process, w.store)
}

func put(key, value string) outside.Transaction {
	operation := outside.Operation{Kind: outside.OperationPut, Key: key, Value: []byte(value)}
	return outside.Transaction{Operations: []outside.Operation{operation}}
}

// write puts a key directly into the store.
func (w *world) write(key, value string) {
	_, err := w.store.Transact(put(key, value))
	Expect(err).NotTo(HaveOccurred())
}

// watcher collects what a watch delivers.
type watcher struct {
	revisions []int64
	lost      []error
	lostAt    time.Time
	loop      *simulation.Loop
}

func (w *watcher) Events(revision int64, _ []outside.WatchEvent) {
	w.revisions = append(w.revisions, revision)
}

func (w *watcher) Lost(err error) {
	w.lost = append(w.lost, err)
	w.lostAt = w.loop.Now()
}
