package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/planner"
	"github.com/hatchplank/hatchplank/internal/table"
)

func TestPlanner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "planner")
}

const gigabyte = 1_000_000_000

var start = time.Date(2026, time.January, 1, 8, 0, 0, 0, time.UTC)

func mustPolicy(name string) planner.Policy {
	policy, err := planner.New(name, planner.Parameters{ColdStartWeight: 0.7})
	Expect(err).NotTo(HaveOccurred())
	return policy
}

func model(name string, maximum int, memory int64) planner.Row {
	return planner.Row{
		Row: table.Row{
			Name: name, Kind: table.KindModel, Version: "1", Tenant: "group-a", Weight: 1,
			WeightBytes: memory * 3 / 4, MemoryBytes: memory, MaxReplicas: maximum,
		},
		Max: maximum,
	}
}

func adapter(name, base string, maximum int, memory int64) planner.Row {
	row := model(name, maximum, memory)
	row.Kind, row.Base = table.KindAdapter, base
	return row
}

func server(id string, memory int64, replicas ...planner.Replica) planner.Server {
	result := planner.Server{ID: outside.ServerID(id), MemoryBytes: memory, MaxBatch: 8, Usable: true, Replicas: replicas}
	for _, replica := range replicas {
		result.CommittedBytes += replica.MemoryBytes
	}
	return result
}

func ready(model, version string, slot outside.SlotID, memory int64) planner.Replica {
	return planner.Replica{
		Model: model, Version: version, Slot: slot, Attempt: outside.AttemptID("load-" + model), Phase: outside.ReplicaReady,
		MemoryBytes: memory, Since: start.Add(-time.Hour),
	}
}

func waiting(row planner.Row, requests int) planner.Row {
	row.Demand = planner.Demand{Waiting: requests, OldestWait: start.Add(-time.Second), EarliestDeadline: start.Add(time.Minute)}
	return row
}

var _ = Describe("Policies", func() {
	for _, name := range planner.PolicyNames {
		It(name+" breaks no rule in any state, and the verifier agrees", func() {
			policy := mustPolicy(name)
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				snapshot := drawSnapshot(t)
				plan := policy.Plan(snapshot)
				checkPlan(t, snapshot, plan)
				verifier := planner.NewVerifier(snapshot)
				for _, decision := range plan.Decisions {
					if err := verifier.Admit(decision); err != nil {
						t.Fatal(err)
					}
				}
			})
		})
	}

	It("rejects unknown names and weights", func() {
		_, err := planner.New("best", planner.Parameters{})
		Expect(err).To(HaveOccurred())
		_, err = planner.New(planner.PolicyHatchplank, planner.Parameters{ColdStartWeight: 1.5})
		Expect(err).To(HaveOccurred())
	})
})

var _ = DescribeTable("Verifier refuses", func(rule planner.Rule, change func(*planner.Snapshot, *planner.Decision)) {
	snapshot := &planner.Snapshot{
		Rows:    []planner.Row{model("a", 2, 10*gigabyte)},
		Servers: []planner.Server{server("lm-1", 20*gigabyte), server("lm-2", 20*gigabyte, ready("a", "1", 0, 10*gigabyte))},
	}
	decision := planner.Decision{Action: planner.ActionLoad, Server: "lm-1", Model: "a", Version: "1", Slot: 1, MemoryBytes: 10 * gigabyte}
	Expect(planner.NewVerifier(snapshot).Admit(decision)).To(Succeed())
	change(snapshot, &decision)
	err := planner.NewVerifier(snapshot).Admit(decision)
	var violation *planner.Violation
	Expect(err).To(BeAssignableToTypeOf(violation))
	Expect(err.(*planner.Violation).Rule).To(Equal(rule))
},
	Entry("an unknown row", planner.RuleKnownRow, func(_ *planner.Snapshot, d *planner.Decision) { d.Model = "b" }),
	Entry("an unusable server", planner.RuleUsableServer, func(s *planner.Snapshot, _ *planner.Decision) { s.Servers[0].Usable = false }),
	Entry("an unlisted server", planner.RuleUsableServer, func(_ *planner.Snapshot, d *planner.Decision) { d.Server = "lm-9" }),
	Entry("a leaving server", planner.RuleStayingServer, func(s *planner.Snapshot, _ *planner.Decision) { s.Servers[0].Leaving = true }),
	Entry("one replica beyond the maximum", planner.RuleMaxReplicas, func(s *planner.Snapshot, _ *planner.Decision) { s.Rows[0].Max = 1 }),
	Entry("one replica that a server in unknown state may hold", planner.RuleMaxReplicas, func(s *planner.Snapshot, _ *planner.Decision) { s.UnknownServers = 1 }),
	Entry("a held slot", planner.RuleFreeSlot, func(_ *planner.Snapshot, d *planner.Decision) { d.Slot = 0 }),
	Entry("a slot outside the allotment", planner.RuleFreeSlot, func(_ *planner.Snapshot, d *planner.Decision) { d.Slot = 2 }),
	Entry("memory beyond the total", planner.RuleMemory, func(s *planner.Snapshot, _ *planner.Decision) { s.Servers[0].CommittedBytes = 11 * gigabyte }),
	Entry("a second replica on a server", planner.RuleOnePerServer, func(_ *planner.Snapshot, d *planner.Decision) { d.Server = "lm-2" }),
	Entry("an unload of another attempt", planner.RuleAttempt, func(_ *planner.Snapshot, d *planner.Decision) {
		d.Action, d.Server, d.Attempt = planner.ActionUnload, "lm-2", "load-old"
	}),
)

