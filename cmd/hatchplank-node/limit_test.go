package main

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/platform/standin"
)

// A server may receive, in each limitWindow, toleratedShare times the requests that its limit
// allows, plus toleratedSlack.
const (
	limitWindow    = 4 * time.Second
	toleratedShare = 1.5
	toleratedSlack = 5
)

// maxArrivalsInWindow returns the highest number of arrivals in any window of limitWindow.
func maxArrivalsInWindow(arrivals []standin.Arrival) int {
	highest := 0
	for last := range arrivals {
		first := last
		for first > 0 && arrivals[last].At.Sub(arrivals[first-1].At) < limitWindow {
			first--
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// Guards against exceeding a server's advertised limit for all nodes together. Seven nodes that
// had received a limit of 1 request per second sent 12 and 13 requests in 4 s, of which 11 are
// tolerated: they did not read the notice, and preferred the server since it had few requests in
// flight (sent 0.24 and 0.37 s apart by one node, within 0.6 ms of acceptance, with 4
// candidates). Applying the limit at each node separately is not enough: seven nodes at 1 per
// second send 28 in 4 s.
func TestNodesTogetherKeepAServersAdvertisedLimit(t *testing.T) {
	RegisterTestingT(t)
	d := newDeployment(t)
	limited := standin.NewEngine("i-limited")
	d.add(t, limited, "plain")
	var nodes []string
	for _, name := range []string{"x", "y", "z"} {
		url, _ := d.start(t, name)
		nodes = append(nodes, url)
	}
	const perSecond = 0.5
	limited.SetLimit("0.5")
	for _, node := range nodes {
		// Each node receives the notice in a response to its own request.
		before := limited.RequestCount()
		for tries := 0; tries < 50 && limited.RequestCount() == before; tries++ {
			Eventually(func() int { return standin.Post(node, "/p/x", "") }, "30s").Should(Equal(http.StatusOK))
		}
	}
	observed := len(limited.Arrivals())
	Expect(observed).To(BeNumerically(">", 0))
	for i := range 600 {
		Expect(standin.Post(nodes[i%len(nodes)], "/p/x", "")).To(Equal(http.StatusOK))
	}
	Expect(maxArrivalsInWindow(limited.Arrivals()[observed:])).To(BeNumerically("<=", toleratedShare*perSecond*limitWindow.Seconds()+toleratedSlack))
}
