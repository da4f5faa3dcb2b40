package observation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// exchange is a number of nodes, the first of which is the order holder, with the messages that are
// in transit between them. Messages may overtake each other and arrive twice.
type exchange struct {
	now     time.Time
	tables  []*Table
	cursors []Cursor
	// pushed is the version of the holder's reach changes; received is what each node was sent.
	pushed   uint64
	received []Received
	transit  []transit
}

type transit struct {
	to           int
	from         Origin
	observations []Observation
}

func address(node int) string { return fmt.Sprint("n", node, ":1") }

func newExchange(nodes int) *exchange {
	e := &exchange{now: testStart, cursors: make([]Cursor, nodes)}
	for range nodes {
		table := NewTable()
		table.SetNodes(100, testStart)
		e.tables = append(e.tables, table)
		e.received = append(e.received, Received{})
	}
	return e
}

// send makes a node send the holder what it observed, and the holder send the nodes what it has.
func (e *exchange) send(node int) {
	if node > 0 {
		observations, cursor := e.tables[node].Unsent(e.cursors[node], true, e.now)
		e.cursors[node] = cursor
		e.post(0, Origin{Node: address(node)}, observations)
		return
	}
	changes, senders, version := e.tables[0].ReachChanges(e.pushed, e.now)
	e.pushed = version
	for to := range e.tables[1:] {
		to++
		var others []Observation
		for i, sender := range senders {
			if sender != address(to) {
				others = append(others, changes[i])
			}
		}
		loads, _ := e.tables[0].LoadsFor(address(to), [][]*fleet.Server{{{ID: first.ID}}}, e.received[to], e.now)
		e.post(to, Origin{Node: address(0), Holder: true}, append(others, loads...))
	}
}

func (e *exchange) post(to int, from Origin, observations []Observation) {
	if len(observations) > 0 {
		e.transit = append(e.transit, transit{to: to, from: from, observations: observations})
	}
}

// deliver delivers a message; it is kept for another delivery if again is set.
func (e *exchange) deliver(index int, again bool) {
	message := e.transit[index]
	if !again {
		e.transit = slices.Delete(e.transit, index, index+1)
	}
	e.tables[message.to].Merge(message.observations, message.from, e.now)
}

// settle exchanges messages until none is left.
func (e *exchange) settle() {
	for range 4 {
		for node := range e.tables {
			e.send(node)
		}
		for len(e.transit) > 0 {
			e.deliver(0, false)
		}
		e.now = e.now.Add(time.Millisecond)
	}
}

// observed are the true times of what nodes observed of an incarnation.
type observed struct {
	loads       map[int]time.Time
	unreachable []time.Time
}

// Guards against crossing messages that bring back an older load, mix incarnations up, or suspect a
// server without a reason; and against a suspicion that stays after an answer.
func TestCrossingMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		nodes := rapid.IntRange(3, 6).Draw(t, "nodes")
		e := newExchange(nodes)
		truth := map[fleet.Incarnation]*observed{first: {loads: map[int]time.Time{}}, second: {loads: map[int]time.Time{}}}
		born := first
		seen := make([]map[fleet.Incarnation]time.Time, nodes)
		for i := range seen {
			seen[i] = map[fleet.Incarnation]time.Time{}
		}
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			// A node may still observe the earlier incarnation, by a response that is late.
			server := rapid.SampledFrom([]fleet.Incarnation{first, born}).Draw(t, "server")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				e.tables[node].RecordLoad(server, Load{Running: step, Slots: 8}, e.now)
				truth[server].loads[step] = e.now
			case 1:
				e.tables[node].RecordUnreachable(server, e.now)
				truth[server].unreachable = append(truth[server].unreachable, e.now)
			case 2:
				e.tables[node].RecordReachable(server, e.now)
			case 3:
				born = second
			case 4, 5:
				e.send(node)
			case 6, 7:
				if len(e.transit) > 0 {
					e.deliver(rapid.IntRange(0, len(e.transit)-1).Draw(t, "message"), rapid.IntRange(0, 5).Draw(t, "again") == 0)
				}
			}
			e.checkAll(g, truth, seen)
			e.now = e.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
		}
		e.settle()
		e.now = e.now.Add(answerPause)
		e.tables[nodes-1].RecordReachable(born, e.now)
		e.now = e.now.Add(time.Millisecond)
		e.settle()
		for node, table := range e.tables {
			g.Expect(table.Suspected(born, e.now)).To(BeFalse(), "node %d suspects a server that answered after all messages", node)
			e.tables[node].Prune(func(string) bool { return true }, e.now.Add(retention+time.Second))
			g.Expect(table.entries).To(BeEmpty())
		}
	})
}

// checkAll checks what each node believes against what was observed.
func (e *exchange) checkAll(g *WithT, truth map[fleet.Incarnation]*observed, seen []map[fleet.Incarnation]time.Time) {
	for node, table := range e.tables {
		for server, actual := range truth {
			load, at, known := table.Load(server, e.now)
			if known {
				g.Expect(actual.loads).To(HaveKey(load.Running), "a load of another incarnation")
				g.Expect(at).To(BeTemporally(">=", actual.loads[load.Running]), "a load that looks older than it is")
				g.Expect(at).To(BeTemporally(">=", seen[node][server]), "an older load replaced a newer one")
				seen[node][server] = at
			}
			if table.Suspected(server, e.now) {
				g.Expect(actual.unreachable).NotTo(BeEmpty(), "suspected without an observation")
			}
		}
	}
}
