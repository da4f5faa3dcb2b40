package mirror

import (
	"context"
	"fmt"
	"reflect"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// answerRecorder records when the store last answered any node.
type answerRecorder struct {
	*fakeSource
	last *atomic.Int64
}

func (r answerRecorder) Changes(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	changes, err := r.fakeSource.Changes(ctx, after, wait)
	if err == nil {
		r.last.Store(time.Now().UnixNano())
	}
	return changes, err
}

// newRing returns a deployment whose nodes record the store's answers, and the time of the last
// answer.
func newRing(nodes int, linkLatency func(from, to string) time.Duration, change func(number int, n *testNode)) (*deployment, *atomic.Int64) {
	d, last := newDeployment(0), &atomic.Int64{}
	d.network.linkLatency = linkLatency
	for number := range nodes {
		d.nodes = append(d.nodes, d.addNodeWith(addressOf(number), func(n *testNode) {
			n.mirror.config.Source = answerRecorder{n.source, last}
			change(number, n)
		}))
	}
	return d, last
}

// keepSubscribed keeps each node subscribed at the nodes that subscribedAt returns for it.
func (d *deployment) keepSubscribed(ctx context.Context, subscribedAt func(number int) []int) {
	for ctx.Err() == nil {
		for number, node := range d.nodes {
			for _, other := range subscribedAt(number) {
				node.mirror.subscribeTo(addressOf(other))
			}
		}
		time.Sleep(subscribePeriod / 2)
	}
}

func (d *deployment) updatesSent() int {
	d.network.mutex.Lock()
	defer d.network.mutex.Unlock()
	return d.network.sent["Update"]
}

// expectNoNewerThan expects each node to take its state for no newer than the last answer of the
// store to any of them.
func (d *deployment) expectNoNewerThan(answered *atomic.Int64) {
	for number, node := range d.nodes {
		node.mirror.mutex.Lock()
		confirmed := node.mirror.confirmedAsOf()
		node.mirror.mutex.Unlock()
		Expect(confirmed).To(BeTemporally("<=", time.Unix(0, answered.Load())), "node %d", number)
	}
}

// Guards against state that seems fresher because its confirmation went round: rings and complete
// graphs of subscriptions with links of different latencies, also while the relay changes. Updates
// that confirm nothing must not go round either.
func TestFreshnessNeverExceedsTheLastAnswerOfTheStore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		nodes := rapid.IntRange(2, 5).Draw(r, "nodes")
		links := rapid.SliceOfN(rapid.IntRange(1, 150), nodes*nodes, nodes*nodes).Draw(r, "milliseconds")
		complete := rapid.Bool().Draw(r, "complete")
		relays := rapid.SliceOfN(rapid.IntRange(0, nodes-1), 0, 6).Draw(r, "relays")
		latency := func(from, to string) time.Duration {
			return time.Duration(links[int(from[0]-'a')*nodes+int(to[0]-'a')]) * time.Millisecond
		}
		synctest.Test(t, func(t *testing.T) {
			RegisterTestingT(t)
			d, answered := newRing(nodes, latency, func(int, *testNode) {})
			defer d.close()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go d.keepSubscribed(ctx, func(number int) []int {
				if !complete {
					return []int{(number + 1) % nodes}
				}
				var others []int
				for other := range nodes {
					if other != number {
						others = append(others, other)
					}
				}
				return others
			})
			time.Sleep(settled)
			for _, node := range d.nodes {
				node.source.setFault(false, true)
			}
			sent := 0
			for step := range 60 {
				if step%10 == 0 && step/10 < len(relays) {
					d.setRelay(relays[step/10])
				}
				time.Sleep(50 * time.Millisecond)
				d.expectNoNewerThan(answered)
				if step == 39 {
					sent = d.updatesSent()
				}
			}
			Expect(d.updatesSent()).To(Equal(sent), "updates go round")
		})
	})
}

// becomePreviousBuild makes a node behave as one of the build before confirmations: it sends none, and
// counts an update's age from its receipt, whatever it confirms.
func (n *testNode) becomePreviousBuild() {
	transport := n.mirror.config.Transport.(*fakeTransport)
	var number atomic.Uint32
	asBefore := func(message peer.Message) peer.Message {
		update, isUpdate := message.(Update)
		if isUpdate {
			update.Confirmation = Confirmation{Origin: number.Add(1), At: 1}
			return update
		}
		return message
	}
	for _, prototype := range []peer.Message{Update{}, Subscribe{}} {
		handle := transport.handlers[reflect.TypeOf(prototype)]
		transport.Handle(prototype, func(from string, message peer.Message, reply func(peer.Message, error)) {
			handle(from, asBefore(message), func(answer peer.Message, err error) { reply(withoutConfirmation(answer), err) })
		})
	}
	n.mirror.config.Transport = previousTransport{transport, n, asBefore}
}

