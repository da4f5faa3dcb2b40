package load

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// The tests' view of a try's outcome.
type (
	TryRecord = tryRecord
	Outcome   = outcome
)

// Outcomes of tries.
var (
	ServedOutcome     = outcome{kind: outcomeServed}
	MismatchedOutcome = outcome{kind: outcomeServed, mismatched: true}
	CutOutcome        = outcome{kind: outcomeUnanswered, reason: reasonConnect}
	UndialedOutcome   = outcome{kind: outcomeUnanswered, reason: reasonDial}
	TimeoutOutcome    = outcome{kind: outcomeUnanswered, reason: reasonTimeout}
	NotRunOutcome     = outcome{kind: outcomeRefused, code: result.QueueFull, ran: "no"}
	UnknownOutcome    = outcome{kind: outcomeRefused, code: result.OutcomeUnknown, ran: "unknown"}
	DrainingOutcome   = outcome{kind: outcomeRefused, code: result.NodeDraining, ran: "no"}
)

// NewTry returns a try of a keyed request.
func NewTry(requestID, node, key string, sentAt, deadline, endedAt time.Time, end Outcome) TryRecord {
	return tryRecord{
		requestID: requestID, node: node, key: key, sentAt: sentAt, deadline: deadline, endedAt: endedAt, outcome: end,
	}
}

// Judge verifies tries against events of nodes and records of servers.
func Judge(tries []TryRecord, events []NodeEvent, records []record.Event) Verification {
	return evidence{tries: tries, events: events, lives: newNodeLives(events), server: records}.verify()
}
