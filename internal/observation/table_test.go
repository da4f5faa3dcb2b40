package observation

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // property tests repeat
)

func TestObservation(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Observation Suite")
}

var (
	testStart = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	first     = fleet.Incarnation{ID: "s", Born: 5}
	second    = fleet.Incarnation{ID: "s", Born: 6}
	testLoad  = Load{Running: 3, Waiting: 1, Slots: 24}
)

func after(elapsed time.Duration) time.Time { return testStart.Add(elapsed) }

var _ = ginkgo.Describe("The table", func() {
	// Guards against a choice from a load that is no longer true.
	ginkgo.It("returns a load until it is 3 s old", func() {
		table := NewTable()
		table.RecordLoad(first, testLoad, testStart)
		load, at, known := table.Load(first, after(LoadLifetime-1))
		Expect(known).To(BeTrue())
		Expect(load).To(Equal(testLoad))
		Expect(at).To(Equal(testStart))
		_, _, known = table.Load(first, after(LoadLifetime))
		Expect(known).To(BeFalse())
	})

	// Guards against a restarted server that is avoided, or sent too much, because of what its
	// predecessor under the same ID did.
	ginkgo.It("keeps nothing of an earlier incarnation", func() {
		table := NewTable()
		table.RecordLoad(first, testLoad, testStart)
		_, _, known := table.Load(second, testStart)
		Expect(known).To(BeFalse())
		table.RecordReachable(second, testStart)
		table.RecordLoad(first, testLoad, after(time.Millisecond))
		_, _, known = table.Load(second, after(time.Millisecond))
		Expect(known).To(BeFalse())
		_, _, known = table.Load(first, after(time.Millisecond))
		Expect(known).To(BeFalse())
	})

	// Guards against a node's own refused connection being counted as the statement of another.
	ginkgo.It("does not suspect a server because of this node's own observation", func() {
		table := NewTable()
		table.RecordUnreachable(first, testStart)
		Expect(table.Suspected(first, testStart)).To(BeFalse())
		Expect(table.Urgent()).To(Receive())
	})
})
