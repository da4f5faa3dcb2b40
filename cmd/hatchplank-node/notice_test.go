package main

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/platform/standin"
)

// Guards against ignoring a leaving notice in a response. A server reported that it leaves while
// the store was unavailable, so its record still said ready. The node took only status and load
// from the response and learned of drains from records alone; it sent three more requests, the
// last 3.0 s later, while 2.0 s are allowed. Each was sent within 0.24 ms of acceptance, with
// 3 eligible servers and 3 candidates, and the node's log showed no change of the server's state
// for 12 s.
func TestServerThatReportsLeavingGetsNoMoreRequests(t *testing.T) {
	RegisterTestingT(t)
	d := newDeployment(t)
	leaving := standin.NewEngine("i-leaves")
	d.add(t, leaving, "plain")
	url, _ := d.start(t, "x")
	Eventually(func() int {
		standin.Post(url, "/p/x", "")
		return leaving.RequestCount()
	}, "30s").Should(BeNumerically(">", 0))
	// Its record can no longer be updated.
	d.store.SetFaults(keyvalue.Faults{Outage: true})
	before := leaving.RequestCount()
	leaving.SetFaults(standin.EngineFaults{Leaving: true})
	Eventually(func() int {
		standin.Post(url, "/p/x", "")
		return leaving.RequestCount()
	}, "30s").Should(Equal(before + 1))
	for range 60 {
		Expect(standin.Post(url, "/p/x", "")).To(Equal(http.StatusOK))
	}
	Expect(leaving.RequestCount()).To(Equal(before + 1))
}

// Guards against ignoring Retry-After. Both servers of a model refused requests with a Retry-After
// of 3 s and received 3 and 7 more requests from the node within it. The node backed off for a
// fixed 300 ms, and for the one model only: each request went to both servers in turn up to four
// times, 316 ms apart (111 refused attempts, until the retry budget was spent), and requests for
// other models were sent at once. The refusals reported 0 running requests, so the servers also
// looked least loaded.
func TestServersGetNoRequestsDuringTheirRetryAfter(t *testing.T) {
	RegisterTestingT(t)
	d := newDeployment(t)
	url, _ := d.start(t, "x")
	Eventually(func() int { return standin.Post(url, "/s/x", "a/a1") }, "30s").Should(Equal(http.StatusOK))
	before := map[*standin.Engine]int{}
	for _, engine := range d.engines {
		before[engine] = engine.RequestCount()
		engine.SetFaults(standin.EngineFaults{Full: true, RetryAfter: "600"})
	}
	for i := range 40 {
		Expect(standin.Post(url, "/s/x", []string{"a", "a/a1"}[i%2])).To(Equal(http.StatusServiceUnavailable))
		for _, engine := range d.engines {
			Expect(engine.RequestCount()-before[engine]).To(BeNumerically("<=", 1), engine.ID)
		}
	}
}
