package engine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
)

var _ = Describe("orders", func() {
	DescribeTable("the fence", func(fence outside.Fence, incarnation outside.Incarnation, reason string) {
		b := newBench(nil)
		b.engine.Order(outside.Order{Fence: outside.Fence{Epoch: 2, Sequence: 5}})
		result := b.engine.Order(outside.Order{
			Fence: fence, Incarnation: incarnation, Commands: []outside.Command{load("m", "a")},
		})
		Expect(result.Accepted).To(Equal(reason == ""))
		Expect(result.Reason).To(Equal(reason))
		Expect(b.state().Replicas).To(HaveLen(map[bool]int{true: 1}[reason == ""]))
	},
		Entry("higher sequence", outside.Fence{Epoch: 2, Sequence: 6}, outside.Incarnation(""), ""),
		Entry("higher epoch", outside.Fence{Epoch: 3}, outside.Incarnation("boot-1"), ""),
		Entry("equal", outside.Fence{Epoch: 2, Sequence: 5}, outside.Incarnation(""), engine.ReasonStaleFence),
		Entry("lower epoch", outside.Fence{Epoch: 1, Sequence: 9}, outside.Incarnation(""), engine.ReasonStaleFence),
		Entry("other incarnation", outside.Fence{Epoch: 3}, outside.Incarnation("boot-2"), engine.ReasonOtherIncarnation),
	)

	DescribeTable("commands that are not accepted", func(reason string, commands ...outside.Command) {
		result := newBench(nil).order(commands...)
		last := result.Outcomes[len(result.Outcomes)-1]
		Expect(last).To(Equal(outside.CommandOutcome{Reason: reason}))
	},
		Entry("second attempt", engine.ReasonAlreadyLoaded, load("m", "a"), load("m", "b")),
		Entry("load while unloading", engine.ReasonAlreadyLoaded, load("m", "a"), unload("m", "a"), load("m", "b")),
		Entry("an attempt used before", engine.ReasonAttemptEnded, load("m", "a"), load("n", "a")),
		Entry("unload of another attempt", engine.ReasonNoSuchAttempt, load("m", "a"), unload("m", "b")),
		Entry("unload of nothing", engine.ReasonNoSuchAttempt, unload("m", "a")),
		Entry("adapter without base", engine.ReasonNoBase, loadAdapter("m", "x", "a")),
		Entry("adapter on unloading base", engine.ReasonNoBase, load("m", "a"), unload("m", "a"), loadAdapter("m", "x", "b")),
		Entry("second adapter attempt", engine.ReasonAlreadyLoaded, load("m", "a"), loadAdapter("m", "x", "b"), loadAdapter("m", "x", "c")),
		Entry("no memory given", engine.ReasonBadCommand, outside.Command{Kind: outside.CommandLoadModel, Model: "m", Attempt: "a"}),
		Entry("unknown role", engine.ReasonBadCommand, outside.Command{Kind: outside.CommandSetRole, Role: "x"}),
	)

	DescribeTable("a load takes its source's time", func(source outside.CheckpointSource, expected time.Duration) {
		b := newBench(func(config *engine.Config) {
			config.RemoteBytesPerSecond, config.DiskBytesPerSecond, config.HostBytesPerSecond = gigabyte, 5*gigabyte, 20*gigabyte
			config.InitTime = time.Second
		})
		if source != outside.SourceRemote {
			b.engine.SeedCheckpoint("m", "1", source, 10*gigabyte)
		}
		b.order(load("m", "a"))
		b.loop.RunFor(expected - time.Millisecond)
		Expect(b.state().Replicas[0].Phase).To(Equal(outside.ReplicaLoading))
		b.loop.RunFor(2 * time.Millisecond)
		Expect(b.state().Replicas[0].Phase).To(Equal(outside.ReplicaReady))
		Expect(b.state().Replicas[0].Source).To(Equal(source))
		Expect(b.state().Cached).To(ConsistOf(outside.CheckpointState{Name: "m", Version: "1", Source: outside.SourceMemory}))
	},
		Entry("remote", outside.SourceRemote, 11*time.Second),
		Entry("disk", outside.SourceDisk, 3*time.Second),
		Entry("memory", outside.SourceMemory, 1500*time.Millisecond),
	)

	It("records an overcommit instead of refusing it", func() {
		b := newBench(nil)
		for _, model := range []string{"a", "b", "c", "d", "e", "f"} {
			b.order(load(model, outside.AttemptID(model)))
		}
		Expect(b.log.Events()).To(ContainElement(And(
			HaveField("Overcommitted", true), HaveField("UsedBytes", BeEquivalentTo(120*gigabyte)))))
		Expect(b.state().UsedBytes).To(BeEquivalentTo(120 * gigabyte))
	})

	It("frees memory on a failed load and forgets it with its unload", func() {
		b := newBench(nil)
		b.order(load("m", "a"), loadAdapter("m", "x", "x1"))
		b.loop.RunFor(2 * time.Second) // the adapter's bytes are there
		b.engine.SetFaults(engine.Faults{LoadFailure: 1})
		b.loop.RunFor(time.Minute)
		Expect(b.state().Replicas[0].Phase).To(Equal(outside.ReplicaFailed))
		Expect(b.state().UsedBytes).To(BeZero())
		Expect(b.order(unload("m", "a")).State.Replicas).To(BeEmpty())
		Expect(b.log.Count(record.KindLoadFailed)).To(BeEquivalentTo(1))
		Expect(b.log.Count(record.KindAdapterLoadFailed)).To(BeEquivalentTo(1))
	})

	It("fails loads in a store outage", func() {
		loop := simulation.NewLoop(1)
		store := weights.NewStore(loop, weights.Config{LoadsPerSecond: 1})
		b := newBench(func(config *engine.Config) { config.Remote = store })
		b.order(load("m", "a"))
		store.SetOutage(true)
		Expect(b.state().Replicas[0].Phase).To(Equal(outside.ReplicaFailed))
	})

	It("makes an adapter ready after its base", func() {
		b := newBench(nil)
		b.order(load("m", "a"), loadAdapter("m", "x", "x1"))
		b.loop.RunFor(2 * time.Second)
		Expect(b.state().Replicas[0].Adapters[0].Phase).To(Equal(outside.ReplicaLoading))
		b.loop.RunFor(time.Minute)
		Expect(b.state().Replicas[0].Adapters[0].Phase).To(Equal(outside.ReplicaReady))
		Expect(b.order(unload("m", "a")).State.UsedBytes).To(BeEquivalentTo(21 * gigabyte))
		b.loop.RunFor(time.Minute)
		Expect(b.state().UsedBytes).To(BeZero())
	})

	It("forgets all but its disk when it restarts", func() {
		b := loaded(nil)
		b.engine.SetLeaving(b.loop.Now())
		before := b.state()
		b.engine.Kill()
		Expect(b.engine.State(0)).To(BeNil())
		Expect(b.order().Reason).To(Equal(engine.ReasonDown))
		b.engine.Restart(engine.RestartOptions{KeepDisk: true})
		after := b.state()
		Expect(after.Incarnation).NotTo(Equal(before.Incarnation))
		Expect(after.Version).To(BeNumerically(">", before.Version))
		Expect(after.Fence).To(Equal(outside.Fence{}))
		Expect(after.Leaving).To(BeFalse())
		Expect(after.Replicas).To(BeEmpty())
		Expect(after.Cached).To(ConsistOf(outside.CheckpointState{Name: "m", Version: "1", Source: outside.SourceDisk}))
		Expect(b.engine.State(after.Version)).To(BeNil())
	})

	It("counts loaded and idle accelerator seconds", func() {
		b := newBench(func(config *engine.Config) { config.RemoteBytesPerSecond, config.InitTime = gigabyte, -1 })
		command := load("m", "a")
		command.MemoryBytes = 30 * gigabyte // two of four accelerators
		b.order(command)
		b.loop.RunFor(110 * time.Second)
		sink, _ := b.generate("1", body("hello", 100), nil)
		b.loop.RunFor(100 * time.Second)
		busy := sink.endedAt.Sub(simulation.Epoch.Add(110 * time.Second)).Seconds()
		usage := b.engine.Usage()[0]
		Expect(usage.LoadingAcceleratorSeconds).To(BeNumerically("~", 20, 0.001))
		Expect(usage.LoadedAcceleratorSeconds).To(BeNumerically("~", 400, 0.001))
		Expect(usage.IdleAcceleratorSeconds).To(BeNumerically("~", 400-2*busy, 0.001))
	})
})
