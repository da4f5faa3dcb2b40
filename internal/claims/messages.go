package claims

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// VoteStatus is the status in an acceptor's reply to a VoteRequest.
type VoteStatus uint8

// The statuses of a vote.
const (
	// VoteGranted: the acceptor has recorded the key for the attempt.
	VoteGranted VoteStatus = iota
	// VoteHeld: another attempt holds the key, or the key is contested.
	VoteHeld
	// VoteConflict: the key is held for a request with another digest.
	VoteConflict
	// VoteWrongEpoch: the acceptor is not active in that configuration, or is sealed.
	VoteWrongEpoch
	// VoteQuarantined: the shard's votes were lost; new keys are refused during Config.Quarantine,
	// while keys whose votes were lost expire.
	VoteQuarantined
	// VoteFull: the acceptor holds the maximum number of keys.
	VoteFull
)

// ConfigurationID identifies one configuration of a shard.
type ConfigurationID struct {
	Shard int
	Epoch uint64
	// Token distinguishes proposals for the same epoch.
	Token string
}

// VoteRequest asks an acceptor to record a key for an attempt.
type VoteRequest struct {
	Configuration ConfigurationID
	Key           Key
	// Attempt is the holder id of the claim round: the attempt's id and the number of the round.
	Attempt outside.AttemptID
	Digest  uint64
}

// VoteReply is the reply to a VoteRequest.
type VoteReply struct {
	Status VoteStatus
	// Holder is the key's holder id if the status is VoteGranted or VoteHeld; empty if the key is
	// contested.
	Holder outside.AttemptID
	// Outcome of the holder; nil if none is recorded.
	Outcome *Outcome
}

// RecordRequest asks an acceptor to store the outcome of the attempt that holds a key.
type RecordRequest struct {
	Configuration ConfigurationID
	Key           Key
	// Attempt is the holder id of the round that won, as in VoteRequest.
	Attempt outside.AttemptID
	Digest  uint64
	Outcome Outcome
}

// ReleaseRequest asks an acceptor to remove its vote for a claim round that was not won, or whose
// attempt never ran.
type ReleaseRequest struct {
	Configuration ConfigurationID
	Key           Key
	// Attempt is the holder id of the round whose vote is removed, as in VoteRequest.
	Attempt outside.AttemptID
}

// Acknowledgement is the reply to RecordRequest, ReleaseRequest, UnsealRequest and InstallRequest.
type Acknowledgement struct {
	OK bool
}

// SealRequest stops voting in a configuration at one acceptor and reads one page of its entries.
type SealRequest struct {
	Configuration ConfigurationID
	// Token identifies the proposal for which the acceptor is sealed.
	Token string
	// Page counts from 0.
	Page int
}

// UnsealRequest removes the seal of a proposal that was certainly not committed.
type UnsealRequest struct {
	Configuration ConfigurationID
	Token         string
}

// SealReply carries one page of a sealed acceptor's entries.
type SealReply struct {
	// OK is false if the acceptor is not active in that configuration.
	OK      bool
	Entries []KeyRecord
	// More reports that more pages follow.
	More bool
}

// InstallRequest transfers one page of a proposed configuration's entries to an acceptor. The acceptor
// votes in the configuration only once it is committed.
type InstallRequest struct {
	Configuration ConfigurationID
	// Page counts from 0; Last marks the final page.
	Page            int
	Last            bool
	Entries         []KeyRecord
	QuarantineUntil time.Time
}

// KeyRecord is an acceptor's record of one key, as stored and as transferred between configurations.
type KeyRecord struct {
	Key    Key
	Digest uint64
	// Holders are the claim rounds that may have won the key; if there is more than one, the key is
	// contested.
	Holders []outside.AttemptID
	Outcome *Outcome
	// ClaimedAt is the time of the first vote by the acceptor's own clock. It means nothing on another
	// node.
	ClaimedAt time.Time
	// Age is the age of the first vote when the record was transferred. Time that a record spends in a
	// snapshot in the key-value service is not counted, so that no clock difference can make a key
	// expire early.
	Age time.Duration
}

func init() {
	peer.RegisterAs("claims.VoteRequest", VoteRequest{})
	peer.RegisterAs("claims.VoteReply", VoteReply{})
	peer.RegisterAs("claims.RecordRequest", RecordRequest{})
	peer.RegisterAs("claims.ReleaseRequest", ReleaseRequest{})
	peer.RegisterAs("claims.Acknowledgement", Acknowledgement{})
	peer.RegisterAs("claims.SealRequest", SealRequest{})
	peer.RegisterAs("claims.UnsealRequest", UnsealRequest{})
	peer.RegisterAs("claims.SealReply", SealReply{})
	peer.RegisterAs("claims.InstallRequest", InstallRequest{})
}
