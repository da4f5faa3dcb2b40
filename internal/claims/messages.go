package claims

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// VoteStatus is an acceptor's answer to a VoteRequest.
type VoteStatus uint8

// The answers of an acceptor.
const (
	// VoteGranted: the acceptor records the key for the attempt.
	VoteGranted VoteStatus = iota
	// VoteHeld: another attempt came first, or the key is contested.
	VoteHeld
	// VoteConflict: the key is held for a request with another digest.
	VoteConflict
	// VoteWrongEpoch: the acceptor is not active in that configuration.
	VoteWrongEpoch
	// VoteQuarantined: the shard lost its records and waits for old keys to
	// expire.
	VoteQuarantined
	// VoteFull: the acceptor holds as many keys as it may.
	VoteFull
)

// ConfigurationID names one configuration of a shard.
type ConfigurationID struct {
	Shard int
	Epoch uint64
	// Token tells apart two proposals of the same epoch.
	Token string
}

// VoteRequest asks an acceptor to record a key for an attempt.
type VoteRequest struct {
	Configuration ConfigurationID
	Key           Key
	Attempt       outside.AttemptID
	Digest        uint64
}

// VoteReply answers a VoteRequest or an OutcomeQuery.
type VoteReply struct {
	Status  VoteStatus
	Holder  outside.AttemptID
	Outcome *Outcome
}

// RecordRequest stores the outcome of the attempt that holds a key.
type RecordRequest struct {
	Configuration ConfigurationID
	Key           Key
	Attempt       outside.AttemptID
	Digest        uint64
	Outcome       Outcome
}

// ReleaseRequest removes the vote for an attempt that never ran.
type ReleaseRequest struct {
	Configuration ConfigurationID
	Key           Key
	Attempt       outside.AttemptID
}

// Acknowledgement answers RecordRequest, ReleaseRequest and InstallRequest.
type Acknowledgement struct {
	OK bool
}

// SealRequest ends voting in a configuration at one acceptor and reads its
// entries, page by page.
type SealRequest struct {
	Configuration ConfigurationID
	// Token of the proposal for which the acceptor is sealed.
	Token string
	// Page counts from 0.
	Page int
}

// UnsealRequest takes back a seal whose proposal was certainly not committed.
type UnsealRequest struct {
	Configuration ConfigurationID
	Token         string
}

// SealReply carries one page of a sealed acceptor's entries.
type SealReply struct {
	// OK is false when the acceptor does not hold that configuration.
	OK      bool
	Entries []KeyRecord
	// More pages follow.
	More bool
}

// InstallRequest hands entries of a proposed configuration to an acceptor. It
// takes part in votes only once the configuration is committed.
type InstallRequest struct {
	Configuration ConfigurationID
	// Page counts from 0; Last marks the final page.
	Page            int
	Last            bool
	Entries         []KeyRecord
	QuarantineUntil time.Time
}

// KeyRecord is one key's record, as transferred between configurations.
type KeyRecord struct {
	Key    Key
	Digest uint64
	// Holders that may have won the key; more than one: contested.
	Holders []outside.AttemptID
	Outcome *Outcome
	// ClaimedAt is the first vote by the acceptor's own clock, which says nothing
	// to another node.
	ClaimedAt time.Time
	// Age of the first vote when the record was handed over. The time that it
	// rests in the key-value service is not counted, so that no clock there can
	// make a key be forgotten early.
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
