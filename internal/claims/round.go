package claims

import (
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// claimRound counts the replies to one round of vote requests in one configuration.
type claimRound struct {
	configuration Configuration
	holder        outside.AttemptID
	replies       int
	granted       int
	conflicts     int
	// heldBy counts VoteHeld replies by holder; the empty holder stands for a contested key.
	heldBy        map[outside.AttemptID]int
	outcome       *Outcome
	outcomeHolder outside.AttemptID
	// closed: the round is decided or abandoned; later replies are ignored.
	closed bool
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
	case VoteGranted:
		r.granted++
	case VoteHeld:
		r.heldBy[reply.Holder]++
	case VoteConflict:
		r.conflicts++
	}
}

// roundDecision is the state of a round's vote count.
type roundDecision uint8

const (
	undecided roundDecision = iota
	won
	heldByOther
	digestMismatch
	noMajority
)

// String returns the decision as it appears in logs.
func (d roundDecision) String() string {
	switch d {
	case won:
		return "granted"
	case heldByOther:
		return "held by another attempt"
	case digestMismatch:
		return "used for another request"
	case noMajority:
		return "no majority"
	default:
		return "undecided"
	}
}

// decide returns the decision on the replies counted so far.
func (r *claimRound) decide() roundDecision {
	quorum := r.configuration.writeQuorum()
	if r.granted >= quorum {
		return won
	}
	if r.outcome != nil {
		return heldByOther
	}
	if r.conflicts >= quorum {
		return digestMismatch
	}
	for _, votes := range r.heldBy {
		if votes >= quorum {
			return heldByOther
		}
	}
	if r.replies == len(r.configuration.Acceptors) {
		return noMajority
	}
	return undecided
}

// majorityHolder returns the holder that has recorded an outcome or that a write quorum reported;
// empty if there is none.
func (r *claimRound) majorityHolder() outside.AttemptID {
	if r.outcome != nil {
		return r.outcomeHolder
	}
	for holder, votes := range r.heldBy {
		if votes >= r.configuration.writeQuorum() {
			return holder
		}
	}
	return ""
}
