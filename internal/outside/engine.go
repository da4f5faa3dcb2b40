package outside

import (
	"errors"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
)

// SlotID numbers the replicas of one model, from 0 to the row's maximum - 1.
type SlotID int

// ReplicaPhase is how far a replica on an engine has come.
type ReplicaPhase uint8

// The phases of a replica.
const (
	ReplicaLoading ReplicaPhase = iota
	ReplicaReady
	ReplicaUnloading
	// ReplicaFailed: the load ended in failure; memory is free again.
	ReplicaFailed
)

// String returns the phase's word.
func (p ReplicaPhase) String() string {
	return [...]string{"loading", "ready", "unloading", "failed"}[p]
}

// CheckpointSource is where an engine takes weights from.
type CheckpointSource uint8

// The sources, from fastest to slowest.
const (
	SourceMemory CheckpointSource = iota
	SourceDisk
	SourceRemote
)

// String returns the source's word.
func (s CheckpointSource) String() string {
	return [...]string{"memory", "disk", "remote"}[s]
}

// CommandKind is what a Command asks of an engine.
type CommandKind uint8

// The kinds of command.
const (
	CommandLoadModel CommandKind = iota
	CommandUnloadModel
	CommandLoadAdapter
	CommandUnloadAdapter
	CommandSetRole
)

// String returns the command's word.
func (k CommandKind) String() string {
	return [...]string{"load_model", "unload_model", "load_adapter", "unload_adapter", "set_role"}[k]
}

// Command is one instruction inside an Order.
type Command struct {
	Kind CommandKind
	// Model names the base model the command is about.
	Model   string
	Version string
	// Adapter names the adapter, for adapter commands.
	Adapter string
	Slot    SlotID
	// Attempt identifies this load. An unload names the attempt it ends, so
	// that a late unload never ends a newer load.
	Attempt AttemptID
	// MemoryBytes to be reserved by the engine: weights and KV-cache floor.
	MemoryBytes int64
	// WeightBytes to be fetched.
	WeightBytes int64
	// Role for CommandSetRole: "mixed", "prefill" or "decode".
	Role string
}

// Order is a fenced batch of commands to one engine, applied in order. An
// order without commands only raises the fence and reads the state.
type Order struct {
	Server ServerID
	Fence  Fence
	// Incarnation the order is meant for; empty matches any (used to adopt).
	Incarnation Incarnation
	Commands    []Command
}

// CommandOutcome is an engine's answer to one command.
type CommandOutcome struct {
	Accepted bool
	// Reason is a word when not accepted, e.g. "no_memory", "no_such_attempt".
	Reason string
}

// OrderResult is an engine's answer to an order.
type OrderResult struct {
	// Accepted is false when the fence was too low or the incarnation another;
	// then no command was applied.
	Accepted bool
	// Reason is "stale_fence" or "other_incarnation" when not accepted.
	Reason   string
	Outcomes []CommandOutcome
	// State after the commands, read at the same moment.
	State EngineState
}

// AdapterState is an adapter loaded on a replica.
type AdapterState struct {
	Adapter     string
	Version     string
	Attempt     AttemptID
	Phase       ReplicaPhase
	MemoryBytes int64
}

// ReplicaState is a replica held by an engine.
type ReplicaState struct {
	Model       string
	Version     string
	Slot        SlotID
	Attempt     AttemptID
	Phase       ReplicaPhase
	MemoryBytes int64
	Source      CheckpointSource
	// Progress of a load from 0 to 1.
	Progress float64
	// Running and Queued requests on this replica.
	Running, Queued int
	Adapters        []AdapterState
}

// CheckpointState is a checkpoint cached on an engine's machine.
type CheckpointState struct {
	Name    string
	Version string
	Source  CheckpointSource
}

