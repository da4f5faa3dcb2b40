package outside

import (
	"errors"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
)

// SlotID numbers the replicas of one model, from 0 to the row's maximum - 1.
type SlotID int

// ReplicaPhase is the phase of a replica's life cycle on an engine.
type ReplicaPhase uint8

// The phases of a replica.
const (
	ReplicaLoading ReplicaPhase = iota
	ReplicaReady
	ReplicaUnloading
	// ReplicaFailed means that the load failed and its memory was released.
	ReplicaFailed
)

// String returns the phase's name.
func (p ReplicaPhase) String() string {
	return [...]string{"loading", "ready", "unloading", "failed"}[p]
}

// CheckpointSource is the storage tier from which an engine loads weights.
type CheckpointSource uint8

// The sources, from fastest to slowest.
const (
	SourceMemory CheckpointSource = iota
	SourceDisk
	SourceRemote
)

// String returns the source's name.
func (s CheckpointSource) String() string {
	return [...]string{"memory", "disk", "remote"}[s]
}

// CommandKind is the operation that a Command requests from an engine.
type CommandKind uint8

// The kinds of command.
const (
	CommandLoadModel CommandKind = iota
	CommandUnloadModel
	CommandLoadAdapter
	CommandUnloadAdapter
	CommandSetRole
)

// String returns the command's name.
func (k CommandKind) String() string {
	return [...]string{"load_model", "unload_model", "load_adapter", "unload_adapter", "set_role"}[k]
}

// Command is one instruction inside an Order.
type Command struct {
	Kind CommandKind
	// Model is the name of the command's base model.
	Model   string
	Version string
	// Adapter is the adapter's name, for adapter commands.
	Adapter string
	Slot    SlotID
	// Attempt identifies this load. An unload carries the attempt of the load that it
	// undoes, so that a delayed unload never affects a newer load.
	Attempt AttemptID
	// MemoryBytes is the memory that the engine reserves: weights and minimum KV cache.
	MemoryBytes int64
	// WeightBytes is the size of the weights to fetch.
	WeightBytes int64
	// Role for CommandSetRole: "mixed", "prefill" or "decode".
	Role string
}

// Order is a batch of commands to one engine with a fencing token, applied in order. An
// order without commands only raises the fence and reads the state.
type Order struct {
	Server ServerID
	Fence  Fence
	// Incarnation is the incarnation addressed by the order; empty matches any, which is used
	// to adopt an engine.
	Incarnation Incarnation
	Commands    []Command
}

// CommandOutcome is an engine's response to one command.
type CommandOutcome struct {
	Accepted bool
	// Reason is a code such as "no_memory" or "no_such_attempt" when not accepted.
	Reason string
}

// OrderResult is an engine's response to an order.
type OrderResult struct {
	// Accepted is false, and no command was applied, if the fence was stale or the
	// incarnation did not match.
	Accepted bool
	// Reason is "stale_fence" or "other_incarnation" when not accepted.
	Reason   string
	Outcomes []CommandOutcome
	// State is the engine's state after the commands, read atomically with them.
	State EngineState
}

// AdapterState is the state of an adapter on a replica.
type AdapterState struct {
	Adapter     string
	Version     string
	Attempt     AttemptID
	Phase       ReplicaPhase
	MemoryBytes int64
}

// ReplicaState is the state of a replica on an engine.
type ReplicaState struct {
	Model       string
	Version     string
	Slot        SlotID
	Attempt     AttemptID
	Phase       ReplicaPhase
	MemoryBytes int64
	Source      CheckpointSource
	// Progress is the completed fraction of a load, from 0 to 1.
	Progress float64
	// Running and Queued are the numbers of requests on this replica.
	Running, Queued int
	Adapters        []AdapterState
}

// CheckpointState is a checkpoint cached on an engine's machine.
type CheckpointState struct {
	Name    string
	Version string
	Source  CheckpointSource
}

