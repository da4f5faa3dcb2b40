package edge

import "time"

const (
	// minDescriptors is the number of file descriptors that a node needs: the reserved
	// ones, and as many again for connections to clients, servers and nodes.
	minDescriptors = 2 * reservedDescriptors
	// reservedDescriptors is the number of a process's descriptors that are not available for
	// connections on the users' platform.
	reservedDescriptors = 200
	// idleConnectionShare is the share of the descriptors for connections that idle
	// connections to servers may occupy. The others are for clients, other nodes and requests
	// in flight.
	idleConnectionShare = 0.25
	// carriedConnectionShare is the share that connections carried for other nodes may occupy, with
	// two descriptors each.
	carriedConnectionShare = 0.25

	// The settings give bandwidth in megabits (10^6 bits).
	bitsPerMegabit, bitsPerByte = 1e6, 8
	// Sending one change to a large fleet takes a message of about 1 KB to each of 1,000 nodes.
	// Each message takes 60 µs of a core for encoding and system calls (measured with 985 nodes).
	fanOutNodes, fanOutMessageBytes = 1000, 1 << 10
	fanOutProcessorTime             = 60 * time.Microsecond
)

// Machine describes the resources that a node may use.
type Machine struct {
	// ProcessorShare is the share of a processor core that the process gets.
	ProcessorShare float64 `yaml:"processor_share"`
	// LinkMbps is the machine's bandwidth in 10^6 bits per second.
	LinkMbps float64 `yaml:"link_mbps"`
	// Descriptors is the maximum number of open file descriptors of the process.
	Descriptors int `yaml:"descriptors"`
}

// LinkBytesPerSecond returns the machine's bandwidth in bytes per second.
func (m Machine) LinkBytesPerSecond() float64 { return m.LinkMbps * bitsPerMegabit / bitsPerByte }

// MaxIdleConnections returns the maximum number of idle connections to servers.
func (m Machine) MaxIdleConnections() int {
	return int(idleConnectionShare * float64(m.Descriptors-reservedDescriptors))
}

// MaxCarriedConnections returns the maximum number of connections to servers that the node carries for
// other nodes.
func (m Machine) MaxCarriedConnections() int {
	return int(carriedConnectionShare / 2 * float64(m.Descriptors-reservedDescriptors))
}

// FanOutTime estimates how long the machine takes to send one change to all nodes of a large
// fleet. Nodes with a long fan-out time campaign later for the order holder's lease, since the
// holder sends changes often.
func (m Machine) FanOutTime() time.Duration {
	linkTime := fanOutMessageBytes / m.LinkBytesPerSecond() * float64(time.Second)
	processorTime := float64(fanOutProcessorTime) / m.ProcessorShare
	return time.Duration(fanOutNodes * (linkTime + processorTime))
}

// reportsPerSecondOfACore is how many calls for a server's report may take a quarter of a core, at
// some 0.25 ms each.
const reportsPerSecondOfACore = 1000

// ReportsPerSecond returns how many servers the machine may ask for reports in a second while it
// does other work.
func (m Machine) ReportsPerSecond() float64 { return reportsPerSecondOfACore * m.ProcessorShare }
