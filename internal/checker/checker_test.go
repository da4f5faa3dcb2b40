package checker_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/checker"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/table"
)

func TestChecker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "checker")
}

// at returns a time of the run.
func at(seconds float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
}

const node = "node-0#1"

// call sends a call at 1 s with a time limit of 10 s.
func call(c *checker.Checker) {
	c.Sent(checker.Call{RequestID: "r", Node: node, SentAt: at(1), Deadline: at(11)})
}

func refused(code result.Code, ran result.Ran, seconds float64) checker.CallOutcome {
	return checker.CallOutcome{At: at(seconds), Refusal: result.Refusal{Code: code, Ran: ran}}
}

// probe makes a change durable and acknowledges it, both at 10 s.
func probe(c *checker.Checker) {
	c.ChangeDurable("probe", "p", at(10), []string{node})
	c.Durable(2, "p")
	c.Acknowledged(1, 2, "p", at(10))
}

// unacknowledged makes a change durable at 10 s without acknowledging it, in an
// outage of the key-value service that lasts until 30 s.
func unacknowledged(c *checker.Checker) {
	c.KeyValueUnavailable(at(9.9))
	c.ChangeDurable("probe", "p", at(10), []string{node})
	c.Durable(2, "p")
	c.KeyValueRestored(at(30))
}

func load(c *checker.Checker, server outside.ServerID, seconds float64) {
	c.Observe(record.Event{Kind: record.KindLoadStarted, At: at(seconds), Server: server, Model: "m"})
}

func limit(c *checker.Checker, replicas int, seconds float64) {
	c.TableAccepted([]table.Row{{Name: "m", Kind: table.KindModel, MaxReplicas: replicas}}, at(seconds))
}

func announceLeaving(c *checker.Checker) {
	c.Observe(record.Event{Kind: record.KindMachinePhase, At: at(10), Server: "s", Phase: string(outside.MachineLeaving)})
}

func receiveWork(c *checker.Checker, seconds float64) {
	c.Observe(record.Event{Kind: record.KindGenerationReceived, At: at(seconds), Server: "s", Attempt: node + "/1"})
}

