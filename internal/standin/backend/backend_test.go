package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/backend"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

func TestBackEnd(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Back-end stand-in")
}

func request(number int) outside.BackEndRequest {
	name := fmt.Sprintf("request-%d", number)
	return outside.BackEndRequest{Attempt: outside.AttemptID(name), Key: name, Body: []byte(name)}
}

var _ = ginkgo.Describe("Server", func() {
	var (
		loop     *simulation.Loop
		log      *record.Log
		server   *backend.Server
		outcomes []backend.Outcome
	)
	ginkgo.BeforeEach(func() {
		loop = simulation.NewLoop(1)
		log = record.NewLog()
		server = backend.NewServer(loop, backend.Config{Concurrency: 2, QueueLimit: 3, ServiceTime: time.Second}, log)
		outcomes = nil
	})
	serve := func(number int) func() {
		ginkgo.GinkgoHelper()
		abandon, err := server.Serve(request(number), func(outcome backend.Outcome) { outcomes = append(outcomes, outcome) })
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return abandon
	}

	ginkgo.It("runs a bounded number at once, queues some and refuses the rest", func() {
		for number := range 6 {
			serve(number)
		}
		gomega.Expect(outcomes).To(gomega.HaveLen(1))
		gomega.Expect(outcomes[0].Reason).To(gomega.Equal(backend.ReasonBusy))
		gomega.Expect(outcomes[0].Load).To(gomega.Equal(outside.LoadHint{Running: 2, Queued: 3}))
		for _, done := range []int{2, 4, 5} {
			loop.RunFor(time.Second)
			gomega.Expect(outcomes).To(gomega.HaveLen(1 + done))
		}
		gomega.Expect(log.Count(record.KindBackEndRun)).To(gomega.Equal(uint64(5)))
	})

	ginkgo.It("does not run a request that was abandoned while it waited", func() {
		serve(0)
		serve(1)
		abandon := serve(2)
		abandon()
		loop.RunFor(time.Minute)
		gomega.Expect(log.Count(record.KindBackEndRun)).To(gomega.Equal(uint64(2)))
	})

	ginkgo.It("goes on with a run whose caller is gone", func() {
		serve(0)()
		loop.RunFor(time.Minute)
		gomega.Expect(outcomes).To(gomega.HaveLen(1))
	})

	ginkgo.It("breaks everything in progress when it is killed, and starts afresh", func() {
		for number := range 4 {
			serve(number)
		}
		server.Kill()
		gomega.Expect(outcomes).To(gomega.HaveLen(4))
		_, err := server.Serve(request(9), nil)
		gomega.Expect(err).To(gomega.MatchError(backend.ErrDown))
		server.Restart()
		serve(5)
		loop.RunFor(time.Minute)
		gomega.Expect(outcomes).To(gomega.HaveLen(5))
		gomega.Expect(outcomes[4].Kind).To(gomega.Equal(backend.OutcomeAnswered))
		gomega.Expect(log.Count(record.KindBackEndRun)).To(gomega.Equal(uint64(3)))
	})

	ginkgo.It("finishes runs that hung once the fault ends", func() {
		server.SetFaults(backend.Faults{HangShare: 1})
		serve(0)
		loop.RunFor(time.Hour)
		gomega.Expect(outcomes).To(gomega.BeEmpty())
		server.SetFaults(backend.Faults{})
		loop.RunFor(time.Second)
		gomega.Expect(outcomes).To(gomega.HaveLen(1))
	})

	ginkgo.It("finishes its work while it leaves", func() {
		serve(0)
		server.SetLeaving(true)
		serve(1)
		loop.RunFor(time.Second)
		gomega.Expect(outcomes[0].Reason).To(gomega.Equal(backend.ReasonLeaving))
		gomega.Expect(outcomes[1].Kind).To(gomega.Equal(backend.OutcomeAnswered))
	})
})

// unreliableNetwork loses, repeats and delays messages.
func unreliableNetwork(t *rapid.T, loop *simulation.Loop) *simulation.Network {
	network := simulation.NewNetwork(loop)
	conditions := simulation.Conditions{
		Delay: time.Millisecond, Jitter: time.Millisecond,
		Loss:        rapid.Float64Range(0, 0.3).Draw(t, "loss"),
		Duplication: rapid.Float64Range(0, 0.3).Draw(t, "duplication"),
		Late:        rapid.Float64Range(0, 0.3).Draw(t, "late"), LateDelay: 200 * time.Millisecond,
	}
	network.ConditionsOf = func(string, string) simulation.Conditions { return conditions }
	return network
}

var _ = ginkgo.It("over any network and over deaths, an attempt ends once, runs once at most, and not at all if it says so", func() {
	rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
		loop := simulation.NewLoop(rapid.Uint64().Draw(t, "seed"))
		log := record.NewLog()
		server := backend.NewServer(loop, backend.Config{Concurrency: 2, QueueLimit: 4}, log)
		server.SetFaults(backend.Faults{RefuseShare: 0.1, LoseAnswerShare: 0.1, HangShare: 0.05})
		host := backend.Host{Server: server, Process: simulation.NewProcess(loop, "server")}
		service := backend.NewSimulated(unreliableNetwork(t, loop), simulation.NewProcess(loop, "client"),
			func(outside.ServerID) (backend.Host, bool) { return host, true })
		const calls = 50
		ends := map[string]int{}
		failures := map[string]error{}
		for number := range calls {
			call := request(number)
			loop.AfterFunc(time.Duration(number)*5*time.Millisecond, func() {
				call.Deadline = loop.Now().Add(100 * time.Millisecond)
				service.Call(call, func(_ outside.BackEndResponse, err error) {
					ends[call.Key]++
					failures[call.Key] = err
				})
			})
		}
		killAt := rapid.IntRange(0, 250).Draw(t, "killAt")
		loop.AfterFunc(time.Duration(killAt)*time.Millisecond, server.Kill)
		loop.AfterFunc(time.Duration(killAt+20)*time.Millisecond, server.Restart)
		loop.RunFor(time.Minute)

		runs := map[string]int{}
		for _, event := range log.Events() {
			if event.Kind == record.KindBackEndRun {
				runs[event.Key]++
			}
		}
		for number := range calls {
			key := request(number).Key
			checkCall(t, key, ends[key], runs[key], failures[key])
		}
	})
})

func checkCall(t *rapid.T, key string, ends, runs int, err error) {
	if ends != 1 {
		t.Fatalf("%s ended %d times", key, ends)
	}
	if runs > 1 {
		t.Fatalf("%s ran %d times", key, runs)
	}
	failure, failed := err.(*outside.AttemptError)
	if !failed && runs != 1 {
		t.Fatalf("%s was answered without a run", key)
	}
	if failed && failure.Ran == result.RanNo && runs != 0 {
		t.Fatalf("%s ran, but is told not to have run (%s)", key, failure.Reason)
	}
}
