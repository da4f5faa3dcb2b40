package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/table"
	"github.com/hatchplank/hatchplank/internal/tablestore"
)

// crowd measures the calls that several gateways make to the engines.
type crowd struct {
	world *World
	// outstanding attempts at the engines, and their highest number.
	outstanding, peak int
	// attempts that arrived, and those refused for want of room.
	attempts, busy int
	served         int
	refused        map[result.Code]int
	// firstAnswers are the times from sending to the first piece of an answer.
	firstAnswers []float64
	lastEnd      time.Time
	sent         int
}

// newCrowd starts a deployment whose table has been imported.
func newCrowd(seed uint64, nodes int, change func(*Deployment)) *crowd {
	options := miniatureOptions(seed)
	options.Nodes = nodes
	change(&options.Deployment)
	c := &crowd{world: NewWorld(options), refused: map[result.Code]int{}}
	c.world.Loop.RunFor(2 * time.Second)
	c.world.Import(nil)
	c.world.Loop.RunFor(warmUp - 2*time.Second)
	c.world.observer = c.observe
	return c
}

func (c *crowd) observe(event record.Event) {
	switch event.Kind {
	case record.KindGenerationReceived:
		c.attempts++
		c.outstanding++
	case record.KindGenerationRefused:
		c.outstanding--
		if event.Reason == "busy" {
			c.busy++
		}
	case record.KindGenerationCompleted, record.KindGenerationCancelled, record.KindGenerationTruncated:
		c.outstanding--
	}
	c.peak = max(c.peak, c.outstanding)
}

// generation builds a request of some tokens for a row.
func (c *crowd) generation(row table.Row, prompt string, tokens int) gateway.Request {
	c.sent++
	return gateway.Request{
		Tenant: row.Tenant, Model: row.Name, Method: "POST", Path: "/v1/completions", ContentType: "application/json",
		Body:   fmt.Appendf(nil, `{"model":%q,"prompt":"%s %d","max_tokens":%d,"stream":true}`, row.Name, prompt, c.sent, tokens),
		Prefix: []byte(prompt), Priority: 5, Repeatable: true,
	}
}

// send sends a request to a node and counts its end.
func (c *crowd) send(node int, request gateway.Request, limit time.Duration) {
	c.world.calls.send(c.world.Nodes[node], request, limit, func(ended EndedCall) {
		c.lastEnd = ended.EndedAt
		if !ended.Served {
			c.refused[ended.Refusal.Code]++
			return
		}
		c.served++
		c.firstAnswers = append(c.firstAnswers, ended.FirstAt.Sub(ended.SentAt).Seconds())
	})
}

var _ = Describe("several gateways", func() {
	DescribeTable("that find a replica ready at the same moment don't overrun it",
		func(waiting []int, most int) {
			c := newCrowd(1, len(waiting), func(d *Deployment) { d.Rows[1].MaxReplicas = 1 })
			begin := c.world.Loop.Now()
			row := c.world.Options.Deployment.Rows[1]
			total := 0
			for node, count := range waiting {
				total += count
				for range count {
					c.send(node, c.generation(row, strings.Repeat("dossier ", 20), 64), time.Minute)
				}
			}
			c.world.Loop.RunFor(time.Minute)
			fmt.Fprintf(GinkgoWriter, "waiting %v: %d served of %d, at most %d at the engine, %d attempts, %d busy, refused %v, last after %.2f s\n",
				waiting, c.served, total, c.peak, c.attempts, c.busy, c.refused, c.lastEnd.Sub(begin).Seconds())
			Expect(c.served).To(Equal(total))
			Expect(c.peak).To(BeNumerically("<=", most))
			Expect(c.busy).To(BeZero())
		},
		// A batch of 32 with a slack of a quarter is 40 places.
		// Shared by six that is 7 each.
		Entry("with the same demand", []int{60, 60, 60, 60, 60, 60}, 42),
		Entry("with most demand at one", []int{200, 4, 4, 4, 4, 4}, 42),
		Entry("with demand at one only", []int{200, 0, 0, 0, 0, 0}, 40),
	)
})

