package engine

import (
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// Reasons for which an order is not accepted.
const (
	ReasonStaleFence       = "stale_fence"
	ReasonOtherIncarnation = "other_incarnation"
	ReasonDown             = "down"
)

// Reasons for which a command is not accepted.
const (
	// ReasonAlreadyLoaded: another attempt holds the model or adapter here.
	ReasonAlreadyLoaded = "already_loaded"
	// ReasonAttemptEnded: the attempt was loaded here and has ended.
	ReasonAttemptEnded = "attempt_ended"
	// ReasonNoSuchAttempt: nothing of this attempt is here.
	ReasonNoSuchAttempt = "no_such_attempt"
	// ReasonNoBase: the adapter's base is neither loading nor ready here.
	ReasonNoBase = "no_base"
	// ReasonBadCommand: a field is missing or out of range.
	ReasonBadCommand = "bad_command"
)

// Order applies a fenced order. An order whose fence is not above the highest
// seen, or that is meant for another incarnation, changes nothing.
func (e *Engine) Order(order outside.Order) outside.OrderResult {
	var result outside.OrderResult
	e.exclusive(func() { result = e.order(order) })
	return result
}

func (e *Engine) order(order outside.Order) outside.OrderResult {
	if !e.alive {
		return outside.OrderResult{Reason: ReasonDown}
	}
	reason := e.refusal(order)
	e.log(record.Event{Kind: record.KindOrder, Fence: order.Fence, Accepted: reason == "", Reason: reason})
	if reason != "" {
		return outside.OrderResult{Reason: reason, State: e.state()}
	}
	e.fence = order.Fence
	result := outside.OrderResult{Accepted: true}
	for _, command := range order.Commands {
		result.Outcomes = append(result.Outcomes, e.apply(command, order.Fence))
	}
	result.State = e.state()
	return result
}

// refusal returns why an order is not accepted, or "". A stale fence is named
// first: its sender has been replaced, whatever incarnation it knew. An order
// for another incarnation does not raise the fence.
func (e *Engine) refusal(order outside.Order) string {
	switch {
	case !e.fence.Less(order.Fence):
		return ReasonStaleFence
	case order.Server != "" && order.Server != e.config.Server:
		return ReasonOtherIncarnation
	case order.Incarnation != "" && order.Incarnation != e.incarnation:
		return ReasonOtherIncarnation
	default:
		return ""
	}
}

// apply runs one command and records its outcome.
func (e *Engine) apply(command outside.Command, fence outside.Fence) outside.CommandOutcome {
	reason := e.run(command)
	e.log(record.Event{
		Kind: record.KindCommand, Command: command.Kind.String(), Fence: fence,
		Accepted: reason == "", Reason: reason,
		Model: command.Model, Version: command.Version, Adapter: command.Adapter,
		Slot: command.Slot, Attempt: command.Attempt,
	})
	return outside.CommandOutcome{Accepted: reason == "", Reason: reason}
}

// run returns the reason why the command was not accepted, or "".
func (e *Engine) run(command outside.Command) string {
	switch command.Kind {
	case outside.CommandLoadModel:
		return e.loadModel(command)
	case outside.CommandUnloadModel:
		return e.unloadModel(command)
	case outside.CommandLoadAdapter:
		return e.loadAdapter(command)
	case outside.CommandUnloadAdapter:
		return e.unloadAdapter(command)
	case outside.CommandSetRole:
		return e.setRole(command.Role)
	default:
		return ReasonBadCommand
	}
}

func (e *Engine) setRole(role string) string {
	if role != RoleMixed && role != RolePrefill && role != RoleDecode {
		return ReasonBadCommand
	}
	if e.role == role {
		return ""
	}
	e.role = role
	e.version++
	e.log(record.Event{Kind: record.KindRoleChanged, Reason: role})
	return ""
}

// checkLoad returns why a load can't begin, or "". Held is the attempt that
// holds the same model or adapter, "" if none.
func (e *Engine) checkLoad(command outside.Command, held outside.AttemptID) string {
	if command.Model == "" || command.Attempt == "" || command.MemoryBytes <= 0 || command.WeightBytes < 0 {
		return ReasonBadCommand
	}
	if held != "" {
		return ReasonAlreadyLoaded
	}
	if _, seen := e.loads[command.Attempt]; seen {
		return ReasonAttemptEnded
	}
	return ""
}
