package keyvalue_test

import (
	"fmt"
	"testing"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// BenchmarkSimulatedSwap is one compare-and-swap in virtual time, with 100
// watches of other keys.
func BenchmarkSimulatedSwap(b *testing.B) {
	world := newWorld(1)
	_, service := world.client("client")
	for number := range 100 {
		service.Watch(fmt.Sprint("other/", number), 0, &watcher{loop: world.loop})
	}
	revision := int64(0)
	b.ReportAllocs()
	for b.Loop() {
		transaction := put("key/a", "value")
		transaction.Compares = []outside.Compare{{Key: "key/a", ModRevision: revision}}
		ended := false
		service.Transact(transaction, timeout, func(result outside.TransactionResult, err error) {
			if err != nil || !result.Succeeded {
				b.Fatal(result, err)
			}
			revision, ended = result.Revision, true
		})
		for !ended && world.loop.Step() {
		}
	}
}
