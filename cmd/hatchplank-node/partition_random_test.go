//go:build soak

package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/platform/standin"
)

var (
	partitionSeed = flag.Uint64("partitions.seed", 1, "seed of the random partitions")
	partitionRuns = flag.Int("partitions.runs", 1, "number of seeds that are played, from the first one on")
	partitionSpan = flag.Duration("partitions.for", 8*time.Second, "how long partitions are drawn")
)

const (
	randomNodes = 5
	// callPeriod is the time between two requests of a caller.
	callPeriod = 40 * time.Millisecond
	// contactTime is the time within which nodes adapt to a partition.
	contactTime = 3 * time.Second
	// longestCut is the longest partition that is drawn.
	longestCut = 7 * time.Second
)

// partitionedNode is a node under random partitions.
type partitionedNode struct {
	name  string
	links *serverLinks

	mutex sync.Mutex
	url   string
	stop  func()
	// troubledAt is when the node was last restarted, or a cut of it from all servers began.
	troubledAt time.Time
	cut        bool
}

// sentRequest is a request that a caller sent once.
type sentRequest struct {
	id     string
	node   *partitionedNode
	path   string
	began  time.Time
	status int
	// settled: no cut or restart of the node began within the contact time before the request, and none
	// until its end; cutOff: the node was cut off from all servers throughout.
	settled, cutOff bool
}

// partitionRun plays random partitions of nodes from servers.
type partitionRun struct {
	deployment *deployment
	random     *rand.Rand
	nodes      []*partitionedNode

	mutex sync.Mutex
	sent  []*sentRequest
}

// TestRandomPartitionsFromServers guards against requests that run twice, or run although they were refused,
// and against nodes that serve less than others, while nodes are partitioned from all or some servers, some
// at the same time, and restart.
func TestRandomPartitionsFromServers(t *testing.T) {
	for seed := *partitionSeed; seed < *partitionSeed+uint64(*partitionRuns); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			RegisterTestingT(t)
			run := &partitionRun{deployment: newDeployment(t), random: rand.New(rand.NewPCG(seed, 1))}
			run.play(t)
			run.judge(t)
		})
	}
}

// play starts nodes and callers and draws partitions.
func (r *partitionRun) play(t *testing.T) {
	for _, id := range []string{"i-2", "i-3"} {
		r.deployment.add(t, standin.NewEngine(id, "a"), "llm")
	}
	r.deployment.add(t, standin.NewEngine("i-8"), "plain")
	for number := range randomNodes {
		node := &partitionedNode{name: fmt.Sprint("n", number), links: newServerLinks()}
		node.url, node.stop = r.deployment.startOn(t, node.name, node.links)
		Eventually(func() int { return standin.Post(node.url, "/s/x", "a") }, "30s").Should(Equal(http.StatusOK))
		r.nodes = append(r.nodes, node)
	}
	done := make(chan struct{})
	var callers sync.WaitGroup
	for _, node := range r.nodes {
		for _, path := range []string{"/p/x", "/s/x"} {
			callers.Go(func() { r.call(node, path, done) })
		}
	}
	for end := time.Now().Add(*partitionSpan); time.Now().Before(end); {
		r.disturb(t)
	}
	for _, node := range r.nodes {
		node.setCut(false)
		node.links.heal()
	}
	close(done)
	callers.Wait()
	for _, node := range r.nodes {
		for _, path := range []string{"/p/x", "/s/x"} {
			Eventually(func() int { return post(node.url, path, node.name+path+"-last") }, "30s").Should(Equal(http.StatusOK), path)
		}
	}
}

