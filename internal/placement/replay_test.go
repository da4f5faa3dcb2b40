package placement_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/placement"
)

const (
	replayTick = 100 * time.Millisecond
	// A request runs for replayRun on average. It is late if it waits for longer than
	// replayObjective, and refused after replayPatience.
	replayRun, replayObjective, replayPatience = 2 * time.Second, 400 * time.Millisecond, 3 * time.Second
	replaySlots                                = 24
)

type replayServer struct {
	placement.Server
	running []replayRequest
	queue   []replayRequest
	// until is the end of the order in progress, and order that order.
	until time.Time
	order *placement.Action
	// intentEnds is when memory is no longer reserved for the model that it was freed for.
	intentEnds time.Time
}

type replayRequest struct {
	model   string
	arrived time.Time
	ends    time.Time
}

// replay plays requests and the orders of plans in virtual time.
type replay struct {
	engine  *fleet.Engine
	servers []*replayServer
	random  *rand.Rand
	now     time.Time
	start   time.Time
	// rates returns the requests per second by model, at a time after the start.
	rates map[string]func(at time.Duration) float64
	// known is whether loads are known.
	known bool
	// storeAtOnce is the number of concurrent loads from the weight store.
	storeAtOnce int
	recent      *placement.RecentLosses
	// demandRate and lastUsed by model; waiting are requests for models without replica.
	demandRate map[string]float64
	lastUsed   map[string]time.Time
	waiting    []replayRequest
	// late counts requests that were late or refused by model, and loads and evictions the
	// orders by model.
	late, arrived, loads, evictions map[string]int
	unloadedAt                      map[string]time.Duration
}

