package mirror

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a server that crashed while it drained being taken for one that shut down as planned, since its
// record expired or was lost, and against the reverse.
func TestDepartureIsShownByARemovalThatIsNoExpiry(t *testing.T) {
	heartbeat := testTimes.Heartbeat
	remove := func(d *deployment) { d.store.remove("s") }
	after := func(pause time.Duration, change func(d *deployment)) func(d *deployment) {
		return func(d *deployment) {
			time.Sleep(pause)
			change(d)
		}
	}
	cases := map[string]struct {
		change   func(d *deployment)
		departed bool
	}{
		"removed at once":             {remove, true},
		"removed a heartbeat later":   {after(heartbeat, remove), true},
		"removed after it may expire": {after(2*heartbeat+time.Millisecond, remove), false},
		"never removed":               {func(*deployment) {}, false},
		"removed and written again": {func(d *deployment) {
			remove(d)
			d.store.put("s", false, "m")
		}, true},
		"ready again": {func(d *deployment) { d.store.put("s", false, "m") }, false},
		"removed while the store is away": {func(d *deployment) {
			for _, node := range d.nodes {
				node.source.setFault(true, false)
			}
			time.Sleep(heartbeat / 4)
			remove(d)
		}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			withNodes(t, 2, func(d *deployment) {
				d.store.put("s", true, "m")
				time.Sleep(settled)
				server, began := d.nodes[1].view.Record("s").Incarnation(), time.Now()
				go test.change(d)
				Expect(d.nodes[1].mirror.AwaitDeparture(context.Background(), server, began)).To(Equal(test.departed))
				Expect(time.Since(began)).To(BeNumerically("<=", 2*heartbeat))
			})
		})
	}
}

// Guards against a removal that proves a planned shutdown although the server ran on after it.
func TestRemovalOfARunningServerIsNoDeparture(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		d.store.put("s", true, "m")
		time.Sleep(settled)
		server := d.nodes[1].view.Record("s").Incarnation()
		d.store.remove("s")
		time.Sleep(settled)
		Expect(d.nodes[1].mirror.AwaitDeparture(context.Background(), server, time.Now())).To(BeFalse())
	})
}

// Guards against an expired record that proves a planned shutdown, since the caller read slowly and the end of the
// response came after the expiry.
func TestRemovalLongAfterTheServerRanIsNoDeparture(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		d.store.put("s", true, "m")
		time.Sleep(settled)
		server, seenRunning := d.nodes[1].view.Record("s").Incarnation(), time.Now()
		time.Sleep(3 * testTimes.Heartbeat)
		d.store.remove("s")
		time.Sleep(settled)
		Expect(d.nodes[1].mirror.AwaitDeparture(context.Background(), server, seenRunning)).To(BeFalse())
	})
}

// Guards against the wait for a planned shutdown where none was announced: the response of a server that crashed is
// broken at once.
func TestDepartureIsAwaitedOnlyAfterAnAnnouncedShutdown(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		view, began := d.nodes[1].view, time.Now()
		server := view.Record("s").Incarnation()
		Expect(d.nodes[1].mirror.AwaitDeparture(context.Background(), server, began)).To(BeFalse())
		view.SetLeaving(server)
		Expect(d.nodes[1].mirror.AwaitDeparture(context.Background(), server, began)).To(BeFalse())
		Expect(time.Since(began)).To(BeZero())
	})
}