// disturb cuts some nodes from all or some servers, or restarts one, for a while. Callers of at least one node
// are never cut off.
func (r *partitionRun) disturb(t *testing.T) {
	state := []linkState{linkHangs, linkRefuses}[r.random.IntN(2)]
	span := 500*time.Millisecond + rand.N(longestCut-500*time.Millisecond)
	order := r.random.Perm(len(r.nodes))
	switch r.random.IntN(4) {
	case 0:
		r.nodes[order[0]].restart(t, r.deployment)
	case 1:
		servers := r.deployment.addresses[:1+r.random.IntN(len(r.deployment.addresses)-1)]
		for _, number := range order[:2] {
			r.nodes[number].links.cut(state, servers...)
		}
		time.Sleep(span)
		for _, number := range order[:2] {
			r.nodes[number].links.heal()
		}
	default:
		cut := order[:1+r.random.IntN(len(order)-1)]
		for _, number := range cut {
			r.nodes[number].setCut(true)
			r.nodes[number].links.cut(state)
		}
		time.Sleep(span)
		for _, number := range cut {
			r.nodes[number].setCut(false)
			r.nodes[number].links.heal()
		}
	}
}

// setCut records the begin or end of a cut from all servers.
func (n *partitionedNode) setCut(cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if cut {
		n.troubledAt = time.Now()
	}
	n.cut = cut
}

// restart stops the node as planned and starts it again.
func (n *partitionedNode) restart(t *testing.T, d *deployment) {
	n.mutex.Lock()
	n.troubledAt = time.Now().Add(time.Hour)
	stop := n.stop
	n.mutex.Unlock()
	stop()
	url, stop := d.startOn(t, n.name, n.links)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.url, n.stop, n.troubledAt = url, stop, time.Now()
}

// state returns where the node is reached, when it was last disturbed, and whether it is cut off.
func (n *partitionedNode) state() (url string, troubledAt time.Time, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.url, n.troubledAt, n.cut
}

// call sends requests of their own identities, whether or not earlier ones were answered, until done is
// closed.
func (r *partitionRun) call(node *partitionedNode, path string, done <-chan struct{}) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for number := 0; ; number++ {
		select {
		case <-done:
			return
		case <-time.After(callPeriod):
		}
		requests.Go(func() { r.send(node, path, fmt.Sprintf("%s%s-%d", node.name, path, number)) })
	}
}

// send sends one request and records its result.
func (r *partitionRun) send(node *partitionedNode, path, id string) {
	url, troubledAt, cut := node.state()
	request := &sentRequest{id: id, node: node, path: path, began: time.Now()}
	request.status = post(url, path, id)
	_, troubledAfter, cutAfter := node.state()
	request.settled = troubledAt.Equal(troubledAfter) && cut == cutAfter && request.began.Sub(troubledAt) > contactTime
	request.cutOff = cut && cutAfter
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sent = append(r.sent, request)
}

// post sends a request with an ID, by a client that leaves after responseTime.
func post(url, path, id string) int {
	model := ""
	if path == "/s/x" {
		model = "a"
	}
	return standin.PostAs(id, responseTime, url, path, model)
}

// judge checks the answers against what the servers ran.
func (r *partitionRun) judge(t *testing.T) {
	// Requests that were sent by then end.
	time.Sleep(responseTime)
	runs := map[string]int{}
	for _, engine := range r.deployment.engines {
		for _, run := range engine.Runs() {
			runs[run.ID]++
		}
		Expect(engine.CapacityViolations()).To(BeZero())
	}
	served, all := map[bool]int{}, map[bool]int{}
	for _, request := range r.sent {
		if request.path == "/p/x" {
			Expect(runs[request.id]).To(BeNumerically("<=", 1), "%s ran twice", request.id)
		}
		if request.status == http.StatusServiceUnavailable {
			Expect(runs[request.id]).To(BeZero(), "%s was refused and ran", request.id)
		}
		if request.settled {
			all[request.cutOff]++
			if request.status == http.StatusOK {
				served[request.cutOff]++
			}
		}
	}
	t.Logf("cut off: %d of %d served; others: %d of %d", served[true], all[true], served[false], all[false])
	const slack = 10
	if all[true] > 0 && all[false] > 0 {
		least := 2.0 / 3 * float64(served[false]) / float64(all[false]) * float64(all[true])
		Expect(float64(served[true] + slack)).To(BeNumerically(">=", least))
	}
}
