package streamorigin

import "github.com/hatchplank/hatchplank/internal/peer"

// Key is the digest of the ID of the request that brought a stream's first event.
type Key [16]byte

// Began tells another node which streams began at servers of one pool and software version.
type Began struct {
	Pool, SoftwareVersion string
	Streams               []Key
}

// Lookup asks another node for the origin of a stream.
type Lookup struct {
	Stream Key
	// Pool in which the sender would resume the stream.
	Pool string
}

// LookupReply is the reply to a Lookup.
type LookupReply struct {
	// Known: the node knows the origin, which is the pool with the software version.
	Known                 bool
	Pool, SoftwareVersion string
	// Mixed: the pool that was asked for had several software versions within the retention.
	Mixed bool
	// Versions that the node knows the pool to have had within the retention, and whether the pool had no
	// others. Builds that send none know only what Mixed says.
	Versions []string
	Complete bool
}

func init() {
	peer.RegisterAs("streamorigin.Began", Began{})
	peer.RegisterAs("streamorigin.Lookup", Lookup{})
	peer.RegisterAs("streamorigin.LookupReply", LookupReply{})
}
