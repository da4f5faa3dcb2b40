package contract

import (
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

const (
	shortAnswer = 8
	// longAnswer does not end within the suite's time limit.
	longAnswer = 100_000
)

// DescribeEngineStreams declares the specifications of the generations of
// outside.EngineService for a binding.
func DescribeEngineStreams(binding string, setUp func() *EngineFixture) {
	ginkgo.Describe("EngineService's streams over "+binding, func() {
		var fixture *EngineFixture
		ginkgo.BeforeEach(func() {
			fixture = setUp()
			fixture.load()
		})

		ginkgo.DescribeTable("gives the complete answer",
			func(fault EngineFault) {
				fixture.SetFault(fault)
				request := fixture.request(1, shortAnswer)
				stream := fixture.generate(request)
				gomega.Expect(stream.err).To(gomega.BeNil())
				gomega.Expect(stream.text.String()).To(gomega.Equal(fixture.ExpectedText(request.Path, request.Body)))
				gomega.Expect(stream.end.Chunks).To(gomega.Equal(shortAnswer))
				gomega.Expect(stream.end.FinishReason).To(gomega.Equal("length"))
				gomega.Expect(stream.end.Usage.CompletionTokens).To(gomega.Equal(shortAnswer))
				gomega.Expect(stream.end.Usage.PromptTokens).To(gomega.BeNumerically(">", 0))
				gomega.Expect(fixture.Started(request.RequestID)).To(gomega.Equal(1))
			},
			ginkgo.Entry(nil, EngineHealthy),
			ginkgo.Entry(nil, EngineRepeatsChunks),
		)

		ginkgo.It("continues with the chunk after the last received", func() {
			request := fixture.request(1, shortAnswer)
			request.ResumeFrom = shortAnswer - 3
			stream := fixture.generate(request)
			gomega.Expect(stream.err).To(gomega.BeNil())
			gomega.Expect(stream.chunks).To(gomega.Equal(3))
			gomega.Expect(stream.end.Chunks).To(gomega.Equal(shortAnswer))
			complete := fixture.ExpectedText(request.Path, request.Body)
			gomega.Expect(complete).To(gomega.HaveSuffix(stream.text.String()))
		})

		ginkgo.It("gives each of several attempts its own answer", func() {
			const attempts = 20
			streams := make([]*streamRecorder, attempts)
			for number := range attempts {
				request := fixture.request(number, shortAnswer)
				request.Deadline = fixture.Now().Add(attempts * fixture.TimeLimit)
				streams[number] = newStreamRecorder(request)
				fixture.Service.Generate(request, streams[number])
			}
			for number, stream := range streams {
				fixture.Await(stream.ended)
				request := fixture.request(number, shortAnswer)
				gomega.Expect(stream.faults).To(gomega.BeEmpty())
				gomega.Expect(stream.text.String()).To(gomega.Equal(fixture.ExpectedText(request.Path, request.Body)))
			}
		})

		ginkgo.DescribeTable("tells a fault as it is",
			func(fault EngineFault, change func(*outside.GenerateRequest), ran result.Ran, reasons []string, started int) {
				warmUp := fixture.request(0, shortAnswer)
				gomega.Expect(fixture.generate(warmUp).err).To(gomega.BeNil())
				fixture.SetFault(fault)
				request := fixture.request(1, shortAnswer)
				change(&request)
				stream := fixture.generate(request)
				gomega.Expect(stream.end).To(gomega.BeNil())
				gomega.Expect(reasons).To(gomega.ContainElement(stream.err.Reason))
				gomega.Expect(stream.err.Ran.String()).To(gomega.Equal(ran.String()))
				gomega.Expect(fixture.Started(request.RequestID)).To(gomega.Equal(started))
				complete := fixture.ExpectedText(request.Path, request.Body)
				gomega.Expect(strings.HasPrefix(complete, stream.text.String())).To(gomega.BeTrue())
			},
			ginkgo.Entry("refused", EngineRefuses, asItIs, result.RanNo, []string{"refused"}, 0),
			ginkgo.Entry("model not loaded", EngineHealthy, func(request *outside.GenerateRequest) {
				request.Model = "another"
			}, result.RanNo, []string{"not_loaded"}, 0),
			ginkgo.Entry("another version loaded", EngineHealthy, func(request *outside.GenerateRequest) {
				request.Version = "2"
			}, result.RanNo, []string{"not_loaded"}, 0),
			ginkgo.Entry("unknown server", EngineHealthy, func(request *outside.GenerateRequest) {
				request.Server = "no-such-server"
			}, result.RanNo, []string{"connection"}, 0),
			ginkgo.Entry("nothing listens", EngineDead, asItIs, result.RanNo, []string{"connection"}, 0),
			ginkgo.Entry("stream truncated", EngineTruncates, asItIs, result.RanUnknown, []string{"truncated", "connection"}, 1),
			ginkgo.Entry("answer dropped", EngineDropsAnswer, asItIs, result.RanUnknown, []string{"truncated", "connection"}, 1),
			ginkgo.Entry("no answer", EngineHangs, asItIs, result.RanUnknown, []string{"timeout"}, 0),
			ginkgo.Entry("answer too long", EngineHealthy, func(request *outside.GenerateRequest) {
				request.Body = []byte(`{"max_tokens":100000,"prompt":"long"}`)
			}, result.RanUnknown, []string{"timeout"}, 1),
		)

		ginkgo.It("does not run an attempt whose deadline has passed", func() {
			request := fixture.request(1, shortAnswer)
			request.Deadline = fixture.Now().Add(-time.Second)
			stream := fixture.generate(request)
			gomega.Expect(stream.err.Reason).To(gomega.Equal("timeout"))
			gomega.Expect(fixture.Started(request.RequestID)).To(gomega.BeZero())
		})

		ginkgo.It("cancels an attempt that runs", func() {
			request := fixture.request(1, longAnswer)
			request.Deadline = fixture.Now().Add(time.Hour)
			stream := newStreamRecorder(request)
			cancelled := make(chan func(), 1)
			stream.onChunk = func() {
				select {
				case cancel := <-cancelled:
					cancel()
				default:
				}
			}
			cancelled <- fixture.Service.Generate(request, stream)
			fixture.Await(stream.ended)
			gomega.Expect(stream.faults).To(gomega.BeEmpty())
			gomega.Expect(stream.err.Reason).To(gomega.Equal("cancelled"))
			gomega.Expect(stream.err.Ran).To(gomega.Equal(result.RanYes))
			// The replica is free again.
			gomega.Expect(fixture.generate(fixture.request(2, shortAnswer)).err).To(gomega.BeNil())
		})

		ginkgo.It("proves that a cancelled attempt that waited did not run", func() {
			running := fixture.request(1, longAnswer)
			running.Deadline = fixture.Now().Add(time.Hour)
			runningStream := newStreamRecorder(running)
			cancelRunning := fixture.Service.Generate(running, runningStream)
			fixture.await(func(*outside.EngineState) bool { return fixture.Started(running.RequestID) == 1 })
			waiting := fixture.request(2, shortAnswer)
			waiting.Deadline = running.Deadline
			waitingStream := newStreamRecorder(waiting)
			cancelWaiting := fixture.Service.Generate(waiting, waitingStream)
			fixture.await(func(*outside.EngineState) bool { return fixture.Received(waiting.RequestID) == 1 })
			cancelWaiting()
			fixture.Await(waitingStream.ended)
			gomega.Expect(waitingStream.err.Reason).To(gomega.Equal("cancelled"))
			gomega.Expect(waitingStream.err.Ran).To(gomega.Equal(result.RanNo))
			gomega.Expect(fixture.Started(waiting.RequestID)).To(gomega.BeZero())
			cancelRunning()
			fixture.Await(runningStream.ended)
		})
	})
}

func asItIs(*outside.GenerateRequest) {}
