package tcp

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"

	"github.com/hatchplank/hatchplank/internal/bytebudget"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// envelopeKind tells calls, one-way messages and replies apart.
type envelopeKind uint8

// The kinds of envelope. The zero value is not a kind, so that an empty envelope
// is detected.
const (
	envelopeCall envelopeKind = iota + 1
	envelopeOneWay
	// envelopeReply with ID 0 is no reply to a call: it announces that the sender answers probes, or
	// answers one.
	envelopeReply
	// envelopeProbe asks for a reply with ID 0.
	envelopeProbe
)

// envelope is the content of a frame.
type envelope struct {
	Kind envelopeKind
	// ID of a call, repeated in its reply.
	ID uint64
	// Failure is the error text of a reply; empty if the call succeeded.
	Failure string
	Message peer.Message
}

func (e *envelope) validate() error {
	switch e.Kind {
	case envelopeCall, envelopeOneWay:
		if e.Message == nil {
			return fmt.Errorf("%w: message is missing", errBadFrame)
		}
		return nil
	case envelopeReply, envelopeProbe:
		return nil
	default:
		return fmt.Errorf("%w: unknown envelope kind %d", errBadFrame, e.Kind)
	}
}

// encoder encodes envelopes as frames of one gob stream, which describes each
// type only once. It must not be used after an error.
type encoder struct {
	buffer bytes.Buffer
	gob    *gob.Encoder
	limit  int
}

func newEncoder(limit int) *encoder {
	created := &encoder{limit: limit}
	created.gob = gob.NewEncoder(&created.buffer)
	return created
}

// encode returns the envelope's frame, which is valid until the next call. The
// error matches errMessageTooLarge if the frame exceeds the limit.
func (e *encoder) encode(message *envelope) ([]byte, error) {
	if e.buffer.Cap() > maxRetainedBufferBytes {
		e.buffer = bytes.Buffer{}
	}
	e.buffer.Reset()
	var prefix [lengthPrefixBytes]byte
	e.buffer.Write(prefix[:])
	if err := e.gob.Encode(message); err != nil {
		return nil, err
	}
	frame := e.buffer.Bytes()
	length := len(frame) - lengthPrefixBytes
	if length > e.limit {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", errMessageTooLarge, length, e.limit)
	}
	binary.BigEndian.PutUint32(frame, uint32(length))
	return frame, nil
}

// decoder reads the frames of one gob stream. It must not be used after an error.
type decoder struct {
	source io.Reader
	buffer bytes.Buffer
	gob    *gob.Decoder
	limit  int
	// account has the bytes of buffer and of the gob decoder's buffer, which is as
	// large as the largest frame so far; nil: they are not limited.
	account *bytebudget.Account
	largest int
}

func newDecoder(source io.Reader, limit int) *decoder {
	created := &decoder{source: source, limit: limit}
	created.gob = gob.NewDecoder(&created.buffer)
	return created
}

// decode reads one envelope and returns the size of its frame in bytes. Errors
// match errBadFrame unless reading from the connection failed.
func (d *decoder) decode() (message envelope, size int, err error) {
	if err := readFrame(d.source, &d.buffer, d.limit, d.reserve); err != nil {
		return envelope{}, 0, err
	}
	size = lengthPrefixBytes + d.buffer.Len()
	d.largest = max(d.largest, d.buffer.Len())
	if !d.reserve(d.buffer.Cap()) {
		return envelope{}, 0, errMemoryShort
	}
	defer d.releaseBuffer()
	if err := d.decodeGob(&message); err != nil {
		return envelope{}, size, fmt.Errorf("%w: %w", errBadFrame, err)
	}
	if d.buffer.Len() > 0 {
		return envelope{}, size, fmt.Errorf("%w: %d bytes after the message", errBadFrame, d.buffer.Len())
	}
	return message, size, message.validate()
}

// reserve reserves memory for a buffer of the capacity.
func (d *decoder) reserve(capacity int) bool { return d.account.Resize(int64(capacity + d.largest)) }

// releaseBuffer releases the buffer of a long frame.
func (d *decoder) releaseBuffer() {
	if d.buffer.Cap() > maxRetainedBufferBytes {
		d.buffer = bytes.Buffer{}
	}
	d.reserve(d.buffer.Cap())
}

// decodeGob decodes one gob value, and returns a panic of the gob decoder on
// malformed input as an error.
func (d *decoder) decodeGob(message *envelope) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("gob: %v", cause)
		}
	}()
	return d.gob.Decode(message)
}

// checkEncodable returns an error if gob can't encode the message.
func checkEncodable(message peer.Message) error {
	return gob.NewEncoder(io.Discard).Encode(&envelope{Kind: envelopeOneWay, Message: message})
}
