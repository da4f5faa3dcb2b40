package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/platform/standin"
)

const (
	// skewedRequests are sent in each phase by skewedCallers at a time, of which one in skewedOthers
	// is sent to another node than the one that gets most.
	skewedRequests, skewedCallers, skewedOthers = 400, 16, 10
	// minSkewedShare is the least share of first tries that are served, relative to an even spread.
	minSkewedShare = 0.75
)

// servedOnNewConnections sends requests, each on a connection of its own, to the nodes that a function
// chooses, and returns the share that is served.
func servedOnNewConnections(node func(number int) string) float64 {
	var next, served atomic.Int64
	var group sync.WaitGroup
	for range skewedCallers {
		group.Go(func() {
			for number := next.Add(1); number <= skewedRequests; number = next.Add(1) {
				path, model := "/p/x", ""
				if number%2 == 0 {
					path, model = "/s/x", "a"
				}
				if standin.PostOnNewConnection(responseTime, node(int(number)), path, model) == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	group.Wait()
	return float64(served.Load()) / skewedRequests
}

// Guards against a node that refuses requests because it gets most new connections of a zone, alone or
// while it reaches no server, or a server names a limit; and against its successor, once it has stopped.
func TestMostNewConnectionsToOneNodeAreServed(t *testing.T) {
	cases := map[string]func(d *deployment, links *serverLinks){
		"all in order":                     func(*deployment, *serverLinks) {},
		"a server names a limit":           func(d *deployment, _ *serverLinks) { d.engines[len(d.engines)-1].SetLimit("2") },
		"the node reaches no server: hang": func(_ *deployment, links *serverLinks) { links.cut(linkHangs) },
		"the node reaches no server":       func(_ *deployment, links *serverLinks) { links.cut(linkRefuses) },
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			d := newDeployment(t)
			for _, id := range []string{"i-7", "i-8", "i-limited"} {
				d.add(t, standin.NewEngine(id), "plain")
			}
			links := newServerLinks()
			busy, stop := d.startOn(t, "busy", links)
			nodes := append([]string{busy}, d.startAll(t, "x", "y")...)
			for _, node := range nodes {
				Eventually(func() int { return standin.Post(node, "/s/x", "a") }, "30s").Should(Equal(http.StatusOK))
			}
			even := servedOnNewConnections(func(number int) string { return nodes[number%len(nodes)] })
			Expect(even).To(BeNumerically(">", 0))
			skewedTo := func(most string, others []string) float64 {
				return servedOnNewConnections(func(number int) string {
					if number%skewedOthers == 0 {
						return others[number/skewedOthers%len(others)]
					}
					return most
				})
			}
			disturb(d, links)
			if links.state != connects {
				// A path counts as lost after some failed connections.
				Eventually(func() int { return standin.PostWithin(responseTime, busy, "/p/x", "") }, "30s").Should(Equal(http.StatusOK))
			}
			Expect(skewedTo(busy, nodes[1:])).To(BeNumerically(">=", minSkewedShare*even))
			stop()
			Expect(skewedTo(nodes[1], nodes[2:])).To(BeNumerically(">=", minSkewedShare*even))
		})
	}
}
