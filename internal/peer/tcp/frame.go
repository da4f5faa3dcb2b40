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

// errBadFrame means that the peer sent data that is not a valid message.
var errBadFrame = errors.New("bad frame")

// errMessageTooLarge means that an encoded message exceeds MaxFrameBytes.
var errMessageTooLarge = errors.New("message too large")

// readFrame reads one frame into the buffer. The buffer grows only with the bytes
// that are received, whatever length the prefix claims.
func readFrame(reader io.Reader, buffer *bytes.Buffer, limit int) error {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length == 0 || uint64(length) > uint64(limit) {
		return fmt.Errorf("%w: length %d, limit %d", errBadFrame, length, limit)
	}
	if buffer.Cap() > maxRetainedBufferBytes {
		*buffer = bytes.Buffer{}
	}
	buffer.Reset()
	if _, err := io.CopyN(buffer, reader, int64(length)); err != nil {
		return fmt.Errorf("truncated frame: %w", io.ErrUnexpectedEOF)
	}
	return nil
}
