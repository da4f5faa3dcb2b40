package record

import "fmt"

// Kind is the type of an Event.
type Kind uint8

// The kinds of event.
const (
	// KindOrder: an order arrived; Fence, Accepted, Reason.
	KindOrder Kind = iota + 1
	// KindCommand: one command of an accepted order; Command, Accepted, Reason.
	KindCommand
	// KindLoadStarted, KindLoadReady and KindLoadFailed: a replica's load.
	KindLoadStarted
	KindLoadReady
	KindLoadFailed
	// KindUnloadStarted and KindUnloadFinished: a replica's unload.
	KindUnloadStarted
	KindUnloadFinished
	// The same for an adapter on a replica.
	KindAdapterLoadStarted
	KindAdapterLoadReady
	KindAdapterLoadFailed
	KindAdapterUnloadStarted
	KindAdapterUnloadFinished
	// KindMemory: the memory in use changed; UsedBytes, CapacityBytes,
	// Overcommitted.
	KindMemory
	// KindGenerationReceived: an attempt arrived.
	KindGenerationReceived
	// KindGenerationStarted: the attempt began to run.
	KindGenerationStarted
	// KindGenerationRefused: the attempt was refused without running; Reason.
	KindGenerationRefused
	// KindGenerationCompleted: all chunks and the end were handed to the
	// transport.
	KindGenerationCompleted
	// KindGenerationCancelled: the caller cancelled; Chunks is 0 and Reason
	// "queued" if it had not run.
	KindGenerationCancelled
	// KindGenerationTruncated: the stream ended without its end; Reason.
	KindGenerationTruncated
	// KindBackEndReceived, KindBackEndRun and KindBackEndRefused: a call of a
	// server that is no engine; KindBackEndRun is written once per run.
	KindBackEndReceived
	KindBackEndRun
	KindBackEndRefused
	// KindMachinePhase: a machine was announced, is leaving, or is gone.
	KindMachinePhase
	// KindProcessStarted and KindProcessDied: a server's process.
	KindProcessStarted
	KindProcessDied
	// KindRoleChanged: the engine's role changed; Reason is the role.
	KindRoleChanged

	kindEnd
)

var kindNames = [kindEnd]string{
	KindOrder:                 "order",
	KindCommand:               "command",
	KindLoadStarted:           "load_started",
	KindLoadReady:             "load_ready",
	KindLoadFailed:            "load_failed",
	KindUnloadStarted:         "unload_started",
	KindUnloadFinished:        "unload_finished",
	KindAdapterLoadStarted:    "adapter_load_started",
	KindAdapterLoadReady:      "adapter_load_ready",
	KindAdapterLoadFailed:     "adapter_load_failed",
	KindAdapterUnloadStarted:  "adapter_unload_started",
	KindAdapterUnloadFinished: "adapter_unload_finished",
	KindMemory:                "memory",
	KindGenerationReceived:    "generation_received",
	KindGenerationStarted:     "generation_started",
	KindGenerationRefused:     "generation_refused",
	KindGenerationCompleted:   "generation_completed",
	KindGenerationCancelled:   "generation_cancelled",
	KindGenerationTruncated:   "generation_truncated",
	KindBackEndReceived:       "backend_received",
	KindBackEndRun:            "backend_run",
	KindBackEndRefused:        "backend_refused",
	KindMachinePhase:          "machine_phase",
	KindProcessStarted:        "process_started",
	KindProcessDied:           "process_died",
	KindRoleChanged:           "role_changed",
}

// String returns the kind's word.
func (k Kind) String() string {
	if k == 0 || k >= kindEnd {
		return "unknown"
	}
	return kindNames[k]
}

// MarshalText writes the kind's word.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads the kind's word.
func (k *Kind) UnmarshalText(text []byte) error {
	for kind := KindOrder; kind < kindEnd; kind++ {
		if kindNames[kind] == string(text) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("unknown kind of event %q", text)
}
