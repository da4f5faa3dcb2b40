package engine_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// waitingSink collects a stream on the real clock.
type waitingSink struct {
	text  strings.Builder
	ended *sync.WaitGroup
	whole bool
}

func (s *waitingSink) Chunk(chunk outside.Chunk)    { s.text.WriteString(chunk.Text) }
func (s *waitingSink) End(outside.GenerateEnd)      { s.whole = true; s.ended.Done() }
func (s *waitingSink) Failed(*outside.AttemptError) { s.ended.Done() }

// Run with -race, this checks the locking; sinks are not synchronized.
var _ = It("serves concurrent callers on the real clock", func() {
	log := record.NewLog()
	ready := make(chan struct{})
	log.Subscribe(func(event record.Event) {
		if event.Kind == record.KindLoadReady {
			close(ready)
		}
	})
	subject := engine.New(clock.System{}, rand.New(rand.NewPCG(1, 2)), engine.Config{
		Server: "lm-1", InitTime: time.Microsecond, StepOverhead: time.Microsecond, StepPerSequence: time.Microsecond, Record: log,
	})
	tiny := load("m", "a")
	tiny.WeightBytes = 1000
	Expect(subject.Order(outside.Order{Fence: outside.Fence{Epoch: 1}, Commands: []outside.Command{tiny}}).Accepted).To(BeTrue())
	Eventually(ready).Should(BeClosed())

	var ended sync.WaitGroup
	sinks := make([]*waitingSink, 60)
	for index := range sinks {
		sinks[index] = &waitingSink{ended: &ended}
		ended.Add(1)
		go func() {
			cancel := subject.Generate(outside.GenerateRequest{
				Attempt: outside.AttemptID(fmt.Sprint(index)), Model: "m", Body: body(fmt.Sprint(index), 50),
			}, sinks[index])
			subject.State(0)
			if index%3 == 0 {
				cancel()
			}
		}()
	}
	ended.Wait()
	for index, sink := range sinks {
		expected := engine.ExpectedText("", body(fmt.Sprint(index), 50))
		Expect(expected).To(HavePrefix(sink.text.String()))
		Expect(sink.whole).To(Equal(sink.text.String() == expected))
		if index%3 != 0 {
			Expect(sink.whole).To(BeTrue())
		}
	}
})