// EngineState is an engine's report of its state.
type EngineState struct {
	Server      ServerID
	Incarnation Incarnation
	// Fence is the highest fence that the engine has received.
	Fence Fence
	// Version increases with every change of Replicas, Cached or Leaving.
	Version uint64
	// Accelerators is the number of accelerators on the machine.
	Accelerators int
	MemoryBytes  int64
	// UsedBytes is the memory reserved by replicas in any phase but ReplicaFailed.
	UsedBytes int64
	Replicas  []ReplicaState
	Cached    []CheckpointState
	// MaxBatch is the number of requests that run concurrently on one replica.
	MaxBatch int
	Role     string
	Leaving  bool
	// MeasuredAt is the time, by the engine's clock, at which the load figures were taken;
	// they lag behind the other fields.
	MeasuredAt time.Time
}

// GenerateRequest is the request of one generation attempt.
type GenerateRequest struct {
	Server    ServerID
	Attempt   AttemptID
	RequestID string
	// Model is the name of the base model; Adapter may be empty.
	Model   string
	Adapter string
	Version string
	// Path is the path of the OpenAI API, such as "/v1/chat/completions".
	Path string
	// Body is the client's JSON body.
	Body     []byte
	Priority int
	Deadline time.Time
	// Key is the idempotency key, if any.
	Key string
	// ResumeFrom is the number of chunks of the request's stream that were received
	// already; the engine continues with the next chunk.
	ResumeFrom int
}

// Chunk is a piece of a generated stream.
type Chunk struct {
	Attempt AttemptID
	// Index is the chunk's position in the request's stream, from 0, counted across
	// resumptions.
	Index  int
	Text   string
	Tokens int
}

// Usage is the number of tokens of a generation.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int
}

// GenerateEnd describes the end of a complete stream.
type GenerateEnd struct {
	Attempt AttemptID
	// Chunks is the total number of chunks in the request's stream.
	Chunks       int
	FinishReason string
	Usage        Usage
	Load         LoadHint
}

// LoadHint is the load that a server reports with a response.
type LoadHint struct {
	Running, Queued int
	Leaving         bool
}

// AttemptError is the failure of one attempt at a back-end server.
type AttemptError struct {
	Attempt AttemptID
	// Ran is RanNo only if the request was never sent or the server refused it.
	Ran result.Ran
	// Reason is one of "refused", "not_loaded", "busy", "leaving",
	// "connection", "timeout", "truncated", "failed", "cancelled".
	Reason string
	Load   LoadHint
}

// Error implements error.
func (e *AttemptError) Error() string {
	return "attempt " + string(e.Attempt) + ": " + e.Reason + " (ran: " + e.Ran.String() + ")"
}

// GenerateSink receives the stream of one attempt: any number of Chunk calls, then exactly
// one call of End or Failed. Calls are sequential and never overlap.
type GenerateSink interface {
	Chunk(chunk Chunk)
	End(end GenerateEnd)
	Failed(err *AttemptError)
}

// ErrServerUnreachable means that no valid response was received from a server. Whether the
// server processed the request is unknown.
var ErrServerUnreachable = errors.New("server unreachable")

// EngineService is the interface to the model engines.
type EngineService interface {
	// Order sends an order. After an error the order may have been applied, or may still be
	// applied later unless the engine receives a higher fence first.
	Order(order Order, timeout time.Duration, done func(OrderResult, error))
	// State reads an engine's state. The state is nil if nothing but load changed since
	// sinceVersion.
	State(server ServerID, sinceVersion uint64, timeout time.Duration, done func(*EngineState, error))
	// Generate starts an attempt. The rules of done callbacks apply to the calls of the
	// sink. After cancel the sink still receives End or Failed.
	Generate(request GenerateRequest, sink GenerateSink) (cancel func())
}

// BackEndRequest is the request of one attempt at a back-end server that is not an engine.
type BackEndRequest struct {
	Server    ServerID
	Attempt   AttemptID
	RequestID string
	Key       string
	Method    string
	Path      string
	// ContentType is the media type of the body.
	ContentType string
	Body        []byte
	Deadline    time.Time
}

// BackEndResponse is a complete response.
type BackEndResponse struct {
	Attempt     AttemptID
	Status      int
	ContentType string
	Body        []byte
	Load        LoadHint
}

// BackEndService is the interface to back-end servers such as enrolment or sync servers.
type BackEndService interface {
	// Call runs one attempt. The error is an *AttemptError.
	Call(request BackEndRequest, done func(BackEndResponse, error))
}
