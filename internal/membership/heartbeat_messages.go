package membership

import "encoding/gob"

// ProbeMessage asks a node whether it is the member named.
type ProbeMessage struct {
	// Target is the ID of the member probed.
	Target string
}

// IndirectProbeMessage asks a node to probe another one.
type IndirectProbeMessage struct {
	// Target is the ID of the member to probe, at Address.
	Target, Address string
}

// ProbeReply tells that the member probed answered.
type ProbeReply struct{}

func init() {
	gob.Register(ProbeMessage{})
	gob.Register(IndirectProbeMessage{})
	gob.Register(ProbeReply{})
}
