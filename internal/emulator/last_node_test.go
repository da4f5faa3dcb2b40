package emulator

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/backend"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// succession is a deployment whose only node stops in order and is followed by another one,
// while a caller repeats one keyed request at the node that is there.
type succession struct {
	world  *World
	random *rand.Rand
	// ran are the attempts of the keyed request that servers ran.
	ran []string
	// calm ends the faults.
	calm bool
}

const (
	successionKey = "seat-1"
	// patientCaller repeats its request for so long.
	patientCaller = 40 * time.Second
	repeatPause   = 10 * time.Millisecond
)

func newSuccession(seed uint64) *succession {
	options := miniatureOptions(seed)
	options.Nodes = 1
	s := &succession{world: NewWorld(options), random: rand.New(rand.NewPCG(seed, 1))}
	s.world.observer = func(event record.Event) {
		if event.Kind == record.KindBackEndRun && event.Key == successionKey {
			s.ran = append(s.ran, string(event.Attempt))
		}
	}
	return s
}

// play returns how often the request ran.
func (s *succession) play() int {
	s.disturb()
	s.run(3 * time.Second)
	s.confirm(s.world.Nodes[0])
	s.run(time.Second)
	s.world.Nodes[0].Stop()
	for waited := time.Duration(0); !s.world.Nodes[0].down && waited < 3*time.Minute; waited += time.Second {
		s.world.Loop.RunFor(time.Second)
	}
	next := s.world.AddNode("next", s.world.Options.Deployment.Zones[1])
	s.confirm(next)
	s.calm = true
	s.settle()
	s.confirm(next)
	return len(s.ran)
}

// run lets a random time of up to the span pass.
func (s *succession) run(span time.Duration) {
	s.world.Loop.RunFor(time.Duration(s.random.Int64N(int64(span))))
}

// confirm sends the request until it is answered with its outcome, or with the refusal of one
// that another attempt holds.
func (s *succession) confirm(target *SimulatedNode) {
	until := s.world.Loop.Now().Add(patientCaller)
	answered := false
	var send func()
	send = func() {
		limit := []time.Duration{300 * time.Millisecond, time.Second, 4 * time.Second, 10 * time.Second}[s.random.IntN(4)]
		s.world.calls.send(target, gateway.Request{
			Tenant: s.world.Options.Deployment.Rows[0].Tenant, Pool: s.world.Options.Deployment.BackEndPool, Method: "POST",
			Path: "/v1/confirmations", ContentType: "application/json", Body: []byte("{}"), Key: successionKey,
		}, limit, func(ended EndedCall) {
			answered = answered || ended.Served || ended.Refusal.Code == result.AlreadyClaimed
			if !answered && s.world.Loop.Now().Before(until) {
				s.world.Loop.AfterFunc(repeatPause, send)
			}
		})
	}
	send()
	for !answered && s.world.Loop.Now().Before(until) {
		s.world.Loop.RunFor(100 * time.Millisecond)
	}
}

// disturb changes one fault every so often.
func (s *succession) disturb() {
	if s.calm {
		return
	}
	w := s.world
	switch s.random.IntN(12) {
	case 0:
		w.KeyValue.SetFaults(keyvalue.Faults{Outage: true})
	case 1:
		w.KeyValue.SetFaults(keyvalue.Faults{LostReplies: s.random.Float64(), Delay: s.upTo(3 * time.Second)})
	case 2:
		w.KeyValue.SetFaults(keyvalue.Faults{WatchGaps: s.random.Float64(), WatchGapDelay: s.upTo(5 * time.Second)})
	case 3, 4:
		w.KeyValue.SetFaults(keyvalue.Faults{})
	case 5, 6:
		w.Faults = NetworkFaults{Loss: s.random.Float64() / 3, Late: s.random.Float64(), LateDelay: s.upTo(6 * time.Second)}
	case 7, 8:
		w.Faults = NetworkFaults{}
	case 9:
		s.disturbBackEnds(backend.Faults{
			SlowFactor: 1 + 50*s.random.Float64(), RefuseShare: s.random.Float64() / 2, LoseAnswerShare: s.random.Float64() / 2,
		})
	case 10:
		s.disturbBackEnds(backend.Faults{})
	case 11:
		for _, n := range w.Nodes {
			if !n.down {
				w.pause(n.identity(), n.Process, s.upTo(30*time.Second))
			}
		}
	}
	w.Loop.AfterFunc(s.upTo(800*time.Millisecond), s.disturb)
}

func (s *succession) upTo(longest time.Duration) time.Duration {
	return time.Duration(1 + s.random.Int64N(int64(longest)))
}

func (s *succession) disturbBackEnds(faults backend.Faults) {
	for _, host := range s.world.BackEnds {
		host.server.SetFaults(faults)
	}
}

// settle ends all faults.
func (s *succession) settle() {
	s.world.KeyValue.SetFaults(keyvalue.Faults{})
	s.world.Faults = NetworkFaults{}
	s.disturbBackEnds(backend.Faults{})
	s.world.Loop.RunFor(10 * time.Second)
}

// successions are played in CI.
const successions = 40

// Guards against a keyed request that runs again at the node which follows the last one.
var _ = It("a keyed request runs once at most across the planned stop of the only node", func() {
	ran := 0
	for seed := range uint64(successions) {
		played := newSuccession(seed)
		Expect(played.play()).To(BeNumerically("<=", 1), "seed %d: %v", seed, played.ran)
		ran += len(played.ran)
	}
	Expect(ran).To(BeNumerically(">", successions/2), "of the requests ran at all")
})