// retried is the number of attempts that failed and were repeated.
func (c *crowd) retried() (retried uint64) {
	for _, n := range c.world.Nodes {
		retried += n.Node.Gateway.Stats().Retried
	}
	return retried
}

// trickle sends requests for all rows from all nodes, each row and node at a
// mean rate per second, until a time.
func (c *crowd) trickle(rate float64, until time.Time, limit time.Duration) {
	random := c.world.Loop.Fork()
	for node := range c.world.Nodes {
		for _, row := range c.world.Options.Deployment.Rows {
			var next func()
			next = func() {
				if c.world.Loop.Now().After(until) {
					return
				}
				c.send(node, c.generation(row, "dossier", 16), limit)
				c.world.Loop.AfterFunc(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
			}
			next()
		}
	}
}

var _ = Describe("a dead engine", func() {
	It("is found once for all its models", func() {
		c := newCrowd(2, 4, func(d *Deployment) {
			d.Engines = 2
			d.Engine.Accelerators, d.Engine.MemoryBytes = 16, 400*gibibyte
			for i := range d.Rows {
				d.Rows[i].MinReplicas, d.Rows[i].Repeatable = 2, true
			}
		})
		c.world.Loop.RunFor(time.Minute)
		c.trickle(5, c.world.Loop.Now().Add(40*time.Second), 10*time.Second)
		c.world.Loop.RunFor(20 * time.Second)
		retriedBefore, sentBefore := c.retried(), c.sent
		c.world.Fleet.Host(c.world.EngineServers[0]).Kill()
		c.world.Loop.RunFor(time.Minute)
		wasted := c.retried() - retriedBefore
		fmt.Fprintf(GinkgoWriter, "kill: %d sent before and %d after, %d attempts wasted, refused %v\n",
			sentBefore, c.sent-sentBefore, wasted, c.refused)
		Expect(c.served).To(Equal(c.sent))
		// Each of 12 models' discovery at each of 4 nodes would cost 96.
		Expect(wasted).To(BeNumerically("<", 60))
	})
})

// isolate cuts a node off from the other nodes, the key-value service and the
// machine list, but not from engines and callers.
func (c *crowd) isolate(node string) {
	before := c.world.Network.Cut
	lost := map[string]bool{keyValueName: true, machinesName: true}
	for _, n := range c.world.Nodes {
		lost[n.Name] = true
	}
	c.world.Network.Cut = func(from, to string) bool {
		if from == node && lost[to] || to == node && lost[from] {
			return true
		}
		return before(from, to)
	}
}

// disableAll lets an operator forbid replicas of all models.
func (c *crowd) disableAll() {
	rows := slices.Clone(c.world.rows.Rows())
	for i := range rows {
		rows[i].MinReplicas, rows[i].MaxReplicas = 0, 0
	}
	edit := tablestore.Edit{Base: c.world.rows.Revision(), Changed: rows, Author: "operator"}
	c.world.propose(c.world.Nodes[0], edit, func(tablestore.Outcome) {})
}

var _ = DescribeTable("planned unloads under traffic",
	func(isolated bool) {
		unloads, cut, attempts := 0, 0, 0
		for seed := range uint64(4) {
			c := newCrowd(seed, 4, func(d *Deployment) {
				d.Engines = 2
				d.Engine.Accelerators, d.Engine.MemoryBytes = 16, 400*gibibyte
				for i := range d.Rows {
					d.Rows[i].MinReplicas, d.Rows[i].Repeatable = 1, true
				}
			})
			c.world.observer = func(event record.Event) {
				c.observe(event)
				switch {
				case event.Kind == record.KindUnloadStarted:
					unloads++
				case event.Kind == record.KindGenerationTruncated && event.Reason == "unloaded":
					cut++
				}
			}
			c.world.Loop.RunFor(time.Minute)
			c.trickle(0.25, c.world.Loop.Now().Add(3*time.Minute), 20*time.Second)
			c.world.Loop.RunFor(10 * time.Second)
			if isolated {
				c.isolate(c.world.Nodes[3].Name)
			}
			c.world.Loop.RunFor(20 * time.Second)
			c.disableAll()
			c.world.Loop.RunFor(4 * time.Minute)
			attempts += c.attempts
			ended := c.served
			for _, count := range c.refused {
				ended += count
			}
			Expect(ended).To(Equal(c.sent))
		}
		fmt.Fprintf(GinkgoWriter, "unloads: isolated %v: %d, %d streams cut off, %d attempts\n", isolated, unloads, cut, attempts)
		Expect(unloads).To(BeNumerically(">=", 40))
		if !isolated {
			Expect(cut).To(BeZero())
		}
	},
	Entry("cut nothing off while the gateways can be told", false),
	// See docs/design/routing.md for why this is not zero.
	Entry("are made although a gateway can't be told", true),
)

// prefixUse counts what the engines' prefix caches spared; it is the responder
// of all requests of a measurement.
type prefixUse struct {
	cached, prompt, refused int
}

// Chunk implements gateway.Responder.
func (*prefixUse) Chunk(outside.Chunk) {}

// Finish implements gateway.Responder.
func (u *prefixUse) Finish(answer gateway.Answer) {
	u.cached += answer.End.Usage.CachedTokens
	u.prompt += answer.End.Usage.PromptTokens
}

// Refuse implements gateway.Responder.
func (u *prefixUse) Refuse(result.Refusal) { u.refused++ }

// measurePrefixes sends requests whose prompts begin with one of more prefixes
// than one replica's cache can hold, to a model with two replicas.
func measurePrefixes(affinity bool) *prefixUse {
	const prefixes, prefixBytes, period = 240, 3000, 50 * time.Millisecond
	c := newCrowd(1, 4, func(d *Deployment) { d.Rows[1].MinReplicas = 2 })
	c.world.Loop.RunFor(time.Minute)
	row := c.world.Options.Deployment.Rows[1]
	random := c.world.Loop.Fork()
	use := &prefixUse{}
	for range int(2 * time.Minute / period) {
		prefix := strings.Repeat(fmt.Sprintf("%08x", random.IntN(prefixes)), prefixBytes/8)
		request := c.generation(row, prefix, 32)
		request.ID = fmt.Sprintf("prefix-%d", c.sent)
		request.Accepted = c.world.Loop.Now()
		request.Deadline = request.Accepted.Add(time.Minute)
		request.Prefix = nil
		if affinity {
			request.Prefix = []byte(prefix)
		}
		target := c.world.Nodes[random.IntN(len(c.world.Nodes))]
		target.Process.Run(func() { target.Node.Gateway.Submit(request, use) })
		c.world.Loop.RunFor(period)
	}
	c.world.Loop.RunFor(time.Minute)
	return use
}

var _ = Describe("prefix affinity", func() {
	It("finds many more prompts in the engines' caches", func() {
		without, with := measurePrefixes(false), measurePrefixes(true)
		fmt.Fprintf(GinkgoWriter, "prefixes: without affinity %d of %d tokens cached, with it %d of %d\n",
			without.cached, without.prompt, with.cached, with.prompt)
		Expect(without.refused + with.refused).To(BeZero())
		Expect(with.cached).To(BeNumerically(">", without.cached*9/5))
	})
})

var _ = Describe("a gateway whose clock is behind", func() {
	It("gets its requests served like any other", func() {
		c := newCrowd(1, 4, func(d *Deployment) {
			for i := range d.Rows {
				d.Rows[i].MinReplicas, d.Rows[i].Repeatable = 1, true
			}
		})
		behind := c.world.Nodes[3]
		behind.driftOffset = -5 * time.Second
		behind.Kill()
		behind.Start()
		c.world.Loop.RunFor(time.Minute)
		row := c.world.Options.Deployment.Rows[1]
		for range 20 {
			c.send(3, c.generation(row, "dossier", 16), 3*time.Second)
			c.world.Loop.RunFor(time.Second)
		}
		c.world.Loop.RunFor(5 * time.Second)
		fmt.Fprintf(GinkgoWriter, "clock behind: %d of 20 served, refused %v, %d attempts\n", c.served, c.refused, c.attempts)
		Expect(c.served).To(Equal(20))
	})
})
