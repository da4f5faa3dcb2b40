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
	store.Replace([]outside.KeyValue{{Key: "k", Value: []byte(`{"Token":1,"Version":1,"Addresses":["a"]}`)}, {Key: "other"}})
	store.Restored(nil)
	g.Expect(none).To(BeZero())
	store.Replace([]outside.KeyValue{{Key: "other"}})
	g.Expect(none).To(Equal(1))
}