// summary returns a decision as a short text.
func summary(decision planner.Decision) string {
	name := decision.Model
	if decision.Adapter != "" {
		name = decision.Adapter
	}
	return fmt.Sprintf("%s %s on %s: %s", decision.Action, name, decision.Server, decision.Reason)
}

var _ = DescribeTable("The hatchplank policy", func(snapshot *planner.Snapshot, expected ...string) {
	snapshot.Now = start
	var decisions []string
	for _, decision := range mustPolicy(planner.PolicyHatchplank).Plan(snapshot).Decisions {
		decisions = append(decisions, summary(decision))
	}
	Expect(strings.Join(decisions, "\n")).To(Equal(strings.Join(expected, "\n")))
},
	Entry("loads from the fastest source", &planner.Snapshot{
		Rows: []planner.Row{waiting(model("a", 1, 10*gigabyte), 1)},
		Servers: []planner.Server{
			server("lm-1", 20*gigabyte), withCache(server("lm-2", 20*gigabyte), "a", outside.SourceDisk),
			withCache(server("lm-3", 20*gigabyte), "a", outside.SourceMemory),
		},
	}, "load a on lm-3: waiting"),
	Entry("loads the base model together with its adapter", &planner.Snapshot{
		Rows:    []planner.Row{model("a", 1, 10*gigabyte), waiting(adapter("style", "a", 1, gigabyte), 2)},
		Servers: []planner.Server{server("lm-1", 20*gigabyte)},
	}, "load a on lm-1: waiting", "load_adapter style on lm-1: waiting"),
	Entry("evicts an idle row for a waiting one", &planner.Snapshot{
		Rows:    []planner.Row{waiting(model("a", 1, 15*gigabyte), 1), model("b", 1, 10*gigabyte)},
		Servers: []planner.Server{server("lm-1", 20*gigabyte, recentlyReady(ready("b", "1", 0, 10*gigabyte)))},
	}, "unload b on lm-1: make_room"),
	Entry("starts no load while the store has its full number of loads", &planner.Snapshot{
		Rows:    []planner.Row{waiting(model("a", 1, 10*gigabyte), 1)},
		Servers: []planner.Server{server("lm-1", 20*gigabyte)},
		Store:   planner.Store{Known: true, Starts: 3, WeightStoreStatus: outside.WeightStoreStatus{Active: 6, FullSpeedLoads: 6}},
	}),
	Entry("replaces a replica on a leaving server at once", &planner.Snapshot{
		Rows:    []planner.Row{withMin(model("a", 2, 10*gigabyte), 1)},
		Servers: []planner.Server{leaving(server("lm-1", 20*gigabyte, ready("a", "1", 0, 10*gigabyte))), server("lm-2", 20*gigabyte)},
	}, "unload a on lm-1: server_leaving", "load a on lm-2: replace_leaving"),
	Entry("loads the new version before it unloads the old one", &planner.Snapshot{
		Rows:    []planner.Row{withMin(model("a", 2, 10*gigabyte), 1)},
		Servers: []planner.Server{server("lm-1", 20*gigabyte, ready("a", "0", 0, 10*gigabyte)), server("lm-2", 20*gigabyte)},
	}, "load a on lm-2: version_change"),
	Entry("unloads the old version once the new one is ready", &planner.Snapshot{
		Rows: []planner.Row{withMin(model("a", 2, 10*gigabyte), 1)},
		Servers: []planner.Server{
			server("lm-1", 20*gigabyte, ready("a", "0", 0, 10*gigabyte)), server("lm-2", 20*gigabyte, ready("a", "1", 1, 10*gigabyte)),
		},
	}, "unload a on lm-1: version_change"),
	Entry("unloads a model whose row was removed", &planner.Snapshot{
		Servers: []planner.Server{server("lm-1", 20*gigabyte, ready("a", "1", 0, 10*gigabyte))},
	}, "unload a on lm-1: row_removed"),
	Entry("scales down to a lowered maximum", &planner.Snapshot{
		Rows: []planner.Row{withMin(model("a", 1, 10*gigabyte), 1)},
		Servers: []planner.Server{
			server("lm-1", 20*gigabyte, ready("a", "1", 0, 10*gigabyte)), server("lm-2", 20*gigabyte, ready("a", "1", 1, 10*gigabyte)),
		},
	}, "unload a on lm-1: over_maximum"),
)