var _ = DescribeTable("The checker reports",
	func(promise checker.Promise, violations int, scenario func(*checker.Checker)) {
		c := checker.New(checker.DefaultLimits())
		scenario(c)
		report := c.Finish(at(100))
		Expect(report.Tallies[promise].Violations).To(BeEquivalentTo(violations))
		Expect(report.Violations()).To(BeEquivalentTo(violations))
		Expect(report.Tallies[promise].Checks).NotTo(BeZero())
	},
	Entry("nothing of a call answered at its deadline", checker.PromiseAnswered, 0, func(c *checker.Checker) {
		call(c)
		c.Ended("r", refused(result.DeadlinePassed, result.RanUnknown, 11))
	}),
	Entry("a late answer", checker.PromiseAnswered, 1, func(c *checker.Checker) {
		call(c)
		c.Ended("r", refused(result.DeadlinePassed, result.RanUnknown, 11.001))
	}),
	Entry("no late answer from a node that was paused at the deadline", checker.PromiseAnswered, 0, func(c *checker.Checker) {
		call(c)
		c.Paused(node, at(5))
		c.Resumed(node, at(20))
		c.Ended("r", refused(result.DeadlinePassed, result.RanUnknown, 20.001))
	}),
	Entry("an answer later than the pause allows", checker.PromiseAnswered, 1, func(c *checker.Checker) {
		call(c)
		c.Paused(node, at(5))
		c.Resumed(node, at(20))
		c.Ended("r", refused(result.DeadlinePassed, result.RanUnknown, 20.01))
	}),
	Entry("a late answer after a pause that was over in time", checker.PromiseAnswered, 1, func(c *checker.Checker) {
		call(c)
		c.Paused(node, at(5))
		c.Resumed(node, at(6))
		c.Ended("r", refused(result.DeadlinePassed, result.RanUnknown, 11.01))
	}),
	Entry("a call without an answer", checker.PromiseAnswered, 1, call),
	Entry("a second answer", checker.PromiseAnswered, 1, func(c *checker.Checker) {
		call(c)
		c.Ended("r", refused(result.QueueFull, result.RanUnknown, 2))
		c.Ended("r", refused(result.QueueFull, result.RanUnknown, 2))
	}),
	Entry("a run after a refusal as not run", checker.PromiseNotRun, 1, func(c *checker.Checker) {
		call(c)
		c.Ended("r", refused(result.QueueFull, result.RanNo, 2))
		c.Observe(record.Event{Kind: record.KindGenerationStarted, At: at(3), RequestID: "r"})
	}),
	Entry("a key that ran twice", checker.PromiseOnce, 1, func(c *checker.Checker) {
		c.Observe(record.Event{Kind: record.KindBackEndRun, At: at(3), Key: "k"})
		c.Observe(record.Event{Kind: record.KindGenerationStarted, At: at(4), Key: "k"})
	}),
	Entry("more replicas than allowed", checker.PromiseReplicas, 1, func(c *checker.Checker) {
		limit(c, 1, 0)
		load(c, "s", 20)
		load(c, "t", 21)
	}),
	Entry("a replica loaded long after the limit was lowered", checker.PromiseReplicas, 1, func(c *checker.Checker) {
		limit(c, 2, 0)
		limit(c, 1, 20)
		load(c, "s", 24)
		load(c, "t", 25.1)
	}),
	Entry("no replica loaded within the grace period after the limit was lowered", checker.PromiseReplicas, 0, func(c *checker.Checker) {
		limit(c, 2, 0)
		limit(c, 1, 20)
		load(c, "s", 24)
		load(c, "t", 25)
	}),
	Entry("memory committed beyond the capacity", checker.PromiseMemory, 1, func(c *checker.Checker) {
		c.Observe(record.Event{Kind: record.KindMemory, Overcommitted: true})
	}),
	Entry("work for a machine that the list shows as leaving", checker.PromiseLeaving, 1, func(c *checker.Checker) {
		announceLeaving(c)
		receiveWork(c, 15.1)
	}),
	Entry("no work for a machine that the list shows as leaving later", checker.PromiseLeaving, 0, func(c *checker.Checker) {
		c.MachineListLag(8*time.Second, at(5))
		announceLeaving(c)
		receiveWork(c, 22)
	}),
	Entry("work once the list's lag has ended", checker.PromiseLeaving, 1, func(c *checker.Checker) {
		c.MachineListLag(8*time.Second, at(5))
		announceLeaving(c)
		c.MachineListLag(0, at(12))
		receiveWork(c, 17.1)
	}),
	Entry("no work for a machine shown as leaving too shortly to be read before the lag grew", checker.PromiseLeaving, 0, func(c *checker.Checker) {
		announceLeaving(c)
		c.MachineListLag(8*time.Second, at(10.9))
		receiveWork(c, 22)
	}),
	Entry("work for a machine shown as leaving long enough before the lag grew", checker.PromiseLeaving, 1, func(c *checker.Checker) {
		announceLeaving(c)
		c.MachineListLag(8*time.Second, at(11.1))
		receiveWork(c, 15.1)
	}),
	Entry("no work that was delayed in transit", checker.PromiseLeaving, 0, func(c *checker.Checker) {
		announceLeaving(c)
		c.MessageDelay(3*time.Second, at(11))
		c.MessageDelay(0, at(14))
		receiveWork(c, 16.5)
	}),
	Entry("a call lost by a planned stop", checker.PromisePlannedStop, 1, func(c *checker.Checker) {
		call(c)
		c.PlannedStop(node, at(2))
		c.Ended("r", checker.CallOutcome{At: at(3), LostWithNode: true})
	}),
	Entry("a call refused because of a planned stop that began after its arrival", checker.PromisePlannedStop, 1, func(c *checker.Checker) {
		call(c)
		c.PlannedStop(node, at(2))
		c.Ended("r", refused(result.NodeDraining, result.RanUnknown, 3))
	}),
	Entry("a stream truncated by an unload", checker.PromisePlannedStop, 1, func(c *checker.Checker) {
		c.Observe(record.Event{Kind: record.KindGenerationTruncated, Reason: "unloaded"})
	}),
	Entry("an answer to another request", checker.PromiseOwnAnswer, 1, func(c *checker.Checker) {
		call(c)
		c.Ended("r", checker.CallOutcome{At: at(3), Served: true})
	}),
	Entry("a change applied too late", checker.PromiseTable, 1, func(c *checker.Checker) {
		probe(c)
		c.Probed("probe", node, true, at(15.1))
	}),
	Entry("a change that a node has not applied when its row is removed", checker.PromiseTable, 1, func(c *checker.Checker) {
		probe(c)
		c.Probed("probe", node, false, at(29))
		c.FinishChange("probe", at(30))
	}),
	Entry("no change applied soon after a partition", checker.PromiseTable, 0, func(c *checker.Checker) {
		c.Partitioned("node-0", at(5))
		probe(c)
		c.Reconnected("node-0", at(40))
		c.Probed("probe", node, true, at(44))
	}),
	Entry("no change delayed by a partition and a pause that follows it", checker.PromiseTable, 0, func(c *checker.Checker) {
		c.Partitioned("node-0", at(5))
		probe(c)
		c.Reconnected("node-0", at(20))
		c.Paused(node, at(24))
		c.Resumed(node, at(40))
		c.Probed("probe", node, true, at(44))
	}),
	Entry("a change applied too late after a partition and a pause", checker.PromiseTable, 1, func(c *checker.Checker) {
		c.Partitioned("node-0", at(5))
		probe(c)
		c.Reconnected("node-0", at(20))
		c.Paused(node, at(24))
		c.Resumed(node, at(40))
		c.Probed("probe", node, true, at(45.1))
	}),
	Entry("no unacknowledged change applied soon after a key-value outage", checker.PromiseTable, 0, func(c *checker.Checker) {
		unacknowledged(c)
		c.Probed("probe", node, true, at(35))
	}),
	Entry("an unacknowledged change applied too late after the outage", checker.PromiseTable, 1, func(c *checker.Checker) {
		unacknowledged(c)
		c.Probed("probe", node, true, at(35.1))
	}),
	Entry("an acknowledged change applied too late in an outage", checker.PromiseTable, 1, func(c *checker.Checker) {
		c.KeyValueUnavailable(at(10.1))
		probe(c)
		c.Probed("probe", node, true, at(15.1))
	}),
	Entry("a change that reverts", checker.PromiseTable, 1, func(c *checker.Checker) {
		probe(c)
		c.Probed("probe", node, true, at(11))
		c.Probed("probe", node, false, at(12))
	}),
	Entry("an acknowledged edit that is not durable", checker.PromiseTable, 1, func(c *checker.Checker) {
		c.Acknowledged(1, 2, "a", at(5))
	}),
	Entry("two edits accepted on one revision", checker.PromiseTable, 1, func(c *checker.Checker) {
		c.Durable(2, "a")
		c.Durable(3, "b")
		c.Acknowledged(1, 2, "a", at(5))
		c.Acknowledged(1, 3, "b", at(5))
	}),
	Entry("a rejected edit that is durable", checker.PromiseTable, 1, func(c *checker.Checker) {
		c.Durable(2, "a")
		c.Rejected("a")
	}),
)
