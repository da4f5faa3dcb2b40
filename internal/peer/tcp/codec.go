package tcp

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// envelopeKind says how a message is to be treated.
type envelopeKind uint8

// The kinds of envelope. The zero value is none, so that an empty one shows.
const (
	envelopeCall envelopeKind = iota + 1
	envelopeOneWay
	envelopeReply
)

// envelope is what a frame carries.
type envelope struct {
	Kind envelopeKind
	// ID matches a reply to its call.
	ID uint64
	// Failure is the text of a reply's error.
	Failure string
	Message peer.Message
}

func (e *envelope) validate() error {
	switch e.Kind {
	case envelopeCall, envelopeOneWay:
		if e.Message == nil {
			return fmt.Errorf("%w: no message", errBadFrame)
		}
		return nil
	case envelopeReply:
		return nil
	default:
		return fmt.Errorf("%w: kind %d", errBadFrame, e.Kind)
	}
}

// encoder writes envelopes as frames of one gob stream, which describes each
// type once. After an error it must not be used any more.
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

// encode returns the frame, which is valid until the next call.
func (e *encoder) encode(message *envelope) ([]byte, error) {
	if e.buffer.Cap() > maxKeptBuffer {
		e.buffer = bytes.Buffer{}
	}
	e.buffer.Reset()
	var prefix [lengthBytes]byte
	e.buffer.Write(prefix[:])
	if err := e.gob.Encode(message); err != nil {
		return nil, err
	}
	frame := e.buffer.Bytes()
	length := len(frame) - lengthBytes
	if length > e.limit {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", errMessageTooLarge, length, e.limit)
	}
	binary.BigEndian.PutUint32(frame, uint32(length))
	return frame, nil
}

// decoder reads the frames of one gob stream. After an error it must not be
// used any more.
type decoder struct {
	source io.Reader
	buffer bytes.Buffer
	gob    *gob.Decoder
	limit  int
}

func newDecoder(source io.Reader, limit int) *decoder {
	created := &decoder{source: source, limit: limit}
	created.gob = gob.NewDecoder(&created.buffer)
	return created
}

// decode reads one envelope and returns the size of its frame. Errors match
// errBadFrame unless the connection broke between frames.
func (d *decoder) decode() (message envelope, size int, err error) {
	if err := readFrame(d.source, &d.buffer, d.limit); err != nil {
		return envelope{}, 0, err
	}
	size = lengthBytes + d.buffer.Len()
	if err := d.decodeGob(&message); err != nil {
		return envelope{}, size, fmt.Errorf("%w: %w", errBadFrame, err)
	}
	if d.buffer.Len() > 0 {
		return envelope{}, size, fmt.Errorf("%w: %d bytes too many", errBadFrame, d.buffer.Len())
	}
	return message, size, message.validate()
}

// decodeGob turns a panic of the gob decoder on malformed input into an error.
func (d *decoder) decodeGob(message *envelope) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("gob: %v", cause)
		}
	}()
	return d.gob.Decode(message)
}

// checkEncodable reports whether gob can encode a message at all.
func checkEncodable(message peer.Message) error {
	return gob.NewEncoder(io.Discard).Encode(&envelope{Kind: envelopeOneWay, Message: message})
}
