package edge

import "time"

const (
	// leastDescriptors is the least that a node runs with: those that are kept for
	// files, and as many again for connections of callers, servers and nodes.
	leastDescriptors = 2 * fileDescriptors
	// fileDescriptors of a process are not for connections, on the users' platform.
	fileDescriptors = 200
	// idleShare of the descriptors for connections may be kept open to servers without
	// being used. The others are for callers, for nodes, and for requests under way.
	idleShare = 0.25

	// bitsPerMegabit, and bitsPerByte.
	bitsPerMegabit, bitsPerByte = 1e6, 8
	// tellNodes, tellBytes and tellWork are what it takes to tell a fleet of one change:
	// a message of about 1 KB to each of 1,000 nodes, 60 µs of a core each (measured at
	// 985 nodes, encoding and system calls together).
	tellNodes, tellBytes = 1000, 1 << 10
	tellWork             = 60 * time.Microsecond
)

// Machine is what a node's machine has for it.
type Machine struct {
	// ProcessorShare of a core.
	ProcessorShare float64 `yaml:"processor_share"`
	// LinkMbps is the machine's bandwidth, in 10^6 bits a second.
	LinkMbps float64 `yaml:"link_mbps"`
	// Descriptors that the process may have open.
	Descriptors int `yaml:"descriptors"`
}

// LinkBytesPerSecond is the machine's bandwidth.
func (m Machine) LinkBytesPerSecond() float64 { return m.LinkMbps * bitsPerMegabit / bitsPerByte }

// IdleConnections is how many connections to servers may be kept without being used.
func (m Machine) IdleConnections() int {
	return int(idleShare * float64(m.Descriptors-fileDescriptors))
}

// TellTime is how long the machine takes to tell a large fleet of one change. A node
// that does so often should be one that does it fast.
func (m Machine) TellTime() time.Duration {
	sending := tellBytes / m.LinkBytesPerSecond() * float64(time.Second)
	working := float64(tellWork) / m.ProcessorShare
	return time.Duration(tellNodes * (sending + working))
}
