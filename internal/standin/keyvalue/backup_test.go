package keyvalue_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

var _ = Describe("A restore from a backup", func() {
	put := func(store *keyvalue.Store, key string, lease outside.LeaseID) int64 {
		result, err := store.Transact(outside.Transaction{Operations: []outside.Operation{{Key: key, Value: []byte(key), Lease: lease}}})
		Expect(err).NotTo(HaveOccurred())
		return result.Revision
	}

	It("loses what was acknowledged since, and gives revisions and leases out again", func() {
		store := newWorld(1).store
		kept, err := store.GrantLease(time.Second)
		Expect(err).NotTo(HaveOccurred())
		put(store, "kept", kept)
		backup := store.Backup()
		lost, err := store.GrantLease(time.Second)
		Expect(err).NotTo(HaveOccurred())
		revision := put(store, "lost", lost)
		var ended []error
		_, err = store.Watch("", revision, func(message keyvalue.WatchMessage) bool {
			ended = append(ended, message.Err)
			return true
		})
		Expect(err).NotTo(HaveOccurred())

		store.Restore(backup)
		Expect(store.Era()).To(Equal(int64(1)))
		Expect(ended).To(HaveLen(2))
		Expect(ended[1]).To(HaveOccurred())
		found := store.Range("")
		Expect(found.KeyValues).To(HaveLen(1))
		Expect(found.KeyValues[0].Key).To(Equal("kept"))
		_, err = store.KeepAlive(kept)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.KeepAlive(lost)
		Expect(err).To(HaveOccurred())
		again, err := store.GrantLease(time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(lost))
		Expect(put(store, "other", 0)).To(Equal(revision))
	})

	It("lets the leases of the backup run out anew", func() {
		world := newWorld(1)
		lease, err := world.store.GrantLease(time.Second)
		Expect(err).NotTo(HaveOccurred())
		put(world.store, "kept", lease)
		world.store.Restore(world.store.Backup())
		world.loop.RunFor(900 * time.Millisecond)
		Expect(world.store.Range("").KeyValues).To(HaveLen(1))
		world.loop.RunFor(200 * time.Millisecond)
		Expect(world.store.Range("").KeyValues).To(BeEmpty())
	})
})
