package tcp

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// lengthPrefixBytes is the size of the length prefix of each frame.
const lengthPrefixBytes = 4

// maxRetainedBufferBytes is the capacity above which a buffer is released instead
// of reused for the next frame.
const maxRetainedBufferBytes = 64 << 10

// frameStepBytes is how much of a frame is read before its memory is reserved.
const frameStepBytes = 32 << 10

// errBadFrame means that the peer sent data that is not a valid message.
var errBadFrame = errors.New("bad frame")

// errMessageTooLarge means that an encoded message exceeds MaxFrameBytes.
var errMessageTooLarge = errors.New("message too large")

// errMemoryShort means that the process has no memory for a frame.
var errMemoryShort = errors.New("no memory for a frame")

// readFrame reads one frame into the buffer. The buffer grows only with the bytes
// that are received, whatever length the prefix claims, and as far as reserve, which
// gets its capacity, allows.
func readFrame(reader io.Reader, buffer *bytes.Buffer, limit int, reserve func(capacity int) bool) error {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length == 0 || uint64(length) > uint64(limit) {
		return fmt.Errorf("%w: length %d, limit %d", errBadFrame, length, limit)
	}
	buffer.Reset()
	for rest := int64(length); rest > 0; {
		if !reserve(buffer.Cap()) {
			return errMemoryShort
		}
		count, err := io.CopyN(buffer, reader, min(rest, frameStepBytes))
		if err != nil {
			return fmt.Errorf("truncated frame: %w", io.ErrUnexpectedEOF)
		}
		rest -= count
	}
	if !reserve(buffer.Cap()) {
		return errMemoryShort
	}
	return nil
}