// previousTransport sends messages as a node of the previous build.
type previousTransport struct {
	*fakeTransport
	node     *testNode
	asBefore func(peer.Message) peer.Message
}

func withoutConfirmation(message peer.Message) peer.Message {
	if update, isUpdate := message.(Update); isUpdate {
		update.Confirmation = Confirmation{}
		return update
	}
	return message
}

func (p previousTransport) Send(address string, message peer.Message) {
	p.fakeTransport.Send(address, withoutConfirmation(message))
}

func (p previousTransport) Call(address string, message peer.Message, timeout time.Duration, done func(peer.Message, error)) {
	p.fakeTransport.Call(address, message, timeout, func(reply peer.Message, err error) {
		if update, isUpdate := reply.(Update); isUpdate && err == nil {
			p.node.mirror.handleUpdate(p.asBefore(update).(Update), address)
			reply = NotRelay{}
		}
		done(reply, err)
	})
}

// Guards against nodes that take each other's state for fresh because nodes of the previous build
// in the cycle pass confirmations on without naming them.
func TestFreshnessEndsInCyclesWithNodesOfThePreviousBuild(t *testing.T) {
	for _, previous := range [][]bool{{false, true}, {true, false}, {false, true, false}, {false, true, true}, {true, false, true}, {false, true, true, false}} {
		for _, milliseconds := range []int{30, 50, 100} {
			t.Run(fmt.Sprint(previous, milliseconds), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					RegisterTestingT(t)
					latency := func(string, string) time.Duration { return time.Duration(milliseconds) * time.Millisecond }
					d, _ := newRing(len(previous), latency, func(number int, n *testNode) {
						if previous[number] {
							n.becomePreviousBuild()
						}
					})
					defer d.close()
					ctx, stop := context.WithCancel(t.Context())
					defer stop()
					time.Sleep(settled)
					for number, node := range d.nodes {
						Expect(number == 0 || node.mirror.FollowsRelay()).To(BeTrue(), "node %d of a healthy fleet", number)
					}
					go d.keepSubscribed(ctx, func(number int) []int { return []int{(number + 1) % len(previous)} })
					time.Sleep(settled)
					for _, node := range d.nodes {
						node.source.setFault(false, true)
					}
					time.Sleep(2 * testTimes.Changes)
					for range 20 {
						time.Sleep(testTimes.Changes / 10)
						for number, node := range d.nodes {
							Expect(node.confirmedAge()).To(BeNumerically(">=", node.mirror.maxRelayAge()), "node %d", number)
						}
					}
				})
			})
		}
	}
}

// confirmedNow returns a mirror at the revision 10 that knows the origin 7, whose clock began
// ten seconds ago, through a subscription with the round trip.
func confirmedNow(roundTrip time.Duration) *Mirror {
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	m.replace(Changes{At: 10})
	now := time.Now()
	m.receive(confirmedAt(10*time.Second), receipt{from: "r:1", asked: now.Add(-roundTrip), received: now})
	return m
}

// confirmedAt returns an update of the origin 7, sent when the store's answer arrived.
func confirmedAt(at time.Duration) Update {
	return Update{Base: 10, At: 10, Confirmation: Confirmation{Origin: 7, At: at}}
}

// Guards against an update that was under way for long, as to a process that was suspended, and
// counts as fresh when it is received.
func TestLateUpdateIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		m := confirmedNow(20 * time.Millisecond)
		time.Sleep(3 * time.Second)
		m.handleUpdate(confirmedAt(11*time.Second), "r:1")
		Expect(time.Since(m.relayConfirmedAt)).To(Equal(2*time.Second + 20*time.Millisecond))
		m.handleUpdate(confirmedAt(11*time.Second), "other:1")
		Expect(time.Since(m.relayConfirmedAt)).To(Equal(2*time.Second+20*time.Millisecond), "a copy confirms nothing")
		m.handleUpdate(confirmedAt(13*time.Second), "r:1")
		Expect(time.Since(m.relayConfirmedAt)).To(Equal(20 * time.Millisecond))
	})
}