func withCache(server planner.Server, name string, source outside.CheckpointSource) planner.Server {
	server.Cached = append(server.Cached, outside.CheckpointState{Name: name, Version: "1", Source: source})
	return server
}

func recentlyReady(replica planner.Replica) planner.Replica {
	replica.Since = start.Add(-time.Second)
	return replica
}

func leaving(server planner.Server) planner.Server {
	server.Leaving = true
	return server
}

func withMin(row planner.Row, minimum int) planner.Row {
	row.Min = minimum
	return row
}

var _ = Describe("Session starts", func() {
	// In each of three rounds the same five models are called; then three of them again.
	It("load the tenant's other models before their first call", func() {
		snapshot := &planner.Snapshot{Now: start, Statistics: planner.NewStatistics()}
		for round := range 3 {
			at := start.Add(time.Duration(round-4) * 40 * 24 * time.Hour).Add(time.Duration(round*round) * 24 * time.Hour)
			for i := range 5 {
				snapshot.Statistics.Observe(at.Add(time.Duration(i)*30*time.Second), fmt.Sprintf("model-%d", i), "group-a", 1)
			}
		}
		for i := range 6 {
			snapshot.Rows = append(snapshot.Rows, model(fmt.Sprintf("model-%d", i), 1, 10*gigabyte))
		}
		snapshot.Servers = []planner.Server{server("lm-1", 200*gigabyte)}
		plan := mustPolicy(planner.PolicyHatchplank).Plan(snapshot)
		Expect(plan.Decisions).To(BeEmpty())
		for i := range 3 {
			snapshot.Statistics.Observe(start, fmt.Sprintf("model-%d", i), "group-a", 1)
			snapshot.Rows[i] = waiting(snapshot.Rows[i], 1)
		}
		loaded := map[string]planner.Reason{}
		for _, decision := range mustPolicy(planner.PolicyHatchplank).Plan(snapshot).Decisions {
			loaded[decision.Model] = decision.Reason
		}
		Expect(loaded).To(Equal(map[string]planner.Reason{
			"model-0": planner.ReasonWaiting, "model-1": planner.ReasonWaiting, "model-2": planner.ReasonWaiting,
			"model-3": planner.ReasonForeseen, "model-4": planner.ReasonForeseen,
		}))
	})
})

var _ = Describe("Statistics", func() {
	It("are equal after encoding and decoding, and restored where nothing was observed yet", func() {
		before := planner.NewStatistics()
		for k := range 4 {
			before.Observe(start.Add(time.Duration(k)*24*time.Hour), "a", "group-a", 2)
		}
		before.ObserveLoad(outside.SourceRemote, 10*gigabyte, 20*time.Second)
		data, err := before.Encode()
		Expect(err).NotTo(HaveOccurred())
		decoded, err := planner.DecodeStatistics(data)
		Expect(err).NotTo(HaveOccurred())
		reencoded, err := decoded.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(reencoded).To(Equal(data))
		Expect(decoded.Row("a")).To(Equal(before.Row("a")))
		Expect(decoded.Tenant("group-a")).To(Equal(before.Tenant("group-a")))
		after := planner.NewStatistics()
		after.Observe(start, "b", "group-b", 1)
		after.Restore(decoded)
		Expect(after.Row("a")).To(Equal(before.Row("a")))
		Expect(after.Row("b").LastUsed).To(Equal(start))
	})

	It("can't be decoded from other data", func() {
		_, err := planner.DecodeStatistics([]byte("not gob"))
		Expect(err).To(HaveOccurred())
	})
})
