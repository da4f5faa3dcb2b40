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
	// Mixed: the node has lately seen servers of several software versions in the pool that was asked for.
	Mixed bool
}

func init() {
	peer.RegisterAs("streamorigin.Began", Began{})
	peer.RegisterAs("streamorigin.Lookup", Lookup{})
	peer.RegisterAs("streamorigin.LookupReply", LookupReply{})
}
