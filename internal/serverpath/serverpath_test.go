package serverpath

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a node that serves nothing while it is partitioned from servers that others reach.
func TestPartitionedNodeReachesServersThroughOthers(t *testing.T) {
	for _, how := range []reach{hangs, refuses} {
		t.Run(fmt.Sprint(how), func(t *testing.T) {
			inVirtualTime(t, 3, 18, func(t *testing.T, n *network) {
				RegisterTestingT(t)
				node := n.nodes["n0"]
				n.set("n0", how)
				for _, address := range []string{"s0", "s1"} {
					got := node.dial(t, address)
					Expect(got.err).NotTo(HaveOccurred())
					Expect(got.took).To(BeNumerically("<", fallbackDelay+askDelay))
				}
				// No further server costs a delay.
				for number := range 18 {
					got := node.dial(t, fmt.Sprint("s", number))
					Expect(got.err).NotTo(HaveOccurred())
					Expect(got.indirect).To(BeTrue())
					Expect(got.took).To(BeNumerically("<=", 5*latency))
				}
				Expect(node.monitor.CountLost()).To(Equal(18))
				Expect(n.nodes["n1"].monitor.AnyLost()).To(BeFalse())
			})
		})
	}
}

// Guards against leaving the path that other nodes carry long after the own one is back.
func TestPathIsRestoredSoonAfterThePartition(t *testing.T) {
	inVirtualTime(t, 3, 18, func(t *testing.T, n *network) {
		RegisterTestingT(t)
		node := n.nodes["n0"]
		n.set("n0", hangs)
		node.dial(t, "s0")
		node.dial(t, "s1")
		time.Sleep(10 * time.Second)
		Expect(node.monitor.Lost("s7")).To(BeTrue())
		n.set("n0", connects)
		time.Sleep(time.Second + probeTimeout)
		Expect(node.monitor.AnyLost()).To(BeFalse())
		Expect(node.dial(t, "s7").indirect).To(BeFalse())
	})
}

// Guards against taking the crash of a server for a partition, and the other way round: a refused
// connection is reported to all nodes as the end of the server.
func TestRefusedConnections(t *testing.T) {
	for _, test := range []struct {
		name string
		// refusesAll: the server refuses all nodes; partitioned are the nodes whose connections are
		// refused, and hanging those whose connections hang.
		refusesAll           bool
		partitioned, hanging []string
		proof                bool
	}{
		{name: "a server that ended", refusesAll: true, proof: true},
		{name: "a server that ended, another node partitioned", refusesAll: true, hanging: []string{"n1"}},
		{name: "this node partitioned, the others too", partitioned: []string{"n0"}, hanging: []string{"n1", "n2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			inVirtualTime(t, 3, 4, func(t *testing.T, n *network) {
				RegisterTestingT(t)
				if test.refusesAll {
					n.set("s0", refuses)
				}
				for _, name := range test.partitioned {
					n.set(name, refuses)
				}
				for _, name := range test.hanging {
					n.set(name, hangs)
				}
				got := n.nodes["n0"].dial(t, "s0")
				Expect(got.err).To(HaveOccurred())
				Expect(errors.Is(got.err, syscall.ECONNREFUSED)).To(Equal(test.proof))
				Expect(n.nodes["n0"].monitor.AnyLost()).To(BeFalse())
			})
		})
	}
}

// Guards against a partial partition that costs the direct paths that are left.
func TestPartitionFromOneServerLeavesTheOthersDirect(t *testing.T) {
	inVirtualTime(t, 3, 4, func(t *testing.T, n *network) {
		RegisterTestingT(t)
		node := n.nodes["n0"]
		n.set("s0", refuses)
		carried := n.nodes["n1"].carrier.Dial
		for _, name := range []string{"n1", "n2"} {
			n.nodes[name].carrier.Dial = func(ctx context.Context, _ string) (net.Conn, error) { return carried(ctx, "s3") }
		}
		for range 3 {
			Expect(node.dial(t, "s0").indirect).To(BeTrue())
			Expect(node.dial(t, "s1").indirect).To(BeFalse())
			Expect(node.dial(t, "s2").indirect).To(BeFalse())
		}
		Expect(node.monitor.CountLost()).To(Equal(1))
		Expect(node.monitor.LostShare()).To(BeNumerically("<", 0.5))
	})
}

// Guards against requests that wait for a path that no node has.
func TestServersThatNoNodeReachesFailAtOnce(t *testing.T) {
	inVirtualTime(t, 4, 4, func(t *testing.T, n *network) {
		RegisterTestingT(t)
		node := n.nodes["n0"]
		n.set("n0", hangs)
		node.dial(t, "s0")
		node.dial(t, "s1")
		for _, name := range []string{"n1", "n2", "n3"} {
			n.set(name, refuses)
		}
		Expect(node.dial(t, "s2").err).To(HaveOccurred())
		got := node.dial(t, "s2")
		Expect(got.err).To(HaveOccurred())
		Expect(got.took).To(BeNumerically("<=", askDelay))
	})
}

// Guards against requests that go round: a node connects for others by its own path only.
func TestConnectionPassesOneNodeAtMost(t *testing.T) {
	inVirtualTime(t, 3, 4, func(t *testing.T, n *network) {
		RegisterTestingT(t)
		for _, name := range []string{"n0", "n1"} {
			n.set(name, hangs)
			n.nodes[name].dial(t, "s0")
			n.nodes[name].dial(t, "s1")
		}
		n.set("n2", hangs)
		n.nodes["n0"].asked, n.nodes["n1"].asked, n.nodes["n2"].asked = 0, 0, 0
		Expect(n.nodes["n0"].dial(t, "s2").err).To(HaveOccurred())
		Expect(n.nodes["n0"].asked).To(BeZero())
		Expect(n.nodes["n1"].asked + n.nodes["n2"].asked).To(BeNumerically("<=", 2))
	})
}

