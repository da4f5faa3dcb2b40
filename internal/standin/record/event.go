// Package record keeps what the platform's stand-ins saw. It is the only
// source of the checkers: they never ask the nodes under test.
package record

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Event is one thing a stand-in saw. Kind says which of the fields are set; the
// struct is flat so that millions of events cost one copy each.
type Event struct {
	// Sequence numbers the events of one Log from 1; set by Append.
	Sequence    uint64              `json:"sequence"`
	At          time.Time           `json:"at"`
	Kind        Kind                `json:"kind"`
	Server      outside.ServerID    `json:"server,omitempty"`
	Incarnation outside.Incarnation `json:"incarnation,omitempty"`
	// Fence of an order.
	Fence outside.Fence `json:"fence,omitzero"`
	// Command of a KindCommand event, as outside.CommandKind's word.
	Command string `json:"command,omitempty"`
	// Accepted tells whether an order or command was accepted.
	Accepted bool `json:"accepted,omitempty"`
	// Reason is a word for a refusal, a failure or a truncation.
	Reason string `json:"reason,omitempty"`

	Model   string         `json:"model,omitempty"`
	Version string         `json:"version,omitempty"`
	Adapter string         `json:"adapter,omitempty"`
	Slot    outside.SlotID `json:"slot,omitempty"`
	// Attempt of a load, a generation or a back-end call.
	Attempt outside.AttemptID `json:"attempt,omitempty"`
	// Source of a load, as outside.CheckpointSource's word.
	Source string `json:"source,omitempty"`

	// UsedBytes of CapacityBytes are in use after a KindMemory event.
	UsedBytes     int64 `json:"used_bytes,omitempty"`
	CapacityBytes int64 `json:"capacity_bytes,omitempty"`
	// Overcommitted: UsedBytes exceeds CapacityBytes.
	Overcommitted bool `json:"overcommitted,omitempty"`

	RequestID string `json:"request_id,omitempty"`
	// Key is the idempotency key of a generation or back-end run.
	Key string `json:"key,omitempty"`
	// BodyDigest is the hash of the request's body.
	BodyDigest uint64 `json:"body_digest,omitempty"`
	// Chunks sent so far in the request's stream.
	Chunks int `json:"chunks,omitempty"`
	// Leaving: the server was leaving when the event happened.
	Leaving bool `json:"leaving,omitempty"`
	// Phase of a KindMachinePhase event; "gone" when the machine vanished.
	Phase string `json:"phase,omitempty"`
	// Deadline of a leaving machine.
	Deadline time.Time `json:"deadline,omitzero"`
}
