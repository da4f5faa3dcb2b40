package poison

import (
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// storeTimeout of a write.
	storeTimeout = time.Second
	// savePause between the tries of one node, and between the first tries of two nodes
	// in their order, so that mostly one of them writes.
	savePause = 500 * time.Millisecond
	// clockTolerance is how far the nodes' times of day may differ.
	clockTolerance = 5 * time.Second
)

// savedEntry is an entry in the store. Its times are those of day: holds last for
// minutes, so that clocks which differ by seconds do no harm.
type savedEntry struct {
	Times       int      `json:"times"`
	Servers     []string `json:"servers"`
	SinceMillis int64    `json:"since_ms"`
	UntilMillis int64    `json:"until_ms"`
}

// record keeps entries in the store, one key each, so that nodes know them that were
// not reached, or that start later. A key that is removed there releases its identity.
type record struct {
	guard *Guard

	mutex sync.Mutex
	// revisions of the keys that are known to be in the store.
	revisions map[Identity]int64
	// open writes: entries to save, and keys to remove.
	open map[Identity]*openWrite
}

type openWrite struct {
	entry   Entry
	remove  bool
	nextTry time.Time
	writing bool
}

func newRecord(guard *Guard) *record {
	return &record{guard: guard, revisions: map[Identity]int64{}, open: map[Identity]*openWrite{}}
}

func (r *record) key(identity Identity) string {
	return r.guard.config.EntriesPrefix + identity.Text()
}

// identityOf returns the identity that a key is about.
func (r *record) identityOf(key string) (identity Identity, is bool) {
	text, own := strings.CutPrefix(key, r.guard.config.EntriesPrefix)
	if !own {
		return identity, false
	}
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(identity) {
		r.guard.config.Logger.Error().Str("key", key).Msg("key of a refused request is not understood")
		return identity, false
	}
	return Identity(decoded), true
}

// wanted saves an entry, unless another node has. The collectors try first, in
// an order that depends on the identity.
func (r *record) wanted(entry Entry, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.revisions[entry.Identity] != 0 && entry.Times <= 1 {
		return
	}
	r.open[entry.Identity] = &openWrite{entry: entry, nextTry: now.Add(r.delay(entry.Identity))}
}

// delay of this node's first try, by its rank among the collectors.
func (r *record) delay(identity Identity) time.Duration {
	rank := 0
	own := rendezvous(r.guard.config.Address, identity)
	collectors := r.guard.config.Collectors()
	for _, address := range collectors {
		if address != r.guard.config.Address && rendezvous(address, identity) > own {
			rank++
		}
	}
	if !slices.Contains(collectors, r.guard.config.Address) {
		rank = len(collectors)
	}
	return time.Duration(rank) * savePause
}

// rendezvous is the weight of a node for an identity.
func rendezvous(address string, identity Identity) uint64 {
	return xxhash.Sum64String(address + " " + string(identity[:]))
}

// remove takes an entry out of the store, from the time on.
func (r *record) remove(identity Identity, from time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.open[identity] = &openWrite{entry: Entry{Identity: identity}, remove: true, nextTry: from}
}

// forget ends what was to be saved of an identity.
func (r *record) forget(identity Identity) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if write := r.open[identity]; write != nil && !write.remove {
		delete(r.open, identity)
	}
}

// tick makes the writes that are due.
func (r *record) tick(now time.Time) {
	r.mutex.Lock()
	var due []*openWrite
	for identity, write := range r.open {
		revision := r.revisions[identity]
		if write.remove && revision == 0 || !write.remove && !now.Before(write.entry.Until) {
			delete(r.open, identity)
			continue
		}
		if !write.writing && !now.Before(write.nextTry) {
			write.writing = true
			due = append(due, write)
		}
	}
	r.mutex.Unlock()
	for _, write := range due {
		r.write(write, now)
	}
}

func (r *record) write(write *openWrite, now time.Time) {
	identity := write.entry.Identity
	key := r.key(identity)
	operation := outside.Operation{Kind: outside.OperationDelete, Key: key}
	if !write.remove {
		operation = outside.Operation{Kind: outside.OperationPut, Key: key, Value: r.encode(write.entry, now)}
	}
	r.mutex.Lock()
	revision := r.revisions[identity]
	r.mutex.Unlock()
	r.guard.config.Store.Transact(outside.Transaction{
		Compares: []outside.Compare{{Key: key, ModRevision: revision}}, Operations: []outside.Operation{operation},
	}, storeTimeout, func(reply outside.TransactionResult, err error) { r.written(write, reply, err) })
}

func (r *record) encode(entry Entry, now time.Time) []byte {
	day := time.Now()
	value, err := json.Marshal(savedEntry{
		Times: entry.Times, Servers: entry.Servers,
		SinceMillis: day.Add(entry.Since.Sub(now)).UnixMilli(), UntilMillis: day.Add(entry.Until.Sub(now)).UnixMilli(),
	})
	if err != nil {
		r.guard.config.Logger.Error().Err(err).Msg("entry of a refused request is not written")
	}
	return value
}

// written notes how a write ended. One that met another revision has nothing to do, if
// another node saved the entry, or is made again with the revision that was found.
func (r *record) written(write *openWrite, reply outside.TransactionResult, err error) {
	identity := write.entry.Identity
	r.mutex.Lock()
	defer r.mutex.Unlock()
	write.writing, write.nextTry = false, time.Now().Add(savePause)
	if err != nil {
		r.guard.config.Logger.Warn().Err(err).Str("identity", identity.String()).Bool("remove", write.remove).Msg("refused request not saved yet")
		return
	}
	if reply.Succeeded {
		if write.remove {
			delete(r.revisions, identity)
		} else {
			r.revisions[identity] = max(r.revisions[identity], reply.Revision)
		}
		r.done(identity, write)
		return
	}
	delete(r.revisions, identity)
	for _, current := range reply.Current {
		r.revisions[identity] = current.ModRevision
	}
	if saved := r.revisions[identity] != 0; saved != write.remove {
		r.done(identity, write)
	}
}

// done must be called with the lock held.
func (r *record) done(identity Identity, write *openWrite) {
	if r.open[identity] == write {
		delete(r.open, identity)
	}
}
