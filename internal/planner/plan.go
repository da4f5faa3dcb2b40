package planner

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Action is what a decision does.
type Action uint8

// The actions.
const (
	ActionLoad Action = iota
	ActionUnload
	ActionLoadAdapter
	ActionUnloadAdapter
	// ActionResume ends the draining of a replica whose unload was not ordered.
	ActionResume
)

// String returns the action's name.
func (a Action) String() string {
	return [...]string{"load", "unload", "load_adapter", "unload_adapter", "resume"}[a]
}

// Reason says why a decision was made.
type Reason uint8

// The reasons.
const (
	ReasonWaiting Reason = iota
	ReasonScaleUp
	ReasonMinimum
	ReasonPinned
	ReasonForeseen
	ReasonVersionChange
	ReasonServerLeaving
	ReasonReplaceLeaving
	ReasonRowRemoved
	ReasonOverMaximum
	ReasonIdle
	ReasonMakeRoom
	ReasonNeededAgain
)

// String returns the reason's name, as in logs and on the status page.
func (r Reason) String() string {
	return [...]string{
		"waiting", "scale_up", "minimum", "pinned", "foreseen", "version_change", "server_leaving",
		"replace_leaving", "row_removed", "over_maximum", "idle", "make_room", "needed_again",
	}[r]
}

// Decision is one change of what a server holds.
type Decision struct {
	Action Action
	Reason Reason
	Server outside.ServerID
	// Model is the base model.
	Model string
	// Adapter is set for the adapter actions.
	Adapter string
	Version string
	// Slot to load into, or the slot of the replica concerned.
	Slot outside.SlotID
	// Attempt of the replica or adapter to unload or resume; of the replica
	// when loading an adapter. Empty if the replica is loaded by this plan.
	Attempt outside.AttemptID
	// MemoryBytes to reserve and WeightBytes to fetch, for loads.
	MemoryBytes, WeightBytes int64
	// Source of the weights and ExpectedReady are set for loads.
	Source        outside.CheckpointSource
	ExpectedReady time.Time
	// For is the row for which memory is freed if the reason is ReasonMakeRoom.
	For string
}

// RowPlan is the plan's outcome for one base model.
type RowPlan struct {
	Model   string
	Desired int
	// ReadyAt estimates when the next replica is ready; zero if none is planned.
	ReadyAt time.Time
	// Refused is the reason why no replica can be loaded in this cell; otherwise empty.
	Refused string
}

// Plan is an ordered list of decisions, with the outcome for each base model.
type Plan struct {
	Decisions []Decision
	// Rows in order of model.
	Rows []RowPlan
}

// Values of RowPlan.Refused.
const (
	RefusedNoReplicas = "no_replicas_allotted"
	RefusedTooLarge   = "larger_than_any_server"
)