// Guards against requests that wait for a carrier which has lost the path itself.
func TestCarrierWithoutAPathSaysSoAtOnce(t *testing.T) {
	inVirtualTime(t, 3, 4, func(t *testing.T, n *network) {
		RegisterTestingT(t)
		n.set("n1", hangs)
		n.nodes["n1"].dial(t, "s0")
		n.nodes["n1"].dial(t, "s1")
		began := time.Now()
		_, outcome := n.nodes["n1"].carrier.connect(context.Background(), "s2")
		Expect(outcome).To(Equal(Unreached))
		Expect(time.Since(began)).To(BeZero())
	})
}

// Guards against orders that a server would take for those of another holder.
func TestDirectConnectionsPassNoOtherNode(t *testing.T) {
	inVirtualTime(t, 3, 4, func(t *testing.T, n *network) {
		RegisterTestingT(t)
		node := n.nodes["n0"]
		n.set("n0", refuses)
		for range 4 {
			for number := range 4 {
				_, err := node.dialer.DialDirect(context.Background(), fmt.Sprint("s", number), node.direct)
				Expect(err).To(HaveOccurred())
				time.Sleep(100 * time.Millisecond)
			}
		}
		// The failures show all the same that the path is lost.
		time.Sleep(settleTime)
		Expect(node.monitor.LostShare()).To(Equal(1.0))
	})
}

// Guards against asking nodes of an earlier build for each connection.
func TestNodesOfAnEarlierBuildAreRarelyAsked(t *testing.T) {
	inVirtualTime(t, 3, 4, func(t *testing.T, n *network) {
		RegisterTestingT(t)
		n.nodes["n1"].earlier, n.nodes["n2"].earlier = true, true
		n.set("n0", refuses)
		for range 20 {
			got := n.nodes["n0"].dial(t, "s0")
			Expect(errors.Is(got.err, syscall.ECONNREFUSED)).To(BeTrue())
			time.Sleep(100 * time.Millisecond)
		}
		Expect(n.nodes["n1"].asked + n.nodes["n2"].asked).To(Equal(2))
	})
}

// Guards against one node that carries for all.
func TestConnectionsAreSpreadOverTheNodesThatReachTheServers(t *testing.T) {
	inVirtualTime(t, 9, 4, func(t *testing.T, n *network) {
		RegisterTestingT(t)
		for _, name := range []string{"n0", "n1", "n2"} {
			n.set(name, hangs)
		}
		for number := range 48 {
			Expect(n.nodes["n0"].dial(t, fmt.Sprint("s", number%4)).err).NotTo(HaveOccurred())
		}
		for _, name := range []string{"n3", "n4", "n5", "n6", "n7", "n8"} {
			Expect(n.nodes[name].carrier.Carried()).To(BeNumerically("~", 8, 3), name)
		}
	})
}

// Guards against carrying so much for others that the own callers suffer.
func TestCarrierRefusesConnectionsBeyondItsLimit(t *testing.T) {
	inVirtualTime(t, 2, 4, func(t *testing.T, n *network) {
		RegisterTestingT(t)
		n.set("n0", hangs)
		n.nodes["n1"].carrier.MaxConnections = 3
		for range 3 {
			Expect(n.nodes["n0"].dial(t, "s0").err).NotTo(HaveOccurred())
		}
		Expect(n.nodes["n0"].dial(t, "s0").err).To(HaveOccurred())
		Expect(n.nodes["n1"].carrier.Carried()).To(Equal(3))
	})
}

// Guards against work at a server whose caller has left.
func TestServerConnectionEndsWithTheCallers(t *testing.T) {
	inVirtualTime(t, 2, 4, func(t *testing.T, n *network) {
		RegisterTestingT(t)
		n.set("n0", hangs)
		got := n.nodes["n0"].dial(t, "s0")
		Expect(got.err).NotTo(HaveOccurred())
		_ = got.conn.Close()
		synctest.Wait()
		_, err := n.accepted["s0"][0].Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(n.nodes["n1"].carrier.Carried()).To(BeZero())
	})
}

// Guards against a planned stop that breaks off requests that other nodes sent through the node.
func TestStoppingCarrierWaitsForRequestsInFlight(t *testing.T) {
	inVirtualTime(t, 2, 4, func(t *testing.T, n *network) {
		RegisterTestingT(t)
		n.set("n0", hangs)
		busy, idle := n.nodes["n0"].dial(t, "s0"), n.nodes["n0"].dial(t, "s1")
		carrier := n.nodes["n1"].carrier
		buffer := make([]byte, 16)
		for _, pair := range []struct {
			near net.Conn
			far  net.Conn
		}{{busy.conn, n.accepted["s0"][0]}, {idle.conn, n.accepted["s1"][0]}} {
			go func() { _, _ = pair.near.Write([]byte("request")) }()
			_, err := pair.far.Read(buffer)
			Expect(err).NotTo(HaveOccurred())
		}
		go func() { _, _ = n.accepted["s1"][0].Write([]byte("answer")) }()
		_, err := idle.conn.Read(buffer)
		Expect(err).NotTo(HaveOccurred())
		carrier.Stop()
		stopped := make(chan struct{})
		go func() { carrier.Wait(context.Background()); close(stopped) }()
		time.Sleep(3 * time.Second)
		Expect(carrier.Carried()).To(Equal(1))
		Expect(n.nodes["n0"].dial(t, "s2").err).To(HaveOccurred())
		go func() { _, _ = n.accepted["s0"][0].Write([]byte("answer")) }()
		_, err = busy.conn.Read(buffer)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(idleAfter + 2*waitPeriod)
		Expect(stopped).To(BeClosed())
	})
}
