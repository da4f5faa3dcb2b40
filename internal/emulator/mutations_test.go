package emulator

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/checker"
	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

// mutationSpan of faults in each run.
const mutationSpan = 2 * time.Minute

// mutationSeeds bounds how many seeds are tried, in order, until one shows that
// a mechanism is missing.
const mutationSeeds = 32

// withoutMechanism is one safety mechanism switched off.
type withoutMechanism struct {
	// promise that the checker must report as broken.
	promise checker.Promise
	// change switches the mechanism off.
	change func(*Options)
	// prepare, if set, arranges for faults that the mechanism is there for.
	prepare func(*World)
}

var _ = DescribeTable("the checker notices when a mechanism is missing:",
	func(without withoutMechanism) {
		for seed := range uint64(mutationSeeds) {
			options := miniatureOptions(seed)
			without.change(&options)
			report := runPrepared(options, mutationSpan, without.prepare).Report
			if report.Tallies[without.promise].Violations == 0 {
				continue
			}
			control := runPrepared(miniatureOptions(seed), mutationSpan, without.prepare).Report
			Expect(control.Violations()).To(BeZero(), "with the mechanism: %+v", control.Tallies)
			return
		}
		Fail("no violation of " + without.promise.String() + " was found")
	},
	Entry("reservation of memory before orders", withoutMechanism{
		promise: checker.PromiseMemory,
		change:  func(o *Options) { o.Mechanisms.ReserveBeforeOrder = false },
	}),
	Entry("release of slots on confirmation", withoutMechanism{
		promise: checker.PromiseMemory,
		change:  func(o *Options) { o.Mechanisms.ReleaseSlotOnConfirmation = false },
	}),
	Entry("drain before unload", withoutMechanism{
		promise: checker.PromisePlannedStop,
		change:  func(o *Options) { o.Mechanisms.DrainBeforeUnload = false },
	}),
	Entry("attempt identity on answers", withoutMechanism{
		promise: checker.PromiseOwnAnswer,
		change:  func(o *Options) { o.Disabled.AttemptIdentity = true },
		prepare: func(w *World) { w.Faults.Misrouted = 0.1 },
	}),
	Entry("claim before dispatch", withoutMechanism{
		promise: checker.PromiseOnce,
		change: func(o *Options) {
			o.WrapClaims = func(claimer claims.Claimer) claims.Claimer { return grantAll{claimer} }
		},
	}),
	Entry("read-back of ambiguous writes", withoutMechanism{
		promise: checker.PromiseTable,
		change:  func(o *Options) { o.Disabled.ReadBack = true },
		prepare: func(w *World) { w.KeyValue.SetFaults(keyvalue.Faults{LostReplies: 0.5}) },
	}),
	Entry("monotonicity of revisions", withoutMechanism{
		promise: checker.PromiseTable,
		change:  func(o *Options) { o.Disabled.RevisionMonotonicity = true },
		prepare: func(w *World) { w.Faults.Loss = 0.2 },
	}),
	Entry("margin before deadlines", withoutMechanism{
		promise: checker.PromiseAnswered,
		change:  func(o *Options) { o.Deployment.Settings.Deadlines.Margin = time.Nanosecond },
	}),
)

// grantAll grants every claim, whatever the claimer says.
type grantAll struct{ claims.Claimer }

// Claim implements claims.Claimer.
func (g grantAll) Claim(key claims.Key, attempt outside.AttemptID, digest uint64, deadline time.Time, done func(claims.Result)) {
	g.Claimer.Claim(key, attempt, digest, deadline, func(claims.Result) {
		done(claims.Result{Verdict: claims.Granted, Holder: attempt})
	})
}

var _ = DescribeTable("after a takeover, replicas stay within the limits only by",
	func(disturb func(w *World, owner *SimulatedNode), without func(*Options)) {
		Expect(takeover(func(*Options) {}, disturb).Violations()).To(BeZero())
		report := takeover(without, disturb)
		Expect(report.Tallies[checker.PromiseReplicas].Violations).NotTo(BeZero())
	},
	Entry("the fence, when orders of the owner before are still on their way",
		func(w *World, owner *SimulatedNode) {
			w.delayOrders(owner.Name, time.Minute)
			w.StartWorkload(DefaultWorkload(), w.Loop.Now().Add(2*time.Minute))
			w.Loop.RunFor(5 * time.Second)
			w.seedEverywhere()
			owner.Kill()
		},
		func(o *Options) { o.Mechanisms.Fence = false }),
	Entry("adoption, when engines that hold replicas do not answer",
		func(w *World, owner *SimulatedNode) {
			w.StartWorkload(DefaultWorkload(), w.Loop.Now().Add(3*time.Minute))
			w.Loop.RunFor(time.Minute)
			for _, server := range w.EngineServers[:len(w.EngineServers)/2] {
				w.pause(string(server), w.Fleet.Host(server).Process, 2*time.Minute)
			}
			owner.Kill()
		},
		func(o *Options) { o.Mechanisms.AdoptBeforeAct = false }),
)

// takeover disturbs a world whose rows allow one replica each, in a way that
// ends with the owner's death, and lets its successor act.
func takeover(change func(*Options), disturb func(w *World, owner *SimulatedNode)) checker.Report {
	options := miniatureOptions(1)
	for i := range options.Deployment.Rows {
		options.Deployment.Rows[i].MaxReplicas = 1
	}
	change(&options)
	w := NewWorld(options)
	w.Loop.RunFor(2 * time.Second)
	w.Import(nil)
	w.Loop.RunFor(warmUp)
	disturb(w, w.ownerOfEverything())
	w.Loop.RunFor(3 * time.Minute)
	return w.Checker.Finish(w.Loop.Now())
}

// ownerOfEverything returns the node that owns the deployment's only cell.
func (w *World) ownerOfEverything() *SimulatedNode {
	for _, n := range w.Nodes {
		if len(n.Node.Owners.Owned()) > 0 {
			return n
		}
	}
	Fail("no node owns the cell")
	return nil
}

// delayOrders makes a node's messages to the engines late.
func (w *World) delayOrders(node string, delay time.Duration) {
	engines := map[string]bool{}
	for _, server := range w.EngineServers {
		engines[string(server)] = true
	}
	usual := w.Network.ConditionsOf
	w.Network.ConditionsOf = func(from, to string) simulation.Conditions {
		conditions := usual(from, to)
		if from == node && engines[to] {
			conditions.Delay += delay
		}
		return conditions
	}
}

// seedEverywhere caches all checkpoints on all machines but the first, so that
// a new owner finds other servers better than the one before.
func (w *World) seedEverywhere() {
	for _, row := range w.Options.Deployment.Rows {
		for _, server := range w.EngineServers[1:] {
			w.Fleet.Host(server).Engine.SeedCheckpoint(row.Name, row.Version, outside.SourceMemory, row.WeightBytes)
		}
	}
}