// newReplay returns servers for three models each. The models m00, m01 and so on are held by one
// server each, in order.
func newReplay(servers, models int) *replay {
	r := &replay{
		engine: &fleet.Engine{Slots: replaySlots, MemoryMB: 210_000, LoadsPerSecond: 4, Models: map[string]*fleet.Model{}},
		random: rand.New(rand.NewPCG(7, 11)), now: now, start: now, known: true, storeAtOnce: 2, recent: placement.NewRecentLosses(),
		rates: map[string]func(time.Duration) float64{}, demandRate: map[string]float64{}, lastUsed: map[string]time.Time{},
		late: map[string]int{}, arrived: map[string]int{}, loads: map[string]int{}, evictions: map[string]int{}, unloadedAt: map[string]time.Duration{},
	}
	for i := range servers {
		r.servers = append(r.servers, &replayServer{Server: placement.Server{ID: fmt.Sprintf("s%02d", i), Zone: "z", Models: map[string]placement.Replica{}}})
	}
	for i := range models {
		name := fmt.Sprintf("m%02d", i)
		r.engine.Models[name] = &fleet.Model{Name: name, SizeMB: 70_000, LoadTime: 10 * time.Second}
		if i < 3*servers {
			r.servers[i%servers].Models[name] = placement.Replica{Since: now.Add(-time.Minute)}
		}
	}
	return r
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// run plays some time.
func (r *replay) run(duration time.Duration) {
	for end := r.now.Add(duration); r.now.Before(end); r.now = r.now.Add(replayTick) {
		for _, name := range slices.Sorted(maps.Keys(r.rates)) {
			r.arrive(name, r.rates[name](r.now.Sub(r.start))*replayTick.Seconds())
		}
		for _, s := range r.servers {
			r.serve(s)
		}
		r.plan()
	}
}

// arrive draws the arrivals of a tick with a Poisson distribution.
func (r *replay) arrive(model string, mean float64) {
	r.demandRate[model] *= math.Exp(-replayTick.Seconds() / 4)
	limit, product := math.Exp(-mean), r.random.Float64()
	for ; product > limit; product *= r.random.Float64() {
		r.demandRate[model] += 1.0 / 4
		r.lastUsed[model] = r.now
		r.arrived[model]++
		r.send(replayRequest{model: model, arrived: r.now})
	}
}

// send sends a request to the holder with the lowest load, and counts it as lost if there is none.
func (r *replay) send(request replayRequest) {
	var best *replayServer
	for _, s := range r.servers {
		if _, holds := s.Models[request.model]; holds && (best == nil || s.load() < best.load()) {
			best = s
		}
	}
	if best == nil {
		r.late[request.model]++
		r.waiting = append(r.waiting, request)
		return
	}
	best.queue = append(best.queue, request)
}

func (s *replayServer) load() int { return len(s.running) + len(s.queue) }

// serve ends and begins requests, and ends the order in progress.
func (r *replay) serve(s *replayServer) {
	s.running = slices.DeleteFunc(s.running, func(request replayRequest) bool { return !request.ends.After(r.now) })
	for len(s.running) < replaySlots && len(s.queue) > 0 {
		request := s.queue[0]
		s.queue = s.queue[1:]
		waited := r.now.Sub(request.arrived)
		if waited > replayObjective {
			r.late[request.model]++
		}
		if waited > replayPatience {
			continue
		}
		speed := 1.0
		if s.Speed > 0 {
			speed = s.Speed
		}
		request.ends = r.now.Add(time.Duration(r.random.ExpFloat64() / speed * float64(replayRun)))
		s.running = append(s.running, request)
	}
	if s.order != nil && !s.until.After(r.now) {
		if s.order.Kind == placement.Load {
			s.Models[s.order.Model] = placement.Replica{Since: r.now}
			r.waiting = slices.DeleteFunc(r.waiting, func(request replayRequest) bool { return request.model == s.order.Model })
		}
		s.order, s.Loading, s.Busy = nil, "", false
	}
}

// plan plans and begins the orders.
func (r *replay) plan() {
	in := &placement.Input{
		Now: r.now, Engine: r.engine, Demand: map[string]*placement.Demand{}, StoreLoads: r.storeAtOnce, CountedSince: r.start,
		RecentLosses: r.recent.At(r.now), CallerTime: replayPatience,
	}
	for name := range r.lastUsed {
		in.Demand[name] = &placement.Demand{Rate: r.demandRate[name], LastUsed: r.lastUsed[name]}
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(request replayRequest) bool { return r.now.Sub(request.arrived) > replayPatience })
	for _, request := range r.waiting {
		in.Demand[request.model].Waiting++
	}
	for _, s := range r.servers {
		for _, request := range append(slices.Clone(s.running), s.queue...) {
			in.Demand[request.model].Running++
		}
		if s.Loading != "" {
			in.StoreLoads--
		}
		s.Load += (float64(s.load()) - s.Load) * replayTick.Seconds() / 3
		if s.intentEnds.Before(r.now) {
			s.Intent = ""
		}
		if s.Busy {
			s.FreeIn = s.until.Sub(r.now)
		}
		listed := s.Server
		if r.known {
			listed.Slots = replaySlots
		}
		in.Servers = append(in.Servers, listed)
	}
	planned := placement.Plan(in)
	r.recent.Record(planned.RemovalLosses, r.now)
	for _, action := range planned.Actions {
		r.begin(action)
	}
}

func (r *replay) begin(action placement.Action) {
	for _, s := range r.servers {
		if s.ID != action.Server {
			continue
		}
		s.order, s.Busy, s.until, s.Intent = &action, true, r.now.Add(action.Expected), action.Intent
		s.intentEnds = r.now.Add(3 * time.Second)
		if action.Kind == placement.Load {
			s.Loading, s.Intent = action.Model, ""
			r.loads[action.Model]++
			continue
		}
		delete(s.Models, action.Model)
		r.evictions[action.Model]++
		r.unloadedAt[action.Model] = r.now.Sub(r.start)
	}
}

func (r *replay) holders(model string) []string {
	var found []string
	for _, s := range r.servers {
		if _, holds := s.Models[model]; holds {
			found = append(found, s.ID)
		}
	}
	return found
}

func total(counts map[string]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

// busyAmongRare is a model that becomes busy after a minute and then fills the only server which
// holds it, beside rare models that take all other places.
func busyAmongRare() *replay {
	r := newReplay(12, 36)
	r.rates["m00"] = func(at time.Duration) float64 {
		if at < time.Minute {
			return 1
		}
		return 25
	}
	for i := 1; i < 36; i++ {
		r.rates[fmt.Sprintf("m%02d", i)] = steady(0.05)
	}
	for i := 30; i < 36; i++ {
		r.rates[fmt.Sprintf("m%02d", i)] = steady(0.3)
	}
	return r
}

// Guards against a busy model whose servers are full while rare models, which are asked for now
// and then, keep all other places; and against evictions of models that are asked for often.
func TestBusyModelTakesPlacesOfRareOnes(t *testing.T) {
	RegisterTestingT(t)
	before, after := busyAmongRare(), busyAmongRare()
	before.known = false
	before.run(3 * time.Minute)
	after.run(3 * time.Minute)
	t.Log("late or refused without loads:", before.late["m00"], "of", before.arrived["m00"], "rare", total(before.late)-before.late["m00"])
	t.Log("late or refused with loads:   ", after.late["m00"], "of", after.arrived["m00"], "rare", total(after.late)-after.late["m00"], "loads", after.loads)
	Expect(after.late["m00"]).To(BeNumerically("<", before.late["m00"]/2))
	Expect(total(after.late)).To(BeNumerically("<", total(before.late)/2))
	Expect(len(after.holders("m00"))).To(BeNumerically("<=", 5))
	for i := 30; i < 36; i++ {
		Expect(after.late[fmt.Sprintf("m%02d", i)]).To(BeZero())
	}
	Expect(after.loads["m00"]).To(BeNumerically("<=", 5), "not loaded again and again")
}

// Guards against replicas that are evicted and loaded in turn for minutes, where the load changes
// between two models.
func TestAlternatingLoadsDontThrash(t *testing.T) {
	for _, period := range []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second} {
		RegisterTestingT(t)
		r := newReplay(8, 24)
		alternate := func(odd int) func(time.Duration) float64 {
			return func(at time.Duration) float64 { return float64(int(at/period)%2^odd) * 25 }
		}
		r.rates["m00"], r.rates["m01"] = alternate(0), alternate(1)
		for i := 2; i < 24; i++ {
			r.rates[fmt.Sprintf("m%02d", i)] = steady(0.08)
		}
		r.run(2 * time.Minute)
		loads := total(r.loads)
		busy := r.loads["m00"] + r.loads["m01"]
		r.run(4 * time.Minute)
		t.Log(period, "loads in 2 min:", loads, "then in 4 min:", total(r.loads)-loads, "of busy ones", busy, r.loads["m00"]+r.loads["m01"]-busy, "evictions", r.evictions, r.late["m00"]+r.late["m01"], r.arrived["m00"]+r.arrived["m01"])
		Expect(r.loads["m00"]+r.loads["m01"]-busy).To(BeNumerically("<=", 6), "%v", period)
	}
}

// Guards against a busy model's further replica that is loaded before the first replica of a model
// that requests wait for, and against one that keeps its place although that model has none.
func TestColdModelComesBeforeFurtherReplicas(t *testing.T) {
	RegisterTestingT(t)
	busy := &placement.Demand{Running: 60, Rate: 25, LastUsed: now}
	full := func(id string, models ...string) placement.Server {
		result := server(id, models...)
		result.Load, result.Slots = 30, 24
		return result
	}
	idle := server("3", "d")
	idle.Load, idle.Slots = 1, 24
	in := input(map[string]*placement.Demand{"a": busy, "c": waiting(1)}, full("1", "a"), full("2", "a"), idle)
	in.StoreLoads = 1
	actions := placement.Plan(in).Actions
	Expect(actions).To(HaveLen(1))
	Expect(actions[0].Model).To(Equal("c"))

	delete(in.Demand, "c")
	actions = placement.Plan(in).Actions
	Expect(actions).To(HaveLen(1), "without the waiting request, the further replica is loaded")
	Expect(actions[0].Model).To(Equal("a"))
	Expect(actions[0].Server).To(Equal("3"))

	// The third replica isn't needed now, and the only place that can be freed.
	quiet := server("3", "a", "d")
	quiet.Slots = 24
	in = input(map[string]*placement.Demand{"a": {Rate: 0.2, LastUsed: now}, "b": busy, "d": {Running: 1, Rate: 1}, "c": waiting(1)}, full("1", "a", "b"), full("2", "a", "b"), quiet)
	actions = placement.Plan(in).Actions
	Expect(actions).NotTo(BeEmpty())
	Expect(actions[0].Intent).To(Equal("c"))
	Expect(actions[0].Model).To(Equal("a"))
}

// Guards against replicas on servers that are slow while others are as free.
func TestReplicasGoToTheServerThatRelievesMost(t *testing.T) {
	RegisterTestingT(t)
	crowded := server("1", "a")
	crowded.Load, crowded.Slots = 40, 24
	slow, normal, loaded := server("2"), server("3"), server("4")
	slow.Slots, normal.Slots, loaded.Slots = 24, 24, 24
	slow.Speed, loaded.Load = 0.6, 12
	others := []placement.Server{loaded, loaded}
	others[0].ID, others[1].ID = "5", "6"
	servers := append([]placement.Server{crowded, slow, normal, loaded}, others...)
	for reason, running := range map[string]int{"more replicas": 9, "relieves full servers": 40} {
		in := input(map[string]*placement.Demand{"a": {Running: running, Rate: 0.9, LastUsed: now}}, servers...)
		if running == 40 {
			in.Servers, in.Demand["a"].Rate = servers[:4], 10
		}
		actions := placement.Plan(in).Actions
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Server).To(Equal("3"))
		Expect(actions[0].Reason).To(Equal(reason))
	}
	in := input(map[string]*placement.Demand{"c": waiting(1)}, crowded, slow, normal, loaded)
	Expect(placement.Plan(in).Actions[0].Server).To(Equal("3"))
	in = input(map[string]*placement.Demand{"a": {Running: 40, Rate: 10, LastUsed: now}}, crowded, slow, loaded)
	Expect(placement.Plan(in).Actions).NotTo(BeEmpty(), "a slow server is better than none")
}

