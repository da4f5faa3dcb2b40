package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/planner"
)

// waitingFor adds a request to the row that has waited for age.
func waitingFor(row planner.Row, age time.Duration) planner.Row {
	row = waiting(row, 1)
	row.Demand.OldestWait = start.Add(-age)
	return row
}

// oneStartStore returns a store that allows one load to start now.
func oneStartStore() planner.Store {
	return planner.Store{Known: true, Starts: 1, WeightStoreStatus: outside.WeightStoreStatus{FullSpeedLoads: 1}}
}

func loadedModels(plan planner.Plan) []string {
	var loaded []string
	for _, decision := range plan.Decisions {
		if decision.Action == planner.ActionLoad {
			loaded = append(loaded, decision.Model)
		}
	}
	return loaded
}

var _ = DescribeTable("The store's next start goes to", func(rows []planner.Row, servers []planner.Server, expected ...string) {
	snapshot := &planner.Snapshot{Now: start, Rows: rows, Servers: servers, Store: oneStartStore()}
	Expect(loadedModels(mustPolicy(planner.PolicyHatchplank).Plan(snapshot))).To(ConsistOf(expected))
},
	Entry("the row with the longest wait", []planner.Row{
		waitingFor(model("a", 1, 10*gigabyte), time.Second), waitingFor(model("b", 1, 10*gigabyte), time.Minute),
	}, []planner.Server{server("lm-1", 100*gigabyte)}, "b"),
	Entry("the fastest load among equal waits", []planner.Row{
		waitingFor(model("a", 1, 10*gigabyte), time.Second), waitingFor(model("b", 1, 80*gigabyte), time.Second),
	}, []planner.Server{server("lm-1", 100*gigabyte)}, "a"),
	Entry("no row with a replica while a cold one waits for memory", []planner.Row{
		running(waitingFor(model("a", 2, 10*gigabyte), time.Minute), 9), waitingFor(model("b", 1, 60*gigabyte), time.Second),
		model("c", 1, 70*gigabyte),
	}, []planner.Server{
		server("lm-1", 80*gigabyte, ready("c", "1", 0, 70*gigabyte)), server("lm-2", 20*gigabyte, ready("a", "1", 0, 10*gigabyte)),
		server("lm-3", 20*gigabyte),
	}),
)

// running adds running requests, so that the row needs more than a batch.
func running(row planner.Row, requests int) planner.Row {
	row.Demand.Running = requests
	return row
}
