package main

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/platform/standin"
)

// A server said in an answer that it leaves while the store was away, so that its record
// went on to say that it is ready. The node passed the answer on and sent the server three
// more requests, the last 3.0 s later, of which none may be later than 2.0 s. It had read
// nothing of the answer but its status and load, and knew of a server's leaving by the
// record alone. What settled it: each of the three was sent within 0.24 ms of its coming,
// with "able":3,"candidates":3, and no line "server state" told of the server for 12 s.
func TestServerThatSaysThatItLeavesGetsNoMoreRequests(t *testing.T) {
	RegisterTestingT(t)
	d := newDeployment(t)
	leaving := standin.NewEngine("i-leaves")
	d.add(t, leaving, "plain")
	callers, _ := d.start(t, "x")
	Eventually(func() int {
		standin.Post(callers, "/p/x", "")
		return leaving.RequestCount()
	}, "30s").Should(BeNumerically(">", 0))
	// Its record can't tell any more.
	d.store.SetFaults(keyvalue.Faults{Outage: true})
	before := leaving.RequestCount()
	leaving.SetFaults(standin.EngineFaults{Leaving: true})
	Eventually(func() int {
		standin.Post(callers, "/p/x", "")
		return leaving.RequestCount()
	}, "30s").Should(Equal(before + 1))
	for range 60 {
		Expect(standin.Post(callers, "/p/x", "")).To(Equal(http.StatusOK))
	}
	Expect(leaving.RequestCount()).To(Equal(before + 1))
}

// Both servers that hold a model turned a node away and asked it for 3 s of rest, in which
// they got 3 and 7 requests from it. The node did not read the time: it left such a server
// alone for 300 ms, and for the one model only, so each request went to both servers in turn
// up to four times, and requests for other models at once. What settled it: 111 attempts
// that failed with "reason":"refused","again":true, those of one request 316 ms apart,
// until "retry_budget_spent"; each told "server_running":0, so that the servers that wanted
// nothing looked like the least loaded ones.
func TestServersThatAskForAPauseGetNothingMeanwhile(t *testing.T) {
	RegisterTestingT(t)
	d := newDeployment(t)
	callers, _ := d.start(t, "x")
	Eventually(func() int { return standin.Post(callers, "/s/x", "a/a1") }, "30s").Should(Equal(http.StatusOK))
	before := map[*standin.Engine]int{}
	for _, engine := range d.engines {
		before[engine] = engine.RequestCount()
		engine.SetFaults(standin.EngineFaults{Full: true, RetryAfter: "600"})
	}
	for i := range 40 {
		Expect(standin.Post(callers, "/s/x", []string{"a", "a/a1"}[i%2])).To(Equal(http.StatusServiceUnavailable))
		for _, engine := range d.engines {
			Expect(engine.RequestCount()-before[engine]).To(BeNumerically("<=", 1), engine.ID)
		}
	}
}
