package mirror

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// subscriberCounts returns the number of subscribers of each node.
func (d *deployment) subscriberCounts() []int {
	counts := make([]int, len(d.nodes))
	for number, node := range d.nodes {
		node.mirror.mutex.Lock()
		counts[number] = len(node.mirror.liveSubscribers(time.Now()))
		node.mirror.mutex.Unlock()
	}
	return counts
}

// With three times as many nodes as the relay serves itself, all receive changes in time and none
// reads the store.
func TestManyNodesAreReachedThroughTwoLevels(t *testing.T) {
	withNodes(t, 3*fanOut, func(d *deployment) {
		time.Sleep(settled)
		Expect(d.subscriberCounts()[0]).To(Equal(fanOut))
		before := make([]int, len(d.nodes))
		for number, node := range d.nodes {
			before[number] = node.source.count("changes")
		}
		for number := range 20 {
			d.store.put(fmt.Sprint("t", number), number%2 == 0)
			time.Sleep(100 * time.Millisecond)
		}
		d.store.configure(true)
		time.Sleep(share(2*relayPollShare, testTimes.Changes) + 50*time.Millisecond)
		d.expectEqual()
		for number, node := range d.nodes[1:] {
			Expect(node.mirror.FollowsRelay()).To(BeTrue(), "node %d", number+1)
			Expect(node.source.count("changes")).To(Equal(before[number+1]), "node %d", number+1)
		}
	})
}

// Nodes are redirected to inner nodes of their own zone, where there are any.
func TestInnerNodesAreOfTheSameZone(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	now := time.Now()
	for number := range fanOut {
		m.subscribers[addressOf(number)] = subscriber{zone: fmt.Sprint("z", number%4), subscribedAt: now}
	}
	named := map[string]int{}
	for number := range 1000 {
		inner, redirected := m.redirect(Subscribe{Address: fmt.Sprint("n", number), Zone: fmt.Sprint("z", number%4)}, now)
		Expect(redirected).To(BeTrue())
		Expect(m.subscribers[inner].zone).To(Equal(fmt.Sprint("z", number%4)))
		named[inner]++
	}
	Expect(named).To(HaveLen(fanOut), "evenly")
	_, redirected := m.redirect(Subscribe{Address: "n", Zone: "elsewhere"}, now)
	Expect(redirected).To(BeTrue(), "a zone without inner nodes")
	_, redirected = m.redirect(Subscribe{Address: addressOf(3), Zone: "z3"}, now)
	Expect(redirected).To(BeFalse(), "a subscriber is not redirected")
}

// Whatever fault an inner node has, the nodes below it receive changes in time.
func TestNodesBelowAnInnerNodeThat(t *testing.T) {
	for name, inject := range map[string]func(d *deployment, inner int){
		"dies": func(d *deployment, inner int) {
			d.nodes[inner].stop()
			d.network.setPartitioned(addressOf(inner), true)
		},
		"is partitioned": func(d *deployment, inner int) { d.network.setPartitioned(addressOf(inner), true) },
	} {
		t.Run(name, func(t *testing.T) {
			withNodes(t, 2*fanOut, func(d *deployment) {
				time.Sleep(settled)
				inner := 0
				for number, count := range d.subscriberCounts() {
					if number > 0 && count > 0 {
						inner = number
					}
				}
				Expect(inner).NotTo(BeZero())
				inject(d, inner)
				d.store.configure(true)
				d.store.put("s", true)
				time.Sleep(share(0.9, testTimes.Changes))
				for number, node := range d.nodes {
					if number == inner {
						continue
					}
					Expect(node.revision()).To(Equal(d.store.configuredAt), "node %d", number)
					Expect(node.view.Load().Servers["s"].Draining).To(BeTrue(), "node %d", number)
				}
				time.Sleep(settled)
				for number, node := range d.nodes[1:] {
					if number+1 != inner {
						Expect(node.mirror.FollowsRelay()).To(BeTrue(), "node %d", number+1)
					}
				}
			})
		})
	}
}
