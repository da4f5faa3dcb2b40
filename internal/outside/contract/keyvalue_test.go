package contract_test

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("KeyValueService", func() {
	for name, open := range keyValueBindings {
		Describe(name, func() {
			var h *keyValueHarness
			BeforeEach(func() { h = open() })
			describeTransactions(func() *keyValueHarness { return h })
			describeByteKeys(func() *keyValueHarness { return h })
			describeLeases(func() *keyValueHarness { return h })
			describeWatches(func() *keyValueHarness { return h })
			describeFaults(func() *keyValueHarness { return h })
			describeWatchFaults(func() *keyValueHarness { return h })
		})
	}
	Describe("the platform's store", func() {
		var h *keyValueHarness
		BeforeEach(func() { h = openPlatformStore() })
		describeTransactions(func() *keyValueHarness { return h })
		describeTextKeys(func() *keyValueHarness { return h })
		describeLeases(func() *keyValueHarness { return h })
		describeFaults(func() *keyValueHarness { return h })
	})
})

func describeTransactions(harness func() *keyValueHarness) {
	It("creates a key once and tells the loser what stands there", func() {
		h := harness()
		create := putting("a/1", "first", 0)
		create.Compares = []outside.Compare{{Key: "a/1"}}
		created, err := h.transact(longTimeout, create)
		Expect(err).NotTo(HaveOccurred())
		Expect(created.Succeeded).To(BeTrue())

		create.Operations[0].Value = []byte("second")
		again, err := h.transact(longTimeout, create)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Succeeded).To(BeFalse())
		Expect(again.Revision).To(Equal(created.Revision))
		Expect(again.Current).To(Equal([]outside.KeyValue{{Key: "a/1", Value: []byte("first"), CreateRevision: created.Revision, ModRevision: created.Revision}}))
	})

	It("tells when a key came into being, anew after it was removed", func() {
		h := harness()
		created := h.put("a", "1")
		written := h.put("a", "2")
		Expect(h.read("a").KeyValues[0].CreateRevision).To(Equal(created))
		Expect(h.read("a").KeyValues[0].ModRevision).To(Equal(written))
		_, err := h.transact(longTimeout, outside.Transaction{Operations: []outside.Operation{{Kind: outside.OperationDelete, Key: "a"}}})
		Expect(err).NotTo(HaveOccurred())
		again := h.put("a", "2")
		Expect(h.read("a").KeyValues[0].CreateRevision).To(Equal(again))
	})

	It("writes all or nothing, by the compared revisions", func() {
		h := harness()
		first := h.put("a", "1")
		stale := h.put("b", "1")
		h.put("b", "2")
		both := outside.Transaction{
			Compares: []outside.Compare{{Key: "a", ModRevision: first}, {Key: "b", ModRevision: stale}, {Key: "c"}},
			Operations: []outside.Operation{
				{Kind: outside.OperationDelete, Key: "a"},
				{Kind: outside.OperationPut, Key: "c", Value: []byte("1")},
			},
		}
		refused, err := h.transact(longTimeout, both)
		Expect(err).NotTo(HaveOccurred())
		Expect(refused.Succeeded).To(BeFalse())
		Expect(keysOf(refused.Current)).To(Equal([]string{"a", "b"}))
		Expect(keysOf(h.read("").KeyValues)).To(Equal([]string{"a", "b"}))

		both.Compares[1].ModRevision = refused.Current[1].ModRevision
		written, err := h.transact(longTimeout, both)
		Expect(err).NotTo(HaveOccurred())
		Expect(written.Succeeded).To(BeTrue())
		after := h.read("")
		Expect(keysOf(after.KeyValues)).To(Equal([]string{"b", "c"}))
		Expect(after.Revision).To(Equal(written.Revision))
	})

	DescribeTable("refuses a transaction that is not allowed",
		func(operations ...outside.Operation) {
			h := harness()
			_, err := h.transact(longTimeout, outside.Transaction{Operations: operations})
			Expect(err).To(MatchError(outside.ErrNotApplied))
			Expect(h.store.Records(0)).To(BeEmpty())
		},
		Entry("empty key", outside.Operation{}),
		Entry("a key twice", outside.Operation{Key: "a"}, outside.Operation{Key: "a"}),
		Entry("too large", outside.Operation{Key: "a", Value: make([]byte, 2<<20)}),
		Entry("an unknown lease", outside.Operation{Key: "a", Lease: 77}),
	)
}

// readsPrefix expects the keys of a prefix, out of some that exist.
func readsPrefix(harness func() *keyValueHarness, existing []string) func(prefix string, expected ...string) {
	return func(prefix string, expected ...string) {
		h := harness()
		for _, key := range existing {
			h.put(key, "value")
		}
		Expect(keysOf(h.read(prefix).KeyValues)).To(HaveExactElements(expected))
	}
}

// describeByteKeys is for services whose keys are any bytes.
func describeByteKeys(harness func() *keyValueHarness) {
	DescribeTable("reads the keys of a prefix in order",
		readsPrefix(harness, []string{"b/2", "a", "b/1", "b", "b0", "c\xff", "c\xff\xff"}),
		Entry("a directory", "b/", "b/1", "b/2"),
		Entry("all", "", "a", "b", "b/1", "b/2", "b0", "c\xff", "c\xff\xff"),
		Entry("ending in the highest byte", "c\xff", "c\xff", "c\xff\xff"),
		Entry("none", "x"),
	)
}

