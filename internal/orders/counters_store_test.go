package orders_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/orders"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

// Guards against a node that takes itself for one of the first counter nodes, since another key was
// read or the store lost the record in a restore.
func TestNoCountersOnlyWhereTheStoreHasNone(t *testing.T) {
	g := NewWithT(t)
	none := 0
	store := &orders.CountersStore{
		Key: "k", OnChange: func(ratelimit.Counters) {}, OnNone: func() { none++ }, Logger: zerolog.Nop(),
	}
	store.Replace([]outside.KeyValue{{Key: "k", ModRevision: 2, Value: []byte(`{"Token":1,"Version":1,"Addresses":["a"]}`)}, {Key: "other"}})
	store.Restored(nil)
	g.Expect(none).To(BeZero())
	store.Replace([]outside.KeyValue{{Key: "other"}})
	g.Expect(none).To(Equal(1))
}

// A record of another writer with a token that no holder can have outranked the lists of all later
// holders, with counter nodes that do not exist.
func TestCountersOfAnImpossibleTokenAreIgnored(t *testing.T) {
	record := func(revision int64, value string) outside.KeyValue {
		return outside.KeyValue{Key: "k", ModRevision: revision, Value: []byte(value)}
	}
	for name, odd := range map[string]outside.KeyValue{
		"far beyond every revision":      record(30, `{"Token":4611686018427387904,"Version":1,"Addresses":["x:1"],"Nodes":7}`),
		"of the record's own revision":   record(30, `{"Token":30,"Version":1,"Addresses":["x:1"],"Nodes":7}`),
		"later than the holder's":        record(30, `{"Token":21,"Version":1,"Addresses":["x:1"],"Nodes":7}`),
		"with a version beyond a term's": record(30, `{"Token":20,"Version":18446744073709551615,"Addresses":["x:1"],"Nodes":7}`),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var lists [][]string
			store := &orders.CountersStore{
				Key: "k", Logger: zerolog.Nop(), OnChange: func(counters ratelimit.Counters) { lists = append(lists, counters.Addresses) },
				Holder: func() (orders.HolderRecord, bool) { return orders.HolderRecord{Revision: 20}, true },
			}
			good := record(31, `{"Token":20,"Version":1,"Addresses":["a:1"],"Nodes":3}`)
			store.Change(outside.WatchEvent{KeyValue: odd})
			g.Expect(lists).To(BeEmpty())
			g.Expect(store.Nodes()).To(BeZero())
			store.Change(outside.WatchEvent{KeyValue: good})
			g.Expect(lists).To(Equal([][]string{{"a:1"}}))
			g.Expect(store.Nodes()).To(Equal(3))
		})
	}
}
