package contract_test

import (
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	. "github.com/onsi/gomega"
)

// outcome collects the callbacks of one call.
type outcome[Result any] struct {
	mutex  sync.Mutex
	calls  int
	result Result
	err    error
}

func (o *outcome[Result]) done(result Result, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.calls++
	o.result, o.err = result, err
}

func (o *outcome[Result]) ended() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.calls > 0
}

// await makes a call and drives the binding to its end.
func await[Result any](h *keyValueHarness, call func(done func(Result, error))) (Result, error) {
	ended := &outcome[Result]{}
	call(ended.done)
	h.eventually(ended.ended)
	ended.mutex.Lock()
	defer ended.mutex.Unlock()
	Expect(ended.calls).To(Equal(1))
	return ended.result, ended.err
}

func awaitError(h *keyValueHarness, call func(done func(error))) error {
	_, err := await(h, func(done func(struct{}, error)) {
		call(func(err error) { done(struct{}{}, err) })
	})
	return err
}

func (h *keyValueHarness) transact(timeout time.Duration, transaction outside.Transaction) (outside.TransactionResult, error) {
	return await(h, func(done func(outside.TransactionResult, error)) { h.service.Transact(transaction, timeout, done) })
}

func (h *keyValueHarness) put(key, value string) int64 {
	result, err := h.transact(longTimeout, putting(key, value, 0))
	Expect(err).NotTo(HaveOccurred())
	Expect(result.Succeeded).To(BeTrue())
	return result.Revision
}

func (h *keyValueHarness) read(prefix string) outside.RangeResult {
	result, err := await(h, func(done func(outside.RangeResult, error)) { h.service.Range(prefix, longTimeout, done) })
	Expect(err).NotTo(HaveOccurred())
	return result
}

func (h *keyValueHarness) grant(timeToLive time.Duration) outside.LeaseID {
	lease, err := await(h, func(done func(outside.Lease, error)) { h.service.GrantLease(timeToLive, longTimeout, done) })
	Expect(err).NotTo(HaveOccurred())
	return lease.ID
}

func (h *keyValueHarness) keepAlive(lease outside.LeaseID) error {
	return awaitError(h, func(done func(error)) { h.service.KeepAlive(lease, longTimeout, done) })
}

func (h *keyValueHarness) revoke(lease outside.LeaseID) error {
	return awaitError(h, func(done func(error)) { h.service.RevokeLease(lease, longTimeout, done) })
}

func putting(key, value string, lease outside.LeaseID) outside.Transaction {
	put := outside.Operation{Kind: outside.OperationPut, Key: key, Value: []byte(value), Lease: lease}
	return outside.Transaction{Operations: []outside.Operation{put}}
}

func keysOf(keyValues []outside.KeyValue) []string {
	var keys []string
	for _, keyValue := range keyValues {
		keys = append(keys, keyValue.Key)
	}
	return keys
}

// watcher collects what a watch delivers.
type watcher struct {
	mutex     sync.Mutex
	revisions []int64
	// changes as "key=value", or "key deleted".
	changes []string
	lost    []error
}

func (w *watcher) Events(revision int64, events []outside.WatchEvent) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.revisions = append(w.revisions, revision)
	for _, event := range events {
		change := event.KeyValue.Key + "=" + string(event.KeyValue.Value)
		if event.Deleted {
			change = event.KeyValue.Key + " deleted"
		}
		w.changes = append(w.changes, change)
	}
}

func (w *watcher) Lost(err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lost = append(w.lost, err)
}

func (w *watcher) seen() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]string(nil), w.changes...)
}

func (w *watcher) losses() []error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]error(nil), w.lost...)
}

func (w *watcher) isLost() bool { return len(w.losses()) > 0 }