// describeTextKeys is for services whose keys travel as text.
func describeTextKeys(harness func() *keyValueHarness) {
	DescribeTable("reads the keys of a prefix in order",
		readsPrefix(harness, []string{"b/2", "a", "b/1", "b", "b0", "cé", "cé&=?"}),
		Entry("a directory", "b/", "b/1", "b/2"),
		Entry("all", "", "a", "b", "b/1", "b/2", "b0", "cé", "cé&=?"),
		Entry("signs that a query gives a meaning", "cé&", "cé&=?"),
		Entry("none", "x"),
	)
}

func describeLeases(harness func() *keyValueHarness) {
	const timeToLive = 10 * time.Second

	It("deletes the keys of a lease that lapses", func() {
		h := harness()
		lease := h.grant(timeToLive)
		_, err := h.transact(longTimeout, putting("leased", "value", lease))
		Expect(err).NotTo(HaveOccurred())
		Expect(h.read("").KeyValues[0].Lease).To(Equal(lease))
		h.advance(timeToLive - time.Second)
		Expect(h.read("").KeyValues).To(HaveLen(1))
		h.advance(time.Second)
		Expect(h.read("").KeyValues).To(BeEmpty())
		Expect(h.keepAlive(lease)).To(MatchError(outside.ErrLeaseNotFound))
	})

	It("keeps a lease that is kept alive", func() {
		h := harness()
		lease := h.grant(timeToLive)
		h.advance(timeToLive - time.Second)
		Expect(h.keepAlive(lease)).To(Succeed())
		h.advance(timeToLive - time.Second)
		Expect(h.keepAlive(lease)).To(Succeed())
		h.advance(timeToLive)
		Expect(h.keepAlive(lease)).To(MatchError(outside.ErrLeaseNotFound))
	})

	It("keeps a key whose last write has another lease", func() {
		h := harness()
		lease := h.grant(timeToLive)
		_, err := h.transact(longTimeout, putting("key", "leased", lease))
		Expect(err).NotTo(HaveOccurred())
		h.put("key", "lasting")
		Expect(h.revoke(lease)).To(Succeed())
		Expect(keysOf(h.read("").KeyValues)).To(Equal([]string{"key"}))
	})

	It("ends a lease that is revoked", func() {
		h := harness()
		lease := h.grant(timeToLive)
		_, err := h.transact(longTimeout, putting("leased", "value", lease))
		Expect(err).NotTo(HaveOccurred())
		Expect(h.revoke(lease)).To(Succeed())
		Expect(h.read("").KeyValues).To(BeEmpty())
		Expect(h.revoke(lease)).To(MatchError(outside.ErrLeaseNotFound))
		_, err = h.transact(longTimeout, putting("late", "value", lease))
		Expect(err).To(And(MatchError(outside.ErrLeaseNotFound), MatchError(outside.ErrNotApplied)))
		Expect(h.read("").KeyValues).To(BeEmpty())
	})
}

func describeWatches(harness func() *keyValueHarness) {
	It("delivers changes after the revision, earlier and later ones, in order", func() {
		h := harness()
		from := h.put("a/1", "before")
		h.put("a/1", "kept")
		h.put("other", "ignored")
		watcher := &watcher{}
		stop := h.service.Watch("a/", from, watcher)
		defer stop()
		h.eventually(func() bool { return len(watcher.seen()) == 1 })
		_, err := h.transact(longTimeout, outside.Transaction{Operations: []outside.Operation{
			{Key: "a/2", Value: []byte("new")}, {Key: "other"}, {Kind: outside.OperationDelete, Key: "a/1"},
		}})
		Expect(err).NotTo(HaveOccurred())
		h.put("a/3", "last")
		h.eventually(func() bool { return len(watcher.seen()) == 4 })
		Expect(watcher.seen()).To(Equal([]string{"a/1=kept", "a/2=new", "a/1 deleted", "a/3=last"}))
		Expect(watcher.revisions).To(Equal([]int64{from + 1, from + 3, from + 4}))
		Expect(watcher.losses()).To(BeEmpty())
	})

	It("shows the end of a lease", func() {
		h := harness()
		lease := h.grant(time.Second)
		_, err := h.transact(longTimeout, putting("leased", "value", lease))
		Expect(err).NotTo(HaveOccurred())
		watcher := &watcher{}
		defer h.service.Watch("", h.store.Revision(), watcher)()
		h.eventually(func() bool { return h.store.Watches() == 1 })
		h.advance(time.Second)
		h.eventually(func() bool { return len(watcher.seen()) == 1 })
		Expect(watcher.seen()).To(Equal([]string{"leased deleted"}))
	})

	It("loses a watch from a compacted revision", func() {
		h := harness()
		from := h.put("a", "1")
		h.store.Compact(h.put("a", "2"))
		watcher := &watcher{}
		defer h.service.Watch("", from, watcher)()
		h.eventually(watcher.isLost)
		Expect(watcher.losses()).To(HaveExactElements(MatchError(outside.ErrCompacted)))
	})

	It("delivers nothing after stop, and the service forgets the watch", func() {
		h := harness()
		stopped, other := &watcher{}, &watcher{}
		stop := h.service.Watch("", h.store.Revision(), stopped)
		defer h.service.Watch("", h.store.Revision(), other)()
		h.eventually(func() bool { return h.store.Watches() == 2 })
		stop()
		h.put("a", "1")
		h.eventually(func() bool { return len(other.seen()) == 1 && h.store.Watches() == 1 })
		Expect(stopped.seen()).To(BeEmpty())
		Expect(stopped.losses()).To(BeEmpty())
	})
}
