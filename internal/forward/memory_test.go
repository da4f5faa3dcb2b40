package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/bytebudget"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

const (
	testMemory = 8 << 20
	// testOverhead is the memory of a request in flight beside what is counted, in bytes.
	testOverhead = 64 << 10
)

// slowBody sends its beginning at once, in pieces as a network delivers them, and then a byte now and then
// until its context ends.
type slowBody struct {
	ctx       context.Context
	beginning string
	slow      string
}

func (s *slowBody) Read(buffer []byte) (int, error) {
	if s.beginning != "" {
		count := copy(buffer[:min(len(buffer), 1400)], s.beginning)
		s.beginning = s.beginning[count:]
		return count, s.ctx.Err()
	}
	select {
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	case <-time.After(100 * time.Millisecond):
		return copy(buffer, s.slow), nil
	}
}

func (s *slowBody) Close() error { return nil }

// slowly answers with a response that goes on without end after its beginning.
func slowly(reply Reply, beginning string) func(context.Context, Attempt) (*Reply, error) {
	return func(ctx context.Context, _ Attempt) (*Reply, error) {
		reply := reply
		reply.Status, reply.Body = 200, &slowBody{ctx: ctx, beginning: beginning, slow: "x"}
		return &reply, nil
	}
}

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // frees what pools kept
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// limitMemory gives the forwarder a budget of testMemory, and returns the kinds that it was short of.
func limitMemory(b *testbed) (short func() map[bytebudget.Kind]int) {
	var mutex sync.Mutex
	kinds := map[bytebudget.Kind]int{}
	b.forwarder.memory = bytebudget.New(bytebudget.Config{Limit: testMemory, OnShort: func(kind bytebudget.Kind) {
		mutex.Lock()
		defer mutex.Unlock()
		kinds[kind]++
	}})
	return func() map[bytebudget.Kind]int {
		mutex.Lock()
		defer mutex.Unlock()
		return kinds
	}
}

// Guards against a node that servers fill with events that they do not end, or with slow bodies, until the
// requests of other clients end with it.
func TestUnfinishedResponsesOfAllServersShareTheNodesMemory(t *testing.T) {
	const requests = 64
	routes := map[bytebudget.Kind][2]string{bytebudget.Events: {"stream", "m"}, bytebudget.ReadAhead: {"once", ""}}
	longEvent := "id: 1\ndata: " + strings.Repeat("x", 900<<10)
	for name, from := range map[string]struct {
		answer func(context.Context, Attempt) (*Reply, error)
		kind   bytebudget.Kind
	}{
		"events without end":                    {slowly(Reply{Events: true}, longEvent), bytebudget.Events},
		"events of many lines without end":      {slowly(Reply{Events: true}, strings.Repeat("data: "+strings.Repeat("x", 100)+"\n", 8<<10)), bytebudget.Events},
		"events without end after sound ones":   {slowly(Reply{Events: true}, strings.Join(events(1, 9), "")+"id: 10\ndata: "+longEvent), bytebudget.Events},
		"comments that are held until an event": {slowly(Reply{Events: true}, ": "+strings.Repeat("x", 900<<10)+"\n\n"), bytebudget.Events},
		"bodies":                                {slowly(Reply{}, strings.Repeat("x", 250<<10)), bytebudget.ReadAhead},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				short := limitMemory(b)
				b.view.ReplaceServers(map[string]*fleet.Server{
					"m1": {ID: "m1", Pool: modelPool, Slots: 2 * requests, Models: holds("m"), Zone: "z"},
					"m2": {ID: "m2", Pool: modelPool, Slots: 2 * requests, Models: holds("n"), Zone: "z"},
					"p1": {ID: "p1", Pool: plainPool, Slots: 2 * requests, Zone: "z"},
				})
				route := routes[from.kind]
				b.backend.answer["m1"], b.backend.answer["p1"] = from.answer, from.answer
				b.backend.answer["m2"] = streams(events(1, 40), 10*time.Millisecond, io.EOF)
				before := heapInUse()
				var flows sync.WaitGroup
				for range requests {
					flows.Go(func() {
						outcome := b.forwarder.Serve(context.Background(), request(route[0], route[1], 4*time.Second), discarding{})
						Expect(outcome.Code).NotTo(Equal(result.OK))
					})
					time.Sleep(time.Millisecond)
				}
				for range 8 {
					flows.Go(func() {
						caller := &recorder{}
						outcome := b.forwarder.Serve(context.Background(), request("stream", "n", 4*time.Second), caller)
						Expect(outcome.Code).To(Equal(result.OK), "a sound stream beside them")
						Expect(caller.body.String()).To(Equal(strings.Join(events(1, 40), "")))
					})
				}
				time.Sleep(300 * time.Millisecond)
				held, used := heapInUse()-before, b.forwarder.memory.Used()[from.kind]
				flows.Wait()
				t.Logf("heap held: %.1f MiB for %d requests, counted: %.1f MiB", float64(held)/(1<<20), requests, float64(used)/(1<<20))
				Expect(held).To(BeNumerically("<=", testMemory+(requests+8)*testOverhead))
				Expect(used).To(And(BeNumerically(">", testMemory/5), BeNumerically("<=", testMemory)))
				Expect(b.forwarder.memory.Used()).To(HaveEach(BeZero()))
				Expect(short()).To(HaveKey(from.kind))
			})
		})
	}
}

