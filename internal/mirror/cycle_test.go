package mirror

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// confirmedAge returns how old the node takes its state to be.
func (n *testNode) confirmedAge() time.Duration {
	n.mirror.mutex.Lock()
	defer n.mirror.mutex.Unlock()
	return time.Since(n.mirror.confirmedAsOf())
}

// Guards against state that seems fresh although nobody has read the store: two nodes that are
// subscribed to each other, as while the relay changes, pass each other's confirmation on, and each
// message adds its latency to the freshness.
func TestFreshnessDoesNotGrowBetweenNodesThatAreSubscribedToEachOther(t *testing.T) {
	for _, latency := range []time.Duration{time.Millisecond, 30 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(fmt.Sprint(latency), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				d := newDeployment(2)
				defer d.close()
				d.network.latency = latency
				time.Sleep(2 * time.Second)
				for number, node := range d.nodes {
					node.source.setFault(false, true)
					node.mirror.mutex.Lock()
					node.mirror.subscribers[addressOf(1-number)] = subscriber{subscribedAt: time.Now()}
					node.mirror.mutex.Unlock()
				}
				// What is in flight may still arrive.
				time.Sleep(time.Second)
				for elapsed := time.Duration(0); elapsed < 2*time.Second; elapsed += 500 * time.Millisecond {
					for _, node := range d.nodes {
						Expect(node.confirmedAge()).To(BeNumerically(">=", elapsed), "%v after the store fell silent", elapsed+time.Second)
					}
					time.Sleep(500 * time.Millisecond)
				}
			})
		})
	}
}