// Guards against updates that may carry back what this node knew first: its own confirmation,
// one of a build before from a node that receives this node's updates, and a copy by another way.
func TestUpdatesThatMayHaveComeRoundConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		m := confirmedNow(20 * time.Millisecond)
		m.subscribers["s:1"] = subscriber{subscribedAt: time.Now()}
		time.Sleep(time.Second)
		m.handleUpdate(Update{Base: 10, At: 10, Confirmation: m.confirmations.own(time.Now())}, "other:1")
		m.handleUpdate(Update{Base: 10, At: 10}, "s:1")
		Expect(time.Since(m.relayConfirmedAt)).To(Equal(time.Second + 20*time.Millisecond))
		time.Sleep(subscriptionTTL)
		m.handleUpdate(Update{Base: 10, At: 10}, "s:1")
		Expect(time.Since(m.relayConfirmedAt)).To(BeZero(), "its subscription ended")
		unbounded := Update{Base: 10, At: 10, Confirmation: Confirmation{Origin: 8, At: time.Hour}}
		time.Sleep(time.Second)
		m.handleUpdate(unbounded, "other:1")
		time.Sleep(time.Second)
		m.handleUpdate(unbounded, "other:2")
		Expect(time.Since(m.relayConfirmedAt)).To(Equal(time.Second), "a copy by another way")
	})
}

// Guards against a bound of an origin's clock that stays in use when that clock is faster.
func TestOldBoundOfAClockIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		m := confirmedNow(0)
		time.Sleep(subscriptionTTL + time.Second)
		m.receive(confirmedAt(20*time.Second), receipt{from: "r:1", asked: time.Now(), received: time.Now()})
		time.Sleep(3 * time.Second)
		m.handleUpdate(confirmedAt(21*time.Second), "r:1")
		Expect(time.Since(m.relayConfirmedAt)).To(Equal(2 * time.Second))
	})
}

// Guards against a node that takes each update for too old, and reads the store, because its first
// subscription took long while many nodes connected to the relay.
func TestClockIsBoundedAgainSoonAfterASlowSubscription(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		m := confirmedNow(380 * time.Millisecond)
		Expect(m.subscribePeriod()).To(Equal(initialSubscribePeriod))
		now := time.Now()
		m.receive(confirmedAt(10*time.Second), receipt{from: "r:1", asked: now.Add(-time.Millisecond), received: now})
		Expect(m.subscribePeriod()).To(Equal(subscribePeriod))
		slow := confirmedNow(380 * time.Millisecond)
		for range maxEarlyBounds {
			slow.receive(confirmedAt(10*time.Second), receipt{from: "r:1", asked: now.Add(-380 * time.Millisecond), received: now})
		}
		Expect(slow.subscribePeriod()).To(Equal(subscribePeriod), "a slow link")
	})
}

// Guards against memory that grows with each process that was ever the relay.
func TestOriginsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		m := confirmedNow(time.Millisecond)
		m.noteRoundTrip("r:1", time.Now(), time.Now())
		for range 4 {
			time.Sleep(originMemory)
			m.handleUpdate(Update{Base: 10, At: 10, Confirmation: Confirmation{Origin: 8, At: time.Since(m.confirmations.started)}}, "s:1")
		}
		Expect(m.confirmations.origins).To(HaveLen(1))
		Expect(m.confirmations.roundTrips).To(BeEmpty())
	})
}

// Guards against a read of the whole state that takes seconds and counts as fresh when it ends, and
// against an answer to a watch that confirms a state which was reset meanwhile.
func TestReadConfirmsTheStateAsOfItsBeginning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		d := newDeployment(0)
		defer d.close()
		d.nodes = append(d.nodes, d.addNodeWith(addressOf(0), func(n *testNode) { n.source.readTime = testTimes.Changes }))
		for d.nodes[0].revision() == 0 {
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		Expect(d.nodes[0].confirmedAge()).To(BeNumerically(">=", testTimes.Changes))
	})
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	m.replace(Changes{At: 10})
	m.confirmRead(12, time.Now())
	Expect(m.Behind()).To(BeTrue(), "the state is not that of the answer")
	m.confirmRead(10, time.Now())
	Expect(m.Behind()).To(BeFalse())
}
