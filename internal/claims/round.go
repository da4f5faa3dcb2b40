package claims

import (
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// claimRound counts the votes of one configuration.
type claimRound struct {
	configuration Configuration
	holder        outside.AttemptID
	replies       int
	given         int
	conflicts     int
	held          map[outside.AttemptID]int
	outcome       *Outcome
	outcomeHolder outside.AttemptID
	ended         bool
}

func (r *claimRound) count(message peer.Message, err error) {
	r.replies++
	reply, ok := message.(VoteReply)
	if err != nil || !ok {
		return
	}
	if reply.Outcome != nil {
		r.outcome = reply.Outcome
		r.outcomeHolder = reply.Holder
	}
	switch reply.Status {
	case VoteGiven:
		r.given++
	case VoteHeld:
		r.held[reply.Holder]++
	case VoteConflict:
		r.conflicts++
	}
}

type roundDecision uint8

const (
	undecided roundDecision = iota
	won
	heldByOther
	usedForOther
	noMajority
)

// String is the decision's word in logs.
func (d roundDecision) String() string {
	switch d {
	case won:
		return "granted"
	case heldByOther:
		return "held by another attempt"
	case usedForOther:
		return "used for another request"
	case noMajority:
		return "no majority"
	default:
		return "undecided"
	}
}

// decide looks at the votes so far.
func (r *claimRound) decide() roundDecision {
	quorum := r.configuration.writeQuorum()
	if r.given >= quorum {
		return won
	}
	if r.outcome != nil {
		return heldByOther
	}
	if r.conflicts >= quorum {
		return usedForOther
	}
	for _, votes := range r.held {
		if votes >= quorum {
			return heldByOther
		}
	}
	if r.replies == len(r.configuration.Acceptors) {
		return noMajority
	}
	return undecided
}

func (r *claimRound) majorityHolder() outside.AttemptID {
	if r.outcome != nil {
		return r.outcomeHolder
	}
	for holder, votes := range r.held {
		if votes >= r.configuration.writeQuorum() {
			return holder
		}
	}
	return ""
}
