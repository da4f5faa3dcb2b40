package membership

import "encoding/gob"

// ProbeMessage asks the receiver to confirm that it is the member named.
type ProbeMessage struct {
	// Target is the ID of the probed member.
	Target string
}

// IndirectProbeMessage asks the receiver to probe another member and to forward
// its reply.
type IndirectProbeMessage struct {
	// Target is the ID of the member to probe, Address its peer address.
	Target, Address string
}

// ProbeReply confirms that the probed member answered.
type ProbeReply struct{}

func init() {
	gob.Register(ProbeMessage{})
	gob.Register(IndirectProbeMessage{})
	gob.Register(ProbeReply{})
}
