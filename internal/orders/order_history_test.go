package orders

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTurnsTellWhatWasOrderedLately(t *testing.T) {
	RegisterTestingT(t)
	begin := time.Now()
	known := newOrderHistory()
	known.handoverPeriod = 3 * time.Second
	known.inherited["inherited"] = begin.Add(-time.Second)
	known.begin("under way")
	known.begin("done")
	known.end("done", begin)
	known.begin("long ago")
	known.end("long ago", begin.Add(-4*time.Second))
	ages, complete := known.recent(begin.Add(500 * time.Millisecond))
	Expect(complete).To(BeTrue())
	Expect(ages).To(Equal(map[string]int64{"inherited": 1500, "under way": 0, "done": 500}))
	Expect(known.mayOrder("inherited", begin)).To(BeFalse())
	Expect(known.mayOrder("inherited", begin.Add(2*time.Second))).To(BeTrue())
	Expect(known.mayOrder("done", begin)).To(BeTrue(), "its own orders need no turn")
	known.completeFrom = begin.Add(time.Second)
	_, complete = known.recent(begin)
	Expect(complete).To(BeFalse())
}

func TestRecordTellsTheLatestTimeOfAnOrder(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	record := HolderRecord{Recent: map[string]int64{"s": 1200}, receivedAt: now}
	Expect(record.lastOrders()).To(Equal(map[string]time.Time{"s": now.Add(-1200 * time.Millisecond)}))
}
