package tcp

import "sync/atomic"

// Statistics holds the counters of a transport since its creation.
type Statistics struct {
	MessagesSent, MessagesReceived uint64
	// BytesSent and BytesReceived count the bytes of frames, without the overhead
	// of TCP, TLS and handshakes.
	BytesSent, BytesReceived uint64
	// Dropped counts messages that were not sent because the peer was unreachable,
	// its queue was full or the message exceeded MaxFrameBytes.
	Dropped uint64
	// ProtocolViolations counts connections closed because the peer violated the
	// protocol.
	ProtocolViolations uint64
	// RejectedConnections counts connections that exceeded MaxConnections or
	// MaxHandshakes.
	RejectedConnections uint64
	// SilentConnections counts connections closed because the peer was silent.
	SilentConnections uint64
}

type statistics struct {
	messagesSent, messagesReceived                   atomic.Uint64
	bytesSent, bytesReceived                         atomic.Uint64
	dropped, protocolViolations, rejectedConnections atomic.Uint64
	silentConnections                                atomic.Uint64
}

// Statistics returns the current counters.
func (t *Transport) Statistics() Statistics {
	return Statistics{
		MessagesSent:        t.statistics.messagesSent.Load(),
		MessagesReceived:    t.statistics.messagesReceived.Load(),
		BytesSent:           t.statistics.bytesSent.Load(),
		BytesReceived:       t.statistics.bytesReceived.Load(),
		Dropped:             t.statistics.dropped.Load(),
		ProtocolViolations:  t.statistics.protocolViolations.Load(),
		RejectedConnections: t.statistics.rejectedConnections.Load(),
		SilentConnections:   t.statistics.silentConnections.Load(),
	}
}
