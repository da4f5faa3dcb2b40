package contract_test

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// operationUnderFault is one kind of operation, and how to see that it was
// applied.
type operationUnderFault struct {
	run     func(h *keyValueHarness, lease outside.LeaseID, done func(error))
	applied func(h *keyValueHarness) bool
}

const faultLease = time.Minute

var operationsUnderFault = map[string]operationUnderFault{
	"transact": {
		run: func(h *keyValueHarness, _ outside.LeaseID, done func(error)) {
			h.service.Transact(putting("written", "", 0), h.shortTimeout, func(_ outside.TransactionResult, err error) { done(err) })
		},
		applied: func(h *keyValueHarness) bool { return len(h.store.Range("written").KeyValues) == 1 },
	},
	"grant": {
		run: func(h *keyValueHarness, _ outside.LeaseID, done func(error)) {
			h.service.GrantLease(faultLease, h.shortTimeout, func(_ outside.Lease, err error) { done(err) })
		},
		applied: func(h *keyValueHarness) bool { return h.store.Leases() == 2 },
	},
	"revoke": {
		run: func(h *keyValueHarness, lease outside.LeaseID, done func(error)) {
			h.service.RevokeLease(lease, h.shortTimeout, done)
		},
		applied: func(h *keyValueHarness) bool { return h.store.Leases() == 0 },
	},
	"keep alive": {
		run: func(h *keyValueHarness, lease outside.LeaseID, done func(error)) {
			h.service.KeepAlive(lease, h.shortTimeout, done)
		},
		applied: func(h *keyValueHarness) bool {
			h.advance(faultLease / 2)
			return h.store.Leases() == 1
		},
	},
}

func describeFaults(harness func() *keyValueHarness) {
	DescribeTableSubtree("an operation under a fault",
		func(faults keyvalue.Faults, expected error, applied bool) {
			for name, operation := range operationsUnderFault {
				It(name, func() {
					h := harness()
					lease := h.grant(faultLease)
					h.advance(faultLease / 2)
					h.store.SetFaults(faults)
					err := awaitError(h, func(done func(error)) { operation.run(h, lease, done) })
					if expected == nil {
						Expect(err).NotTo(HaveOccurred())
					} else {
						Expect(err).To(MatchError(expected))
					}
					h.advance(faults.Delay)
					h.eventually(func() bool { return h.store.Faults() == faults })
					Expect(operation.applied(h)).To(Equal(applied))
				})
			}
		},
		Entry("none", keyvalue.Faults{}, nil, true),
		Entry("outage", keyvalue.Faults{Outage: true}, outside.ErrNotApplied, false),
		Entry("reply lost", keyvalue.Faults{LostReplies: 1}, outside.ErrAmbiguous, true),
		Entry("slower than the timeout", keyvalue.Faults{Delay: 10 * time.Second}, outside.ErrAmbiguous, true),
	)

	It("refuses what exceeds the rate", func() {
		h := harness()
		h.store.SetFaults(keyvalue.Faults{OperationsPerSecond: 1, Burst: 2})
		h.put("a", "1")
		h.put("b", "1")
		_, err := h.transact(longTimeout, putting("c", "1", 0))
		Expect(err).To(MatchError(outside.ErrNotApplied))
		h.advance(time.Second)
		h.put("d", "1")
		Expect(keysOf(h.store.Range("").KeyValues)).To(Equal([]string{"a", "b", "d"}))
		counters := h.store.Counters()
		Expect(counters.Operations[keyvalue.KindTransact]).To(BeEquivalentTo(4))
		Expect(counters.Refused[keyvalue.KindTransact]).To(BeEquivalentTo(1))
	})
}

// describeWatchFaults is for bindings whose watch is one connection; the
// platform's is a row of calls, and its own tests say what it goes on through.
func describeWatchFaults(harness func() *keyValueHarness) {
	It("loses a watch in an outage and refuses a new one", func() {
		h := harness()
		first, second := &watcher{}, &watcher{}
		defer h.service.Watch("", h.store.Revision(), first)()
		h.eventually(func() bool { return h.store.Watches() == 1 })
		h.store.SetFaults(keyvalue.Faults{Outage: true})
		h.eventually(first.isLost)
		defer h.service.Watch("", h.store.Revision(), second)()
		h.eventually(second.isLost)
		Expect(second.losses()).To(HaveExactElements(MatchError(outside.ErrNotApplied)))
	})

	It("loses a watch that has a gap, without later events", func() {
		h := harness()
		watcher := &watcher{}
		defer h.service.Watch("", h.store.Revision(), watcher)()
		h.eventually(func() bool { return h.store.Watches() == 1 })
		h.store.SetFaults(keyvalue.Faults{WatchGaps: 1, WatchGapDelay: time.Minute})
		h.put("a", "1")
		h.store.SetFaults(keyvalue.Faults{})
		h.put("b", "1")
		Expect(watcher.losses()).To(BeEmpty())
		h.advance(time.Minute)
		h.eventually(watcher.isLost)
		Expect(watcher.seen()).To(BeEmpty())
		Expect(watcher.losses()).To(HaveLen(1))
	})
}
