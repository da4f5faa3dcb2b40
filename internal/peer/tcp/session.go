package tcp

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/bytebudget"
	"github.com/hatchplank/hatchplank/internal/result"
)

// connectionBufferBytes is the size of each of the two buffers of a connection.
const connectionBufferBytes = 4 << 10

// session is a connection after its handshake. One goroutine writes to it and
// another reads from it.
type session struct {
	transport *Transport
	conn      net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	encoder   *encoder
	decoder   *decoder
	// received and sent are the bytes since the handshake.
	received, sent atomic.Uint64
}

func newSession(transport *Transport, conn net.Conn) *session {
	limit := transport.config.MaxFrameBytes
	created := &session{
		transport: transport,
		conn:      conn,
		writer:    bufio.NewWriterSize(conn, connectionBufferBytes),
		encoder:   newEncoder(limit),
	}
	created.reader = bufio.NewReaderSize(countingReader{conn, &created.received}, connectionBufferBytes)
	created.decoder = newDecoder(created.reader, limit)
	created.decoder.account = transport.config.Memory.Open(bytebudget.Frames, nil)
	return created
}

func (s *session) close() { _ = s.conn.Close() }

// write buffers one message. After an error the session must be closed.
func (s *session) write(message *envelope) error {
	frame, err := s.encoder.encode(message)
	if err != nil {
		s.transport.config.Logger.Error().Err(err).Type("message", message.Message).
			Str("peer", s.conn.RemoteAddr().String()).Msg("message not sent, connection closed")
		return err
	}
	s.transport.statistics.messagesSent.Add(1)
	s.transport.statistics.bytesSent.Add(uint64(len(frame)))
	s.sent.Add(uint64(len(frame)))
	s.setWriteDeadline()
	_, err = s.writer.Write(frame)
	return err
}

func (s *session) flush() bool {
	s.setWriteDeadline()
	return s.writer.Flush() == nil
}

func (s *session) setWriteDeadline() {
	// An error is returned by the write that follows.
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.transport.config.WriteTimeout))
}

// readLoop passes each message to receive until the connection is closed or becomes
// a stream. It closes the connection after an invalid message.
func (s *session) readLoop(receive func(envelope) error) {
	defer s.decoder.account.Close()
	for {
		message, size, err := s.decoder.decode()
		if err == nil {
			s.transport.statistics.messagesReceived.Add(1)
			s.transport.statistics.bytesReceived.Add(uint64(size))
			err = receive(message)
		}
		if errors.Is(err, errStreamBegins) {
			return
		}
		if errors.Is(err, errBadFrame) {
			s.transport.reportViolation(s.conn, err)
		}
		if err != nil {
			s.close()
			return
		}
	}
}

// reportViolation counts and logs a violation of the protocol by a peer. The rate
// of log lines is limited.
func (t *Transport) reportViolation(conn net.Conn, err error) {
	t.statistics.protocolViolations.Add(1)
	if !t.violationLogLimiter.Allow() {
		return
	}
	t.config.Logger.Warn().Err(err).Int("code", int(result.BadPeerMessage)).
		Str("reason", result.BadPeerMessage.Name()).
		Str("peer", conn.RemoteAddr().String()).Msg("peer connection closed")
}