// Guards against a further replica that costs others nearly what it gains, one in place of a model
// that was just loaded, and one in place of a model with running requests.
func TestFurtherReplicasSpareWhatIsWorthMore(t *testing.T) {
	RegisterTestingT(t)
	planFor := func(change func(in *placement.Input)) []placement.Action {
		crowded, other := server("1", "a", "b"), server("2", "c", "d")
		crowded.Load, crowded.Slots, other.Slots = 24, 24, 24
		in := input(map[string]*placement.Demand{"a": {Running: 23, Rate: 4, LastUsed: now}, "c": idle(0, 5*time.Minute), "d": idle(0.9, 0)}, crowded, other)
		in.CallerTime = 4 * time.Second
		change(in)
		return placement.Plan(in).Actions
	}
	actions := planFor(func(*placement.Input) {})
	Expect(actions).To(HaveLen(1))
	Expect(actions[0].Kind).To(Equal(placement.Unload))
	Expect(actions[0].Model).To(Equal("c"))
	Expect(actions[0].Value).To(BeNumerically(">", actions[0].Cost*1.5))
	Expect(actions[0].Cost).To(BeNumerically(">", 0))
	value := actions[0].Value
	// A load of 2 s takes half of the 4 s that the caller of a request has which waits for it.
	lossOf := func(share float64) func(in *placement.Input) {
		return func(in *placement.Input) { in.Demand["c"] = idle(share*value/0.5, 5*time.Minute) }
	}
	Expect(planFor(lossOf(0.6))).To(HaveLen(1))
	shortQueue := func(in *placement.Input) { in.Servers[0].Load, in.Demand["a"].Running = 19, 18 }
	Expect(planFor(shortQueue)).To(HaveLen(1))
	for name, change := range map[string]func(in *placement.Input){
		"worth 0.75 of the gain": lossOf(0.75),
		"the other server has a rate limit": func(in *placement.Input) {
			in.Servers[1].Limited, in.Servers[1].MaxPerSecond = true, 1
		},
		"asked for often": func(in *placement.Input) { in.Demand["c"] = idle(0.9, 0) },
		"just loaded": func(in *placement.Input) {
			in.Servers[1].Models["c"] = placement.Replica{Since: now.Add(-time.Second)}
		},
		"requests run":                  func(in *placement.Input) { in.Demand["c"].Running = 1 },
		"load of the servers not known": func(in *placement.Input) { in.Servers[0].Slots = 0 },
		"load of the other not known":   func(in *placement.Input) { in.Servers[1].Slots = 0 },
		"others fill the servers":       func(in *placement.Input) { in.Demand["a"].Running = 4 },
		"no load from the store":        func(in *placement.Input) { in.StoreLoads = 0 },
		"requests counted for a moment only": func(in *placement.Input) {
			shortQueue(in)
			in.CountedSince = now
		},
		"a replica of the model is just there": func(in *placement.Input) { in.Servers[0].Models["a"] = placement.Replica{Since: now} },
		"a replica of the model is being loaded": func(in *placement.Input) {
			in.Servers[0].Loading, in.Servers[0].Busy = "a", true
			delete(in.Servers[0].Models, "a")
		},
	} {
		Expect(planFor(change)).To(BeEmpty(), name)
	}
}