// EngineState is what an engine reports of itself.
type EngineState struct {
	Server      ServerID
	Incarnation Incarnation
	// Fence is the highest the engine has seen.
	Fence Fence
	// Version grows with every change of replicas, checkpoints or leaving.
	Version uint64
	// Accelerators on the machine.
	Accelerators int
	MemoryBytes  int64
	// UsedBytes are reserved by replicas in any phase but failed.
	UsedBytes int64
	Replicas  []ReplicaState
	Cached    []CheckpointState
	// MaxBatch is how many requests run at once on one replica.
	MaxBatch int
	Role     string
	Leaving  bool
	// MeasuredAt is the engine's time of the load figures, which lag.
	MeasuredAt time.Time
}

// GenerateRequest is one attempt at a generation.
type GenerateRequest struct {
	Server    ServerID
	Attempt   AttemptID
	RequestID string
	// Model is the base model; Adapter may be empty.
	Model   string
	Adapter string
	Version string
	// Path is the OpenAI path, e.g. "/v1/chat/completions".
	Path string
	// Body is the caller's JSON body.
	Body     []byte
	Priority int
	Deadline time.Time
	// Key is the idempotency key, if any.
	Key string
	// ResumeFrom is the count of chunks already received of this request's
	// stream; the engine continues with the next.
	ResumeFrom int
}

// Chunk is a piece of a generated stream.
type Chunk struct {
	Attempt AttemptID
	// Index counts the chunks of the request's stream from 0, over resumptions.
	Index  int
	Text   string
	Tokens int
}

// Usage counts a generation's tokens.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	// CachedTokens of the prompt were found in the prefix cache.
	CachedTokens int
}

// GenerateEnd is the end of a complete stream.
type GenerateEnd struct {
	Attempt AttemptID
	// Chunks is the total number of chunks in the request's stream.
	Chunks       int
	FinishReason string
	Usage        Usage
	Load         LoadHint
}

// LoadHint is the load that a server tells with an answer.
type LoadHint struct {
	Running, Queued int
	Leaving         bool
}

// AttemptError is the failure of one attempt at a back end.
type AttemptError struct {
	Attempt AttemptID
	// Ran is RanNo only when proved: never sent, or refused by the back end.
	Ran result.Ran
	// Reason is a word: "refused", "not_loaded", "busy", "leaving",
	// "connection", "timeout", "truncated", "failed", "cancelled".
	Reason string
	Load   LoadHint
}

// Error makes an AttemptError an error.
func (e *AttemptError) Error() string {
	return "attempt " + string(e.Attempt) + ": " + e.Reason + " (ran: " + e.Ran.String() + ")"
}

// GenerateSink receives one attempt's stream: any number of Chunk calls, then
// exactly one End or Failed. Calls are in order and never overlap.
type GenerateSink interface {
	Chunk(chunk Chunk)
	End(end GenerateEnd)
	Failed(err *AttemptError)
}

// ErrServerUnreachable means that a server did not answer; whether it acted is
// unknown.
var ErrServerUnreachable = errors.New("server unreachable")

// EngineService reaches the model engines.
type EngineService interface {
	// Order sends a fenced order. On error the order may have been applied, or
	// may yet be applied unless a higher fence is seen first.
	Order(order Order, timeout time.Duration, done func(OrderResult, error))
	// State reads an engine's state; sinceVersion lets the engine answer
	// unchanged (nil state) when nothing but load changed.
	State(server ServerID, sinceVersion uint64, timeout time.Duration, done func(*EngineState, error))
	// Generate starts an attempt. The sink is called as a done callback is.
	// After cancel the sink still gets its End or Failed.
	Generate(request GenerateRequest, sink GenerateSink) (cancel func())
}

// BackEndRequest is one attempt at a back end that is no engine.
type BackEndRequest struct {
	Server    ServerID
	Attempt   AttemptID
	RequestID string
	Key       string
	Method    string
	Path      string
	// ContentType of the body.
	ContentType string
	Body        []byte
	Deadline    time.Time
}

// BackEndResponse is a complete answer.
type BackEndResponse struct {
	Attempt     AttemptID
	Status      int
	ContentType string
	Body        []byte
	Load        LoadHint
}

// BackEndService reaches servers such as enrolment or sync servers.
type BackEndService interface {
	// Call runs one attempt. The error is an *AttemptError.
	Call(request BackEndRequest, done func(BackEndResponse, error))
}
