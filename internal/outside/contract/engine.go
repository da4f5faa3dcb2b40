package contract

import (
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// EngineFault is a fault that a fixture can make.
type EngineFault string

// The faults of an engine.
const (
	EngineHealthy EngineFault = "healthy"
	EngineRefuses EngineFault = "refuses"
	// EngineTruncates: every stream stops without its end.
	EngineTruncates EngineFault = "truncates streams"
	// EngineDropsAnswer: attempts run, but nothing of them is sent.
	EngineDropsAnswer EngineFault = "drops answers"
	// EngineRepeatsChunks: every chunk is sent twice.
	EngineRepeatsChunks EngineFault = "repeats chunks"
	// EngineHangs: connects, but answers nothing.
	EngineHangs EngineFault = "hangs"
	// EngineDead: nothing listens at the address.
	EngineDead EngineFault = "dead"
	// EngineLosesOrderReply: orders are applied, but their reply is lost.
	EngineLosesOrderReply EngineFault = "loses order replies"
)

// EngineFixture is one binding with one engine behind it, which runs one
// request at a time on a replica and sends one token a chunk.
type EngineFixture struct {
	Drive
	Service  outside.EngineService
	Server   outside.ServerID
	SetFault func(fault EngineFault)
	// ExpectedText is the right answer to a body.
	ExpectedText func(path string, body []byte) string
	// Received and Started count the attempts of a request that arrived at the
	// engine and that began to run, by its record.
	Received, Started func(requestID string) int
	// TimeLimit is short, but long enough for a healthy engine.
	TimeLimit time.Duration

	fence outside.Fence
}

// contractModel is loaded by the suite.
const contractModel = "dossier-reader"

const chatPath = "/v1/chat/completions"

func (f *EngineFixture) order(order outside.Order) (result outside.OrderResult, err error) {
	ended := make(chan struct{})
	f.Service.Order(order, f.TimeLimit, func(answer outside.OrderResult, failure error) {
		result, err = answer, failure
		close(ended)
	})
	f.Await(ended)
	return result, err
}

// nextOrder sends commands above every fence used so far.
func (f *EngineFixture) nextOrder(commands ...outside.Command) (outside.OrderResult, error) {
	f.fence.Epoch = 1
	f.fence.Sequence++
	return f.order(outside.Order{Server: f.Server, Fence: f.fence, Commands: commands})
}

func (f *EngineFixture) state(since uint64) (state *outside.EngineState, err error) {
	ended := make(chan struct{})
	f.Service.State(f.Server, since, f.TimeLimit, func(read *outside.EngineState, failure error) {
		state, err = read, failure
		close(ended)
	})
	f.Await(ended)
	return state, err
}

// maxPolls bounds how often the suite asks for a state that must come.
const maxPolls = 100_000

// await reads the state until the condition holds.
func (f *EngineFixture) await(condition func(state *outside.EngineState) bool) {
	ginkgo.GinkgoHelper()
	for range maxPolls {
		state, err := f.state(0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		if condition(state) {
			return
		}
	}
	ginkgo.Fail("the engine does not reach the state")
}

func (f *EngineFixture) load() {
	ginkgo.GinkgoHelper()
	result, err := f.nextOrder(loadCommand("load-1"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(result.Outcomes).To(gomega.Equal([]outside.CommandOutcome{{Accepted: true}}))
	f.await(func(state *outside.EngineState) bool {
		return len(state.Replicas) == 1 && state.Replicas[0].Phase == outside.ReplicaReady
	})
}

func loadCommand(attempt outside.AttemptID) outside.Command {
	return outside.Command{
		Kind: outside.CommandLoadModel, Model: contractModel, Version: "1", Slot: 2,
		Attempt: attempt, MemoryBytes: 2 << 30, WeightBytes: 1 << 20,
	}
}

func (f *EngineFixture) request(number, tokens int) outside.GenerateRequest {
	return outside.GenerateRequest{
		Server:    f.Server,
		Attempt:   outside.AttemptID(fmt.Sprintf("attempt-%d", number)),
		RequestID: fmt.Sprintf("request-%d", number),
		Model:     contractModel,
		Version:   "1",
		Path:      chatPath,
		Body:      fmt.Appendf(nil, `{"model":"m","max_tokens":%d,"messages":[{"role":"user","content":"dossier %d"}]}`, tokens, number),
		Priority:  5,
		Deadline:  f.Now().Add(f.TimeLimit),
	}
}

// streamRecorder is a sink that fails the specification when it is called out
// of order or after its end.
type streamRecorder struct {
	attempt outside.AttemptID
	first   int
	text    strings.Builder
	chunks  int
	end     *outside.GenerateEnd
	err     *outside.AttemptError
	ended   chan struct{}
	// onChunk, if set, is called with each chunk.
	onChunk func()
	faults  []string
}

func newStreamRecorder(request outside.GenerateRequest) *streamRecorder {
	return &streamRecorder{attempt: request.Attempt, first: request.ResumeFrom, ended: make(chan struct{})}
}

func (r *streamRecorder) Chunk(chunk outside.Chunk) {
	r.check(chunk.Attempt == r.attempt, "chunk of another attempt")
	r.check(chunk.Index == r.first+r.chunks, "chunk out of order")
	r.check(chunk.Tokens == 1, "chunk of another number of tokens")
	r.check(r.end == nil && r.err == nil, "chunk after the end")
	r.chunks++
	r.text.WriteString(chunk.Text)
	if r.onChunk != nil {
		r.onChunk()
	}
}

func (r *streamRecorder) End(end outside.GenerateEnd) {
	r.check(end.Attempt == r.attempt, "end of another attempt")
	r.end = &end
	close(r.ended)
}

func (r *streamRecorder) Failed(err *outside.AttemptError) {
	r.check(err.Attempt == r.attempt, "failure of another attempt")
	r.err = err
	close(r.ended)
}

func (r *streamRecorder) check(holds bool, fault string) {
	if !holds {
		r.faults = append(r.faults, fault)
	}
}

// generate runs an attempt to its end.
func (f *EngineFixture) generate(request outside.GenerateRequest) *streamRecorder {
	ginkgo.GinkgoHelper()
	recorder := newStreamRecorder(request)
	f.Service.Generate(request, recorder)
	f.Await(recorder.ended)
	gomega.Expect(recorder.faults).To(gomega.BeEmpty())
	return recorder
}