// Guards against a shortage that ends whichever response comes next instead of the one that holds the most.
func TestTheLargestUnfinishedEventGivesWay(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		limitMemory(b)
		b.view.ReplaceServers(map[string]*fleet.Server{
			"m1": {ID: "m1", Pool: modelPool, Slots: 64, Models: holds("m"), Zone: "z"},
			"m2": {ID: "m2", Pool: modelPool, Slots: 64, Models: holds("n"), Zone: "z"},
		})
		b.backend.answer["m1"] = slowly(Reply{Events: true}, "data: "+strings.Repeat("x", 900<<10))
		long := "id: 1\ndata: " + strings.Repeat("y", 100<<10) + "\n\n"
		var parts []string
		for piece := range len(long) / 1024 {
			parts = append(parts, long[piece*1024:(piece+1)*1024])
		}
		parts = append(parts, long[len(parts)*1024:])
		b.backend.answer["m2"] = streams(parts, time.Millisecond, io.EOF)
		var flows sync.WaitGroup
		for number := range 30 {
			flows.Go(func() {
				b.forwarder.Serve(context.Background(), request("stream", "m", 4*time.Second), discarding{})
			})
			flows.Go(func() {
				caller := &recorder{}
				outcome := b.forwarder.Serve(context.Background(), request("stream", "n", 4*time.Second), caller)
				Expect(outcome.Code).To(Equal(result.OK), fmt.Sprint("stream ", number))
				Expect(caller.body.String()).To(Equal(long))
			})
			time.Sleep(20 * time.Millisecond)
		}
		flows.Wait()
		broken := 0
		b.mutex.Lock()
		defer b.mutex.Unlock()
		for _, seen := range b.observed {
			if seen.Failure.Reason == FailureMemory {
				Expect(seen.Server).To(Equal("m1"))
				Expect(errors.Is(seen.Failure.Cause, errMemoryShort)).To(BeTrue())
				broken++
			}
		}
		Expect(broken).To(BeNumerically(">", 10))
	})
}

// Guards against a request that is lost with the response that gave way, although it may run again.
func TestARequestWhoseResponseGaveWayGoesOnAtAnotherServer(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		limitMemory(b)
		b.backend.answer["m1"] = slowly(Reply{Events: true}, strings.Join(events(1, 2), "")+"id: 3\ndata: "+strings.Repeat("x", 900<<10))
		b.backend.answer["m2"] = func(ctx context.Context, attempt Attempt) (*Reply, error) {
			Expect(attempt.ResumeAfter).To(Equal("2"))
			return streams(events(3, 5), time.Millisecond, io.EOF)(ctx, attempt)
		}
		b.backend.answer["m3"] = slowly(Reply{Events: true}, "id: 1\ndata: "+strings.Repeat("x", 500<<10))
		servers := map[string]*fleet.Server{
			"m1": {ID: "m1", Pool: modelPool, Slots: 64, Models: holds("m"), Zone: "z"},
			"m3": {ID: "m3", Pool: modelPool, Slots: 64, Models: holds("n"), Zone: "z"},
		}
		b.view.ReplaceServers(servers)
		var flows sync.WaitGroup
		for range 6 {
			flows.Go(func() {
				caller := &recorder{}
				outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 4*time.Second), caller)
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(caller.body.String()).To(Equal(strings.Join(events(1, 5), "")))
			})
		}
		time.Sleep(10 * time.Millisecond)
		servers = maps.Clone(servers)
		servers["m2"] = &fleet.Server{ID: "m2", Pool: modelPool, Slots: 64, Models: holds("m"), Zone: "z"}
		b.view.ReplaceServers(servers)
		for range 8 {
			flows.Go(func() { b.forwarder.Serve(context.Background(), request("stream", "n", 4*time.Second), discarding{}) })
			time.Sleep(time.Millisecond)
		}
		flows.Wait()
		again := 0
		for _, seen := range b.observed {
			if seen.Server == "m1" && seen.Failure.Reason == FailureMemory && seen.WillRetry {
				again++
			}
		}
		Expect(again).To(BeNumerically(">", 0))
	})
}
