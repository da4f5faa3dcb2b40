package tcp

import "sync/atomic"

// Statistics count what a transport did since it was made.
type Statistics struct {
	MessagesSent, MessagesReceived uint64
	// BytesSent and BytesReceived count frames, without TCP, TLS and handshakes.
	BytesSent, BytesReceived uint64
	// Dropped messages were never sent: the peer was unreachable, or its queue
	// full.
	Dropped uint64
	// ProtocolViolations are connections closed for breaking the protocol.
	ProtocolViolations uint64
	// RejectedConnections exceeded a limit.
	RejectedConnections uint64
}

type statistics struct {
	messagesSent, messagesReceived        atomic.Uint64
	bytesSent, bytesReceived              atomic.Uint64
	dropped, badPeers, refusedConnections atomic.Uint64
}

// Statistics returns the counts so far.
func (t *Transport) Statistics() Statistics {
	return Statistics{
		MessagesSent:        t.statistics.messagesSent.Load(),
		MessagesReceived:    t.statistics.messagesReceived.Load(),
		BytesSent:           t.statistics.bytesSent.Load(),
		BytesReceived:       t.statistics.bytesReceived.Load(),
		Dropped:             t.statistics.dropped.Load(),
		ProtocolViolations:  t.statistics.badPeers.Load(),
		RejectedConnections: t.statistics.refusedConnections.Load(),
	}
}
