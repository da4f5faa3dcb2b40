package orders

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestOrderHistoryListsRecentOrders(t *testing.T) {
	RegisterTestingT(t)
	start := time.Now()
	history := newOrderHistory()
	history.handoverPeriod = 3 * time.Second
	history.inherited["inherited"] = start.Add(-time.Second)
	history.begin("under way")
	history.begin("done")
	history.end("done", start)
	history.begin("not sent")
	history.cancel("not sent")
	history.begin("long ago")
	history.end("long ago", start.Add(-4*time.Second))
	ages, complete := history.recent(start.Add(500 * time.Millisecond))
	Expect(complete).To(BeTrue())
	Expect(ages).To(Equal(map[string]int64{"inherited": 1500, "under way": 0, "done": 500}))
	Expect(history.mayOrder("inherited", start)).To(BeFalse())
	Expect(history.mayOrder("inherited", start.Add(2*time.Second))).To(BeTrue())
	Expect(history.mayOrder("done", start)).To(BeTrue(), "no handover period after this holder's own orders")
	history.completeFrom = start.Add(time.Second)
	_, complete = history.recent(start)
	Expect(complete).To(BeFalse())
}

func TestRecordGivesTheLatestTimeOfEachOrder(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	record := HolderRecord{Recent: map[string]int64{"s": 1200}, receivedAt: now}
	Expect(record.lastOrders()).To(Equal(map[string]time.Time{"s": now.Add(-1200 * time.Millisecond)}))
}
