// Package result defines the numbered result codes that callers, operators and
// peers see, and the refusal type that carries them.
package result

import (
	"fmt"
	"net/http"
	"time"
)

// Code is a stable number for one kind of outcome. Numbers are never reused.
type Code int

// The result codes. docs/result-codes.md is tested against this list.
const (
	OK Code = 0

	// 1000s: the caller's request is at fault.

	MalformedRequest Code = 1001
	BodyTooLarge     Code = 1002
	UnknownModel     Code = 1003
	Forbidden        Code = 1004
	BadDeadline      Code = 1005
	Unauthenticated  Code = 1006
	KeyRequired      Code = 1007
	KeyConflict      Code = 1008
	HeadersTooLarge  Code = 1009
	Unsupported      Code = 1010
	CallerGone       Code = 1011
	UnknownPool      Code = 1012
	BadPriority      Code = 1013
	CallerTooSlow    Code = 1014
	KeyExpired       Code = 1015
	UnknownPath      Code = 1016
	RequestPoisonous Code = 1017

	// 2000s: the request was refused for want of capacity or time.

	DeadlineUnreachable Code = 2001
	DeadlinePassed      Code = 2002
	QueueFull           Code = 2003
	OverShare           Code = 2004
	ModelDisabled       Code = 2005
	NodeDraining        Code = 2006
	NoBackEnd           Code = 2007
	RetryBudgetSpent    Code = 2008
	Displaced           Code = 2009
	NodeNotReady        Code = 2010
	OverQuota           Code = 2011
	BackEndUnreachable  Code = 2012

	// 3000s: an attempt at a back end ended without a complete answer.

	OutcomeUnknown   Code = 3001
	StreamBroken     Code = 3002
	BackEndFailed    Code = 3003
	ClaimUnavailable Code = 3004
	AlreadyClaimed   Code = 3005
	BackEndRefused   Code = 3006

	// 4000s: an administrative call failed.

	RevisionConflict    Code = 4001
	InvalidTable        Code = 4002
	StoreUnavailable    Code = 4003
	WriteAmbiguous      Code = 4004
	NotFound            Code = 4005
	PreconditionMissing Code = 4006
	InvalidSettings     Code = 4007

	// 5000s: a fault inside or between nodes.

	Internal        Code = 5001
	StaleEpoch      Code = 5002
	NotOwner        Code = 5003
	BadPeerMessage  Code = 5004
	PeerUnreachable Code = 5005
)

// Ran says whether the request was run by a back end.
type Ran uint8

// The three states of knowledge about a run.
const (
	// RanNo is a proof: the request was never sent, or the back end refused it.
	RanNo Ran = iota
	// RanUnknown means the request may have run.
	RanUnknown
	// RanYes means a back end reported that it ran.
	RanYes
)

// String returns "no", "unknown" or "yes", as shown to callers.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Refusal is the final answer to a request that was not served.
type Refusal struct {
	Code Code
	// Ran says whether the request may have run.
	Ran Ran
	// RetryAfter tells the caller when a new try makes sense; zero: not at all.
	RetryAfter time.Duration
	// Message is one sentence for a person.
	Message string
}

// Error makes a Refusal usable as an error.
func (r Refusal) Error() string {
	return fmt.Sprintf("%d %s (ran: %s): %s", r.Code, r.Code.Name(), r.Ran, r.Message)
}

// Refuse builds a refusal of a request that was proved not to have run.
func Refuse(code Code, format string, arguments ...any) Refusal {
	return Refusal{Code: code, Ran: RanNo, Message: fmt.Sprintf(format, arguments...)}
}

// Info describes a code for the documentation and for the HTTP interface.
type Info struct {
	Code Code
	// Name is the snake_case word shown beside the number.
	Name string
	// Status is the HTTP status the code is sent with.
	Status int
	// Meaning is one sentence for the documentation.
	Meaning string
	// Action says what the receiver should do.
	Action string
}

// Name returns the code's snake_case word.
func (c Code) Name() string { return Describe(c).Name }

// Status returns the HTTP status the code is sent with.
func (c Code) Status() int { return Describe(c).Status }

// Describe returns the description of a code; an unlisted code is described
// as an internal fault.
func Describe(code Code) Info {
	if info, ok := infoByCode[code]; ok {
		return info
	}
	return Info{Code: code, Name: "unlisted", Status: http.StatusInternalServerError}
}
