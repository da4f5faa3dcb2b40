package forward

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

// garblingPool is a pool of sound servers and one, m1, that garbles.
type garblingPool struct {
	servers int
	route   string
	// every is the time between two requests.
	every time.Duration
	// garbles reports whether m1 garbles its response with the number, from 1.
	garbles func(number int) bool
}

// garbledPoolResult counts attempts and outcomes.
type garbledPoolResult struct {
	attempts, atGarbler, served, requests int
	// late are the attempts at m1 in the last third of the time.
	late int
}

func (p garblingPool) play(length time.Duration) (seen garbledPoolResult) {
	synctest.Test(new(testing.T), func(*testing.T) {
		b := newTestbed(1000)
		servers := map[string]*fleet.Server{}
		for number := range p.servers {
			id := fmt.Sprintf("m%d", number+1)
			servers[id] = &fleet.Server{ID: id, Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"}
			b.backend.answer[id] = reportsLoad(2, after(50*time.Millisecond, streams(events(1, 8), 20*time.Millisecond, io.EOF)))
		}
		b.view.ReplaceServers(servers)
		sound, garbled, number := b.backend.answer["m2"], reportsLoad(0, raw("data: foreign\n\n")), 0
		var mutex sync.Mutex
		began := time.Now()
		b.backend.answer["m1"] = func(ctx context.Context, attempt Attempt) (*Reply, error) {
			mutex.Lock()
			number++
			garbles := p.garbles(number)
			if time.Since(began) > length*2/3 {
				seen.late++
			}
			mutex.Unlock()
			if garbles {
				return garbled(ctx, attempt)
			}
			return sound(ctx, attempt)
		}
		var group sync.WaitGroup
		for range length / p.every {
			time.Sleep(p.every)
			group.Go(func() {
				outcome, _ := serveStream(b, p.route, "")
				mutex.Lock()
				defer mutex.Unlock()
				seen.requests++
				if outcome.Code == result.OK {
					seen.served++
				}
			})
		}
		group.Wait()
		seen.attempts, seen.atGarbler = len(b.backend.servers()), b.backend.count("m1")
	})
	return seen
}

func always(int) bool { return true }

func never(int) bool { return false }

func everySecond(number int) bool { return number%2 == 0 }

// A server that answered with garbage at once looked fast and idle, and was chosen as often as a sound one by nodes with
// few requests, or under load.
func TestGarblingServerIsTriedLessThanSoundOnes(t *testing.T) {
	for _, servers := range []int{2, 8} {
		for _, route := range []string{"stream", "declared-patient"} {
			for _, every := range []time.Duration{20 * time.Second, 10 * time.Second, 2 * time.Second, 100 * time.Millisecond, 10 * time.Millisecond} {
				for name, test := range map[string]struct {
					garbles func(int) bool
					// most is the bound for its attempts, as a share of those of a sound server.
					most float64
				}{"all": {always, 0.5}, "half": {everySecond, 1}} {
					t.Run(fmt.Sprintf("%s of %d servers, %s, every %v", name, servers, route, every), func(t *testing.T) {
						RegisterTestingT(t)
						seen := garblingPool{servers, route, every, test.garbles}.play(max(200*every, 10*time.Second))
						atSound := float64(seen.attempts-seen.atGarbler) / float64(servers-1)
						Expect(float64(seen.atGarbler)).To(BeNumerically("<", test.most*atSound))
						if isPatient(route) {
							Expect(seen.served).To(Equal(seen.requests))
						}
					})
				}
			}
		}
	}
}

// Guards against a good server that loses its requests for one odd block, and against one that gets none again after it
// was faulty.
func TestServerIsTriedAgainAfterFaultsOfItsStreams(t *testing.T) {
	for _, servers := range []int{2, 8} {
		for _, every := range []time.Duration{10 * time.Second, time.Second, 500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d servers, every %v", servers, every), func(t *testing.T) {
				RegisterTestingT(t)
				length := max(600*every, 10*time.Minute)
				sound := garblingPool{servers, "declared", every, never}.play(length)
				once := garblingPool{servers, "declared", every, func(number int) bool { return number == 2 }}.play(length)
				Expect(once.atGarbler).To(BeNumerically(">", sound.atGarbler*3/4))
				recovered := garblingPool{servers, "declared", every, func(number int) bool { return number <= 5 }}.play(length)
				Expect(recovered.late).To(BeNumerically(">", sound.late*3/4))
				if every >= 10*time.Second {
					rarely := garblingPool{servers, "declared", every, func(number int) bool { return number%10 == 0 }}.play(length)
					Expect(rarely.atGarbler).To(BeNumerically(">", sound.atGarbler*3/4))
				}
			})
		}
	}
}

// The time to the head of garbage was taken for the speed of the server and of its pool.
func TestGarbageTeachesNoSpeed(t *testing.T) {
	for name, garbage := range map[string]answerFunc{
		"foreign": raw("data: foreign\n\n"), "no stream": statusOnly(200, "foreign"), "no event": raw(), "cut": cutOff(),
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				serveStreams(b, "declared", 20, after(time.Millisecond, garbage))
				Expect(b.forwarder.tracker.averageTokenTime(modelPool)).To(Equal(defaultTokenTime))
				for _, id := range []string{"m1", "m2"} {
					Expect(b.forwarder.tracker.of(id).latency).To(BeEquivalentTo(1))
				}
				serveStreams(b, "declared", 1, after(100*time.Millisecond, raw(events(1, 3)...)))
				Expect(b.forwarder.tracker.averageTokenTime(modelPool)).To(BeNumerically(">", defaultTokenTime))
			})
		})
	}
}

// Guards against callers that wait until their deadline, or get a promise that nothing ran, where all servers garble.
func TestCallerGetsAFailureAtOnceWhereAllServersGarble(t *testing.T) {
	for name, garbage := range map[string]answerFunc{
		"foreign": raw("data: foreign\n\n"), "no stream": statusOnly(200, "foreign"), "no event": raw(), "behind a comment": raw(": ping\n\n", "data: foreign\n\n"),
	} {
		for _, route := range streamRoutes {
			for _, attempts := range []int{1, 2, 4} {
				for _, slack := range []float64{0, 100} {
					t.Run(fmt.Sprintf("%s, %s, %d attempts, slack %v", name, route, attempts, slack), func(t *testing.T) {
						inVirtualTime(t, func(b *testbed) {
							b.forwarder.budgets = newBudgets(BudgetLimits{Slack: slack, Window: 10 * time.Second}, 1)
							b.allowAttempts(attempts)
							b.inTurn(garbage)
							began := time.Now()
							outcome, seen := serveStream(b, route, "")
							Expect(time.Since(began)).To(BeNumerically("<", time.Second))
							Expect(seen.begun).To(BeZero())
							Expect(outcome.Code).To(Equal(result.OutcomeUnknown))
							Expect(outcome.Ran).To(Equal(result.RanYes))
							sent := 1
							if isPatient(route) && slack > 0 {
								sent = attempts
							}
							Expect(b.backend.servers()).To(HaveLen(sent))
						})
					})
				}
			}
		}
	}
}
